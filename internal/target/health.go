package target

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// latencyWeight is the weight of a new answer in the moving average, which thus covers about the last ten.
const latencyWeight = 0.1

// health is a target's state as shown by its answers. The zero value stands for a target that has not been
// used yet.
type health struct {
	lastAnswer   mono.Time
	failingSince mono.Time
	latency      time.Duration
}

func (h *health) answered(now mono.Time, took time.Duration) {
	h.succeeded(now)
	if h.latency == 0 {
		h.latency = took
		return
	}
	h.latency += time.Duration(latencyWeight * float64(took-h.latency))
}

func (h *health) succeeded(now mono.Time) {
	h.lastAnswer = now
	h.failingSince = 0
}

// noteEvidence applies a holder's evidence of the target's state, received in response to a message sent at
// begun. If the target answers, its last answer is dated back to when the holder received it.
func (h *health) noteEvidence(e Evidence, begun, now mono.Time) {
	if e.Failing {
		if h.lastAnswer < begun {
			h.failed(now)
		}
		return
	}
	if e.AnsweredAgo == NeverAnswered {
		return
	}
	answered := now.Add(-e.AnsweredAgo)
	h.lastAnswer = max(h.lastAnswer, answered)
	if answered > h.failingSince {
		h.failingSince = 0
	}
}

func (h *health) failed(now mono.Time) {
	if h.failingSince == 0 {
		h.failingSince = now
	}
}

// silent records that a command has waited too long for its answer. Only an answer clears this state.
func (h *health) silent(now mono.Time) { h.failed(now) }

func (h *health) failing() bool { return h.failingSince != 0 }

func (h *health) failingFor(now mono.Time) time.Duration {
	if h.failingSince == 0 {
		return 0
	}
	return max(now.Sub(h.failingSince), 1)
}

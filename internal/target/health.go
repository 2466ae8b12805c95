package target

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// latencyWeight of a new answer in the average: about the last ten answers count.
const latencyWeight = 0.1

// health is what a target's answers tell of it. The zero value knows nothing.
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

// told notes how a VM between finds the target, in answer to what was sent at begun. Its word
// that the target answers counts for as old as the target's answer is.
func (h *health) told(e Evidence, begun, now mono.Time) {
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

// silent notes that a command has waited too long; only an answer clears it.
func (h *health) silent(now mono.Time) { h.failed(now) }

func (h *health) failing() bool { return h.failingSince != 0 }

func (h *health) failingFor(now mono.Time) time.Duration {
	if h.failingSince == 0 {
		return 0
	}
	return max(now.Sub(h.failingSince), 1)
}

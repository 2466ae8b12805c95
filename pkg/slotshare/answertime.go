package slotshare

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

const (
	// answersAveraged is the number of answers that the moving average covers.
	answersAveraged = 16
	// minimumWindow is for how long the lowest average counts as the answer time without a queue, in steps of
	// minimumStep.
	minimumWindow = 10 * time.Second
	minimumStep   = time.Second
)

// answerTime compares a target's answer time with its lowest of the last ten seconds. It covers statements of one priority,
// since those of another class may take several times as long. The averages are compared: the shortest single
// answer says little of a class whose statements differ.
type answerTime struct {
	average time.Duration
	answers int
	minima  [minimumWindow / minimumStep]minimum
}

// minimum is the lowest average within one step of time.
type minimum struct {
	step  int64
	value time.Duration
}

func (a *answerTime) add(took time.Duration, now mono.Time) {
	a.answers = min(a.answers+1, answersAveraged)
	a.average += (took - a.average) / time.Duration(a.answers)
	if a.answers < answersAveraged {
		return
	}
	step := int64(now) / int64(minimumStep)
	m := &a.minima[step%int64(len(a.minima))]
	if m.step != step || a.average < m.value {
		*m = minimum{step: step, value: a.average}
	}
}

// slow reports whether answers take more than slowFactor times as long as expected: each slot serves queuePerSlot
// statements in turn.
func (a *answerTime) slow() bool {
	if a.answers < answersAveraged {
		return false
	}
	return a.average > slowFactor*queuePerSlot*a.lowest()
}

// lowest returns the lowest average of the window that ends with the newest answer.
func (a *answerTime) lowest() time.Duration {
	newest := int64(0)
	for _, m := range a.minima {
		newest = max(newest, m.step)
	}
	lowest := a.average
	for _, m := range a.minima {
		if m.value > 0 && newest-m.step < int64(len(a.minima)) {
			lowest = min(lowest, m.value)
		}
	}
	return lowest
}

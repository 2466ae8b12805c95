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

// pace compares a target's answer time with its lowest of the last ten seconds. It covers statements of one priority,
// since those of another class may take several times as long. The averages are compared: the shortest single
// answer says little of a class whose statements differ.
type pace struct {
	average time.Duration
	answers int
	minima  [minimumWindow / minimumStep]minimum
}

// minimum is the lowest average within one step of time.
type minimum struct {
	step  int64
	value time.Duration
}

func (p *pace) add(took time.Duration, now mono.Time) {
	p.answers = min(p.answers+1, answersAveraged)
	p.average += (took - p.average) / time.Duration(p.answers)
	if p.answers < answersAveraged {
		return
	}
	step := int64(now) / int64(minimumStep)
	m := &p.minima[step%int64(len(p.minima))]
	if m.step != step || p.average < m.value {
		*m = minimum{step: step, value: p.average}
	}
}

// slow reports whether answers take more than slowFactor times as long as expected: each slot serves queuePerSlot
// statements in turn.
func (p *pace) slow() bool {
	if p.answers < answersAveraged {
		return false
	}
	return p.average > slowFactor*queuePerSlot*p.lowest()
}

// lowest returns the lowest average of the window that ends with the newest answer.
func (p *pace) lowest() time.Duration {
	newest := int64(0)
	for _, m := range p.minima {
		newest = max(newest, m.step)
	}
	lowest := p.average
	for _, m := range p.minima {
		if m.value > 0 && newest-m.step < int64(len(p.minima)) {
			lowest = min(lowest, m.value)
		}
	}
	return lowest
}

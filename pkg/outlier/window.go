package outlier

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

const (
	// recentAnswers and recentAge bound the answers over which averages are taken.
	recentAnswers = 20
	recentAge     = 3 * time.Second
	// leastAnswers is the number of newest answers that count although they are older than recentAge: a VM may send
	// a target less than one statement a second. maxAge is the greatest age of these.
	leastAnswers = 5
	maxAge       = 30 * time.Second
	// leastCompared is the number of answers that another target must have given to be compared with.
	leastCompared = 3
)

// answer is one answer of a target.
type answer struct {
	at     mono.Time
	took   time.Duration
	failed bool
}

// window holds the newest answers of a target to statements of one class, in a ring.
type window struct {
	answers []answer
	// next is the index of the oldest answer once the ring is full.
	next int
}

func (w *window) add(a answer) {
	if len(w.answers) < recentAnswers {
		w.answers = append(w.answers, a)
		return
	}
	w.answers[w.next] = a
	w.next = (w.next + 1) % recentAnswers
}

// newest returns when the newest answer came.
func (w *window) newest() mono.Time { return w.nth(0).at }

// nth returns the answer that has n newer ones.
func (w *window) nth(n int) answer {
	size := len(w.answers)
	return w.answers[(w.next+2*size-1-n)%size]
}

// summary sums up answers. took is the time of those that succeeded.
type summary struct {
	succeeded, failed int
	took              time.Duration
}

func (s *summary) mean() time.Duration { return s.took / time.Duration(max(s.succeeded, 1)) }

// summary sums up the recent answers. The newest ones, up to least, count up to maxAge.
func (w *window) summary(now mono.Time, least int) summary {
	var s summary
	for n := range w.answers {
		a := w.nth(n)
		age := now.Sub(a.at)
		if age > maxAge || age > recentAge && n >= least {
			break
		}
		if a.failed {
			s.failed++
			continue
		}
		s.succeeded++
		s.took += a.took
	}
	return s
}

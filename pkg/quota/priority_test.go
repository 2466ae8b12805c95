package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
)

// The priorities of the simulated classes.
const (
	urgentClass = 0
	slowClass   = 2
)

// servedByPriority offers operations of two classes of a customer near its limit, as multiples of the VM's share, and
// returns how much of the share each class gets.
func servedByPriority(urgentLoad, slowLoad float64) (urgent, slow float64) {
	const share, seconds = 30.0, 40
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // A simulation.
	tag, l := quota.TagOf("c"), quota.Limit{Rate: 100, Room: 50, Window: window}
	m := quota.NewMeter()
	admitted := map[int]float64{}
	for now := mono.Time(time.Second); now < mono.Time((1+seconds)*time.Second); now += mono.Time(step) {
		m.ApplyAnswer(&quota.Answer{Near: []quota.Tag{tag}, Shares: []quota.Share{{Customer: tag, Rate: uint32(share * time.Minute.Seconds())}}}, now)
		for class, load := range map[int]float64{slowClass: slowLoad, urgentClass: urgentLoad} {
			for range poissonOf(random, load*share*step.Seconds()) {
				if _, ok := m.Admit(tag, l, class, now); ok {
					admitted[class]++
				}
			}
		}
	}
	return admitted[urgentClass] / (share * seconds), admitted[slowClass] / (share * seconds)
}

// Guards against a limit that refuses urgent operations of a customer for its less urgent ones, and against one that
// starves the latter.
func TestUrgentClassesAreAdmittedFirst(t *testing.T) {
	for _, c := range []struct{ urgentLoad, slowLoad, leastUrgent, leastSlow float64 }{
		{0.5, 5, 0.47, 0.35},
		{0, 5, 0, 0.95},
		{5, 5, 0.85, 0.04},
	} {
		urgent, slow := servedByPriority(c.urgentLoad, c.slowLoad)
		if urgent < c.leastUrgent || slow < c.leastSlow || urgent+slow > 1.05 {
			t.Errorf("loads %v and %v: %.2f and %.2f of the share", c.urgentLoad, c.slowLoad, urgent, slow)
		}
	}
}

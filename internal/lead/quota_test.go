package lead_test

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const limitedCustomer = topology.CustomerID("acme")

// startLimited starts VMs that limit one customer.
func startLimited(t *testing.T, vms int, l customer.Limit) *cluster {
	t.Helper()
	registry, err := customer.NewRegistry([]customer.Customer{{ID: limitedCustomer, Limit: l}})
	if err != nil {
		t.Fatal(err)
	}
	c := newCluster(t)
	c.configuration = &directory.Configuration{Version: 1, Customers: registry}
	c.startVMs(vms)
	return c
}

// flood submits an operation to each VM every few milliseconds, and returns how many were admitted.
func (c *cluster) flood(d time.Duration) (admitted int, took time.Duration) {
	begun := time.Now()
	for time.Since(begun) < d {
		for _, v := range c.vms {
			if v.limits.Admit(limitedCustomer, 0) == nil {
				admitted++
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	return admitted, time.Since(begun)
}

func (c *cluster) checkFlood(l customer.Limit, d time.Duration) {
	c.t.Helper()
	admitted, took := c.flood(d)
	if most := 1.1*(l.Rate*took.Seconds()+l.Burst) + 20; float64(admitted) > most {
		c.t.Fatalf("%d admitted in %v, %.0f are allowed", admitted, took, most)
	}
	if least := 0.5 * l.Rate * took.Seconds(); float64(admitted) < least {
		c.t.Fatalf("%d admitted in %v, less than half of the limit", admitted, took)
	}
}

// Guards against a limit that each VM enforces separately, so that all VMs together exceed it.
func TestALimitHoldsForAllVMsTogether(t *testing.T) {
	l := customer.Limit{Rate: 100, Burst: 100}
	c := startLimited(t, 5, l)
	c.awaitRights()
	c.checkFlood(l, 4*time.Second)
}

// Guards against a limit that is lost together with the VM that collects the usage reports.
func TestALimitSurvivesTheLossOfItsCoordinator(t *testing.T) {
	l := customer.Limit{Rate: 100, Burst: 100}
	c := startLimited(t, 5, l)
	coordinator := c.awaitRights()
	go func() {
		time.Sleep(time.Second)
		c.vms[coordinator].cancel()
	}()
	c.checkFlood(l, 4*time.Second)
}

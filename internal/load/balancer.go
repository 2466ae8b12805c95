package load

import (
	"math/rand/v2"
	"sync"
	"time"
)

// downTime is how long a proxy that failed to accept a connection is avoided.
const downTime = time.Second

// balancer picks proxies as the platform's load balancer does: it avoids those
// that failed to accept a connection within downTime. Without it sessions would spend
// their retries on proxies that the run's faults have stopped, and the report
// would count these as failures of the system under test.
type balancer struct {
	mu        sync.Mutex
	downUntil []time.Time // indexed by proxy
}

func newBalancer(proxies int) *balancer { return &balancer{downUntil: make([]time.Time, proxies)} }

// pick returns a random proxy other than the current one; current is
// noCurrentProxy when there is none. When all others are down it picks one of
// them, since it may accept connections again.
func (b *balancer) pick(rng *rand.Rand, current int, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var up, others []int
	for i, until := range b.downUntil {
		if i == current {
			continue
		}
		others = append(others, i)
		if now.After(until) {
			up = append(up, i)
		}
	}
	switch {
	case len(up) > 0:
		return up[rng.IntN(len(up))]
	case len(others) > 0:
		return others[rng.IntN(len(others))]
	}
	return current
}

func (b *balancer) markDown(proxy int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.downUntil[proxy] = now.Add(downTime)
}

package load

import (
	"math/rand/v2"
	"sync"
	"time"
)

// downTime is how long a proxy that took no connection gets no new ones.
const downTime = time.Second

// balancer picks proxies as the platform's balancer does: not those that lately
// took no connection. Without it callers would spend their retries on proxies
// that a run has stopped, and the report would blame the product for it.
type balancer struct {
	mu   sync.Mutex
	down []time.Time // until when, by proxy
}

func newBalancer(proxies int) *balancer { return &balancer{down: make([]time.Time, proxies)} }

// pick returns a random proxy other than the present one; -1 for any. When all
// are down it picks any: one of them may be back.
func (b *balancer) pick(rng *rand.Rand, present int, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var up, others []int
	for i, until := range b.down {
		if i == present {
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
	return present
}

func (b *balancer) markDown(proxy int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[proxy] = now.Add(downTime)
}

// Package soak injects faults into a deployment, chosen from a seeded random source.
package soak

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault is a fault that Inject starts in a deployment. The returned function
// ends it.
type Fault[D any] struct {
	Name   string
	Inject func(D) (heal func())
}

const (
	// maxActive is the maximum number of concurrent faults: with more, a group of three
	// databases may have none left, and no guarantee holds.
	maxActive = 2
	// minPauseMs is the minimum pause between two steps, each of which begins or ends a fault;
	// a random time below extraPauseMs is added to it. Both are in milliseconds.
	minPauseMs   = 100
	extraPauseMs = 1500
)

// Run injects random faults for the given length, then ends all of them. It returns the
// names of the injected faults in order.
func Run[D any](deployment D, faults []Fault[D], random *rand.Rand, length time.Duration) (names []string) {
	var healing []func()
	heal := func() {
		end := healing[0]
		healing = healing[1:]
		end()
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		if len(healing) >= maxActive || len(healing) > 0 && random.IntN(3) == 0 {
			heal()
		} else {
			f := faults[random.IntN(len(faults))]
			names = append(names, f.Name)
			healing = append(healing, f.Inject(deployment))
		}
		time.Sleep(time.Duration(minPauseMs+random.IntN(extraPauseMs)) * time.Millisecond)
	}
	for len(healing) > 0 {
		heal()
	}
	return names
}

// ParseSeeds parses a seed, such as "3", or an inclusive range of seeds, such as "3-9".
func ParseSeeds(text string) ([]uint64, error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "invalid seeds %q", text)
	}
	to, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "invalid seeds %q", text)
	}
	var all []uint64
	for seed := from; seed <= to; seed++ {
		all = append(all, seed)
	}
	return all, nil
}

// EnvOr returns the value of an environment variable, or fallback if it is not set or empty.
func EnvOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

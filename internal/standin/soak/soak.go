// Package soak brings faults about in any order, some at a time, from a seed.
package soak

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault brings one about in a deployment and returns what ends it.
type Fault[D any] struct {
	Name  string
	Bring func(D) (heal func())
}

const (
	// open bounds how many faults are open at once: with more, a group of three databases has
	// none left, and nothing is promised.
	open = 2
	// shortestPause is between two steps, each of which begins a fault or ends one, and
	// furtherPause what may be added to it, in milliseconds.
	shortestPause = 100
	furtherPause  = 1500
)

// Play brings faults about for the time, then ends them all. It returns their names.
func Play[D any](deployment D, faults []Fault[D], random *rand.Rand, length time.Duration) (names []string) {
	var healing []func()
	heal := func() {
		end := healing[0]
		healing = healing[1:]
		end()
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		if len(healing) >= open || len(healing) > 0 && random.IntN(3) == 0 {
			heal()
		} else {
			f := faults[random.IntN(len(faults))]
			names = append(names, f.Name)
			healing = append(healing, f.Bring(deployment))
		}
		time.Sleep(time.Duration(shortestPause+random.IntN(furtherPause)) * time.Millisecond)
	}
	for len(healing) > 0 {
		heal()
	}
	return names
}

// Seeds reads "3" or "3-9".
func Seeds(text string) ([]uint64, error) {
	first, last, ranged := strings.Cut(text, "-")
	if !ranged {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "seeds %q", text)
	}
	to, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "seeds %q", text)
	}
	var all []uint64
	for seed := from; seed <= to; seed++ {
		all = append(all, seed)
	}
	return all, nil
}

// Setting returns a variable of the environment, or the usual value if it is not set.
func Setting(name, usual string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return usual
}

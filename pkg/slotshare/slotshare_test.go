package slotshare_test

import (
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/slotshare"
)

// Guards against safe parts that together exceed the total by more than the rounding, or leave slots unused.
func TestSafePartsAddUpToTheTotal(t *testing.T) {
	for slots := 1; slots <= 8; slots++ {
		for holders := 1; holders <= 12; holders++ {
			sum, total := holders*slotshare.SafePart(slots, holders), slotshare.Total(slots)
			if sum < total || sum >= total+holders {
				t.Errorf("%d slots, %d holders: the safe parts add up to %d", slots, holders, sum)
			}
		}
	}
}

package pooler

import (
	"context"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// gate hands out a target's slots, first come first served.
type gate struct{ slots chan struct{} }

func newGate(slots int) *gate { return &gate{slots: make(chan struct{}, slots)} }

// enter waits for a slot; the caller gives it back by leave.
func (g *gate) enter(ctx context.Context) *result.Error {
	select {
	case g.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return result.New(result.DeadlineInQueue, "no slot was free in time").After(verifyAfter)
	}
}

func (g *gate) leave() { <-g.slots }

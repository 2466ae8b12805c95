package forward_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// Guards against connections through a holder that refuse all work for as long as they live, since the holder has
// closed the pool with which they began and opened another one for the same target.
func TestAConnectionFollowsTheHoldersPool(t *testing.T) {
	_, driver, holderDirectory := startHolder(t, nil, 3)
	l := acquire(t, target.NewPool(theTarget, 4, driver, mono.System{}, slog.New(slog.DiscardHandler)))
	if a, err := l.Run(soon(), target.Command{ID: "1", Text: "read a"}); err != nil || a.Failure != nil {
		t.Fatalf("%+v %v", a, err)
	}
	moved := theTarget
	moved.Address = "y"
	holderDirectory.SetTarget(directory.Target{Target: moved})
	time.Sleep(200 * time.Millisecond) // The holder's pools follow its directory.
	a, err := l.Run(soon(), target.Command{ID: "2", Text: "read b"})
	if err != nil || a.Failure != nil {
		t.Fatalf("%+v %v", a.Failure, err)
	}
}

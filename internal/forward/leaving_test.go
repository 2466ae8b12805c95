package forward_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Guards against new work that reaches a leaving target after its drain time through a holder, and against the
// holder's refusal counting as an answer of the target.
func TestAHolderRefusesNewWorkAfterTheDrainTime(t *testing.T) {
	db, driver, holderDirectory := startHolder(t, nil, 3)
	pool := target.NewPool(theTarget, 4, driver, mono.System{}, slog.New(slog.DiscardHandler))
	l := acquire(t, pool)
	leaving := theTarget
	leaving.Leaving = true
	holderDirectory.SetTarget(directory.Target{Target: leaving}) // LeavingSince isn't known, so the target gets no new work.
	var refusal *result.Error
	for end := time.Now().Add(2 * time.Second); refusal == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		a, err := l.Run(soon(), target.Command{ID: "1", Text: "read a"})
		if err != nil {
			t.Fatal(err)
		}
		refusal = a.Failure
	}
	if refusal == nil || refusal.Code != result.TargetLeaving || refusal.Ran != result.NotRun {
		t.Fatal(refusal)
	}
	sent, refused := db.statements(), mono.System{}.Now()
	time.Sleep(20 * time.Millisecond)
	if err := l.Begin(soon(), false, position.Position{}); result.From(err).Code != result.TargetLeaving {
		t.Fatal(err)
	}
	if got := db.statements(); got != sent {
		t.Fatalf("at the target: %s", got)
	}
	if pool.Load().LastAnswer > refused {
		t.Fatal("the refusal counted as an answer of the target")
	}
}

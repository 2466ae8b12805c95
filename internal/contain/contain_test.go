package contain_test

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/contain"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Guards against a daemon that ends because the handler of one connection panics. The
// panic is logged.
func TestRunContainsAPanic(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	if contain.Run(log, "session", func() { var p *int; *p = 1 }) {
		t.Fatal("reported as returned")
	}
	if !bytes.Contains(out.Bytes(), []byte("event=panic_contained")) {
		t.Fatalf("logged %q", out.String())
	}
}

// Guards against a process that goes on after a broken invariant, when its state is wrong.
func TestRunPassesABrokenInvariantOn(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Fatal("contained")
		}
	}()
	contain.Run(slog.New(slog.DiscardHandler), "session", func() { panic(result.New(result.InvariantBroken, "x")) })
}

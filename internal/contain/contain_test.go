package contain_test

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/contain"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// A handler meets a case that nobody foresaw and panics: its connection ends, the
// process goes on, and the log has the place.
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

// A broken invariant must end the process: what it believes is wrong.
func TestRunPassesABrokenInvariantOn(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Fatal("contained")
		}
	}()
	contain.Run(slog.New(slog.DiscardHandler), "session", func() { panic(result.New(result.InvariantBroken, "x")) })
}

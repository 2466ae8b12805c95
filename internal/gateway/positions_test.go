package gateway_test

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
)

func now() mono.Time { return mono.System{}.Now() }

// Guards against a request for the primary's position before each caller's read although another VM has
// shared one that shows the age.
func TestSharedPositionServesReads(t *testing.T) {
	f := start(t)
	sample := routing.Sample{Begun: now().Add(-100 * time.Millisecond), Position: position.Position{Term: 1, Index: 1}}
	f.server.Positions().Add(group, sample)
	before := f.databases[primary].commandsOf(target.Reset)
	f.open("bounded").expect("read a", "I ok d")
	if n := f.databases[primary].commandsOf(target.Reset); n != before {
		t.Fatalf("the primary was asked for its position %d times", n-before)
	}
	if got := f.databases[replica].statements(); got != "read a" {
		t.Fatalf("the replica ran %q", got)
	}
}

// A position is renewed once it is older than the given age and not before, by one request at a time.
func TestOldPositionIsRenewed(t *testing.T) {
	f := start(t)
	positions := f.server.Positions()
	positions.Add(group, routing.Sample{Begun: now().Add(-time.Second), Position: position.Position{Term: 1, Index: 1}})
	positions.Renew(group, time.Minute)
	if s, _ := positions.Newest(group); now().Sub(s.Begun) < time.Second {
		t.Fatal("a position that is young enough was renewed")
	}
	positions.Renew(group, 100*time.Millisecond)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s, _ := positions.Newest(group); now().Sub(s.Begun) < time.Second {
			return
		}
	}
	t.Fatal("it was not renewed")
}

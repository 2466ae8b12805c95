package gateway_test

import (
	"testing"
	"time"
)

// A group has had no primary for longer than any replacement takes. The first requests wait for a
// primary. Later ones are refused at once, with a time to retry after, and are served as soon as there
// is a primary again.
func TestLongOutageIsRefusedAtOnce(t *testing.T) {
	f := start(t)
	f.rights.set(false)
	c := f.open("newest")
	began := time.Now()
	c.expect("write a 1", "I NoRight not run")
	if waited := time.Since(began); waited < statementTimeout/2 {
		t.Fatalf("refused after %v, though a replacement might have ended", waited)
	}
	for time.Since(began) < 3100*time.Millisecond {
		c.ask("write a 1")
	}
	for range 3 {
		began = time.Now()
		c.expect("write a 1", "I NoRight not run")
		if waited := time.Since(began); waited > statementTimeout/2 {
			t.Fatalf("held for %v in a long outage", waited)
		}
	}
	f.rights.set(true)
	c.expect("write a 1", "I ok d")
	f.rights.set(false)
	began = time.Now()
	c.expect("write a 1", "I NoRight not run")
	if waited := time.Since(began); waited < statementTimeout/2 {
		t.Fatalf("refused after %v as if the outage had gone on", waited)
	}
}

// Guards against refusals after an outage has ended. Without requests of the group since it began, nothing
// had shown its end, and each request was refused without an attempt.
func TestNoRefusalAfterOutageHasEnded(t *testing.T) {
	f := start(t)
	f.rights.set(false)
	c := f.open("bounded")
	c.expect("read a", "I AgeNotShown not run")
	time.Sleep(3100 * time.Millisecond)
	began := time.Now()
	c.expect("read a", "I AgeNotShown not run")
	if waited := time.Since(began); waited > statementTimeout/4 {
		t.Fatalf("held for %v in a long outage", waited)
	}
	time.Sleep(400 * time.Millisecond) // No request for a position is pending any more.
	f.rights.set(true)
	c.expect("read a", "I ok d")
}

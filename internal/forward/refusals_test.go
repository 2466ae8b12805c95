package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
)

// dialHolder opens a connection to a holder without the pool of a VM, which keeps to the protocol.
func dialHolder(t *testing.T, driver target.Driver) target.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	c, err := driver.Dial(ctx, theTarget, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// run runs a command that the holder answers without a lost connection.
func run(t *testing.T, c target.Conn, cmd target.Command) statement.Answer {
	t.Helper()
	a, err := c.Run(soon(), cmd)
	if err != nil {
		t.Fatalf("%+v: %v", cmd, err)
	}
	return a
}

// Guards against a statement that the holder doesn't know and that runs as an empty one: before a preparation, after
// a reset, and within a transaction, which stays open.
func TestAHolderRefusesAnUnknownStatement(t *testing.T) {
	db, driver := startDriver(t, nil, 3)
	c := dialHolder(t, driver)
	prepare := target.Command{Kind: target.PrepareWrite, ID: statement.OwnID, Name: "w1", Value: "shape"}
	execute := target.Command{Kind: target.Execute, ID: "1", Name: "w1", Text: "EXEC p k v"}
	refused := func(when string, state statement.State) {
		t.Helper()
		before := db.statements()
		a := run(t, c, execute)
		if a.Failure == nil || a.Failure.Code != result.UnknownStatement || a.Failure.Ran != result.NotRun || a.State != state {
			t.Errorf("%s: %+v %v", when, a, a.Failure)
		}
		if after := db.statements(); after != before {
			t.Errorf("%s: at the target: %s", when, strings.TrimPrefix(after, before))
		}
	}
	refused("before a preparation", statement.Idle)
	run(t, c, prepare)
	if a := run(t, c, execute); a.Failure != nil {
		t.Fatal(a.Failure)
	}
	run(t, c, target.Command{Kind: target.Reset, ID: statement.OwnID})
	refused("after a reset", statement.Idle)
	run(t, c, target.Command{Kind: target.Begin, ID: statement.OwnID})
	refused("within a transaction", statement.Open)
	run(t, c, prepare)
	if a := run(t, c, execute); a.Failure != nil || a.State != statement.Open {
		t.Fatalf("%+v", a)
	}
	run(t, c, target.Command{Kind: target.Rollback, ID: statement.OwnID})
	if a := run(t, c, execute); a.Failure != nil {
		t.Fatalf("a statement that was prepared in a transaction: %v", a.Failure)
	}
}

// Guards against a damaged message, or one of another program, that runs as a statement without an id or a text.
func TestAHolderRefusesWhatNoVMSends(t *testing.T) {
	db, driver, holderDirectory := startHolder(t, nil, 3)
	for name, cmd := range map[string]target.Command{
		"empty":                   {},
		"no id":                   {Text: "READ a"},
		"no text":                 {ID: "1"},
		"execute without text":    {Kind: target.Execute, ID: "1", Name: "r1"},
		"negative kind":           {Kind: -1, ID: "1", Text: "READ a"},
		"kind of another version": {Kind: target.PrepareWrite + 1, ID: "1", Text: "READ a"},
	} {
		c := dialHolder(t, driver)
		run(t, c, target.Command{Kind: target.PrepareRead, ID: statement.OwnID, Name: "r1", Value: "shape"})
		if a := run(t, c, cmd); a.Failure == nil || a.Failure.Code != result.BadProtocol || a.Failure.Ran != result.NotRun {
			t.Errorf("%s: %+v %v", name, a, a.Failure)
		}
		if a := run(t, c, target.Command{Kind: target.Reset, ID: statement.OwnID}); a.Failure != nil {
			t.Errorf("after %s: %v", name, a.Failure)
		}
	}
	const openRequest = "\x92\xa1t\xc0"
	for name, message := range map[string]string{"nil": "\xc0", "map": "\x80", "array": "\x90", "array of nil": "\x92\xc0\xc0"} {
		nc, err := net.Dial("tcp", holderDirectory.Self().PeerAddress)
		if err != nil {
			t.Fatal(err)
		}
		_ = nc.SetDeadline(soon())
		if _, err := nc.Write([]byte(openRequest + message)); err != nil {
			t.Fatal(err)
		}
		_ = nc.(*net.TCPConn).CloseWrite()
		answers, _ := io.ReadAll(nc) // Fails if the holder closes the connection at once.
		nc.Close()
		if strings.Contains(string(answers), "row of") {
			t.Errorf("%s: answered %q", name, answers)
		}
	}
	if ran := strings.ReplaceAll(strings.ReplaceAll(db.statements(), "reset", ""), ", ", ""); ran != "" {
		t.Errorf("at the target: %q", db.statements())
	}
}

// Guards against a connection that uses up the holder's memory: a caller may prepare any number of statements of up
// to 1 MiB each, one after the other.
func TestAHolderBoundsWhatAConnectionKeeps(t *testing.T) {
	_, driver := startDriver(t, nil, 3)
	large := strings.Repeat("x", 1<<20-100)
	const most = 200
	set := func(c target.Conn, kind target.CommandKind, name string) *result.Error {
		t.Helper()
		return run(t, c, target.Command{Kind: kind, ID: statement.OwnID, Name: name, Value: large}).Failure
	}
	for kind, code := range map[target.CommandKind]result.Code{target.PrepareRead: result.Overloaded, target.Set: result.MessageTooLarge} {
		c := dialHolder(t, driver)
		kept := 0
		var failure *result.Error
		for ; kept < most && failure == nil; kept++ {
			for range 3 { // The same name takes no further memory.
				if failure = set(c, kind, fmt.Sprint("n", kept)); failure != nil {
					break
				}
			}
		}
		if failure == nil || failure.Code != code || failure.Ran != result.NotRun || kept < 4 || kept > 20 {
			t.Errorf("%d: %d of 1 MiB were kept, then %v", kind, kept, failure)
		}
		run(t, c, target.Command{Kind: target.Reset, ID: statement.OwnID})
		if failure := set(c, kind, "n"); failure != nil {
			t.Errorf("%d: after a reset %v", kind, failure)
		}
	}
}

// Guards against a statement that runs although the target refuses a value or a preparation that the holder has
// accepted before, and against a refusal that is not proof that nothing ran.
func TestAStatementDoesNotRunWithoutItsSetup(t *testing.T) {
	refusal := result.New(result.BadProtocol, "too long")
	for name, c := range map[string]struct {
		refused target.CommandKind
		run     target.Command
	}{
		"value":               {target.Set, target.Command{ID: "1", Text: "write a"}},
		"value, prepared":     {target.Set, target.Command{Kind: target.Execute, ID: "1", Text: "EXEC p a", Name: "w1"}},
		"prepared":            {target.PrepareWrite, target.Command{Kind: target.Execute, ID: "1", Text: "EXEC p a", Name: "w1"}},
		"value, begin":        {target.Set, target.Command{Kind: target.Begin, ID: statement.OwnID}},
		"begin":               {target.Begin, target.Command{Kind: target.Begin, ID: statement.OwnID}},
		"the statement":       {target.Caller, target.Command{ID: "1", Text: "write a"}},
		"the prepared itself": {target.Execute, target.Command{Kind: target.Execute, ID: "1", Text: "EXEC p a", Name: "w1"}},
	} {
		for _, asError := range []bool{false, true} {
			db, driver := startDriver(t, nil, 3)
			var ran []target.Command
			db.answer = func(cmd target.Command) (statement.Answer, error) {
				switch {
				case cmd.Kind == c.refused && asError:
					return statement.Answer{}, refusal
				case cmd.Kind == c.refused:
					return statement.Fail(refusal, statement.Idle), nil
				case cmd.Kind == c.run.Kind:
					ran = append(ran, cmd)
				}
				return statement.Answer{}, nil
			}
			conn := dialHolder(t, driver)
			for _, cmd := range []target.Command{
				{Kind: target.Set, ID: statement.OwnID, Name: "v", Value: "1"},
				{Kind: target.PrepareWrite, ID: statement.OwnID, Name: "w1", Value: "shape"},
			} {
				if a := run(t, conn, cmd); a.Failure != nil {
					t.Fatalf("%s: %v", name, a.Failure)
				}
			}
			for range 2 { // The second one must not run with what the refused one has left behind.
				if a := run(t, conn, c.run); a.Failure == nil || *a.Failure != *refusal || a.State != statement.Idle {
					t.Errorf("%s, as an error %v: %+v %v", name, asError, a, a.Failure)
				}
			}
			if len(ran) > 0 {
				t.Errorf("%s, as an error %v: ran %+v", name, asError, ran)
			}
		}
	}
}

// Guards against a request that fills the holder's memory as long as it arrives: the largest one that a VM sends has a
// text and arguments of 1 MiB each.
func TestAHolderBoundsARequest(t *testing.T) {
	db, _, holderDirectory := startHolder(t, nil, 3)
	nc, err := net.Dial("tcp", holderDirectory.Self().PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_ = nc.SetDeadline(soon())
	const openRequest = "\x92\xa1t\xc0"
	const stringOf4GiB = "\x92\x9b\x00\xa1\x31\xdb\xff\xff\xff\xff"
	if _, err := nc.Write([]byte(openRequest + stringOf4GiB)); err != nil {
		t.Fatal(err)
	}
	const mostBytes = 16 << 20
	sent, piece := 0, make([]byte, 64<<10)
	for sent < mostBytes {
		n, err := nc.Write(piece)
		sent += n
		if err != nil {
			break
		}
	}
	if sent >= mostBytes {
		t.Errorf("the holder took %d bytes of one request", sent)
	}
	if ran := db.statements(); ran != "" {
		t.Errorf("at the target: %q", ran)
	}
	large := strings.Repeat("x", 1<<20-100)
	db2, driver := startDriver(t, nil, 3)
	c := dialHolder(t, driver)
	run(t, c, target.Command{Kind: target.PrepareWrite, ID: statement.OwnID, Name: "w1", Value: large})
	if a := run(t, c, target.Command{Kind: target.Execute, ID: "1", Name: "w1", Text: large, Value: large}); a.Failure != nil {
		t.Errorf("the largest request: %v", a.Failure)
	}
	if ran := db2.statements(); len(ran) < 2*len(large) {
		t.Errorf("%d bytes at the target", len(ran))
	}
}

// Guards against a statement that is reported as possibly run though the connection broke before it was sent: a write
// isn't retried then. A refusal for this is no answer of the target.
func TestAConnectionLostBeforeTheStatementIsNotRun(t *testing.T) {
	for name, lost := range map[string]target.CommandKind{"value": target.Set, "prepared": target.PrepareWrite, "begin": target.Begin} {
		for _, failure := range []error{errUnreachable, result.New(result.TargetFailed, "broken")} {
			db, driver := startDriver(t, nil, 3)
			var ran []target.Command
			db.answer = func(cmd target.Command) (statement.Answer, error) {
				switch cmd.Kind {
				case lost:
					return statement.Answer{}, failure
				case target.Caller, target.Execute:
					ran = append(ran, cmd)
				}
				return statement.Answer{}, nil
			}
			c := dialHolder(t, driver)
			commands := []target.Command{
				{Kind: target.Set, ID: statement.OwnID, Name: "v", Value: "1"},
				{Kind: target.PrepareWrite, ID: statement.OwnID, Name: "w1", Value: "shape"},
				{Kind: target.Execute, ID: "1", Text: "EXEC p a", Name: "w1"},
			}
			if lost == target.Begin {
				commands = []target.Command{{Kind: target.Begin, ID: statement.OwnID}}
			}
			for i, cmd := range commands {
				a, err := c.Run(soon(), cmd)
				if i < len(commands)-1 {
					continue
				}
				if err != nil || a.Failure == nil || a.Failure.Code != result.TargetUnreachable || a.Failure.Ran != result.NotRun || a.State != statement.Idle {
					t.Errorf("%s, %v: %+v %v %v", name, failure, a, a.Failure, err)
				}
			}
			if e := c.(target.IndirectConn).Evidence(); e.Direct {
				t.Errorf("%s, %v: counts as an answer of the target", name, failure)
			}
			if len(ran) > 0 {
				t.Errorf("%s, %v: ran %+v", name, failure, ran)
			}
		}
	}
}

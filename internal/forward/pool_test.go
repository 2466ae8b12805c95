package forward_test

import (
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/forward"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
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

// Guards against a statement that runs with another shape, or without its values, after the holder has replaced the pool
// of the target, and against a shape of the time before a reset.
func TestASetupOutlivesTheHoldersPool(t *testing.T) {
	db, driver, holderDirectory := startHolder(t, nil, 3)
	c := dialHolder(t, driver)
	setUp := func(shape string) {
		t.Helper()
		run(t, c, target.Command{Kind: target.Set, ID: statement.OwnID, Name: "v", Value: "value of " + shape})
		run(t, c, target.Command{Kind: target.PrepareWrite, ID: statement.OwnID, Name: "w1", Value: shape})
	}
	execute := func() string {
		t.Helper()
		before := len(db.statements())
		if a := run(t, c, target.Command{Kind: target.Execute, ID: "1", Name: "w1", Text: "EXEC p k"}); a.Failure != nil {
			t.Fatal(a.Failure)
		}
		return strings.TrimPrefix(db.statements()[before:], ", ")
	}
	setUp("one")
	if ran := execute(); ran != "set v value of one, prepare one, execute " {
		t.Fatalf("at the target: %s", ran)
	}
	moved := theTarget
	moved.Address = "y"
	holderDirectory.SetTarget(directory.Target{Target: moved})
	time.Sleep(200 * time.Millisecond) // The holder's pools follow its directory.
	if ran := execute(); ran != "set v value of one, prepare one, execute " {
		t.Fatalf("over a new connection: %s", ran)
	}
	run(t, c, target.Command{Kind: target.Reset, ID: statement.OwnID})
	setUp("two")
	if ran := execute(); ran != "set v value of two, prepare two, execute " {
		t.Fatalf("after a reset: %s", ran)
	}
}

// Guards against a write that takes effect twice: a connection to the holder that breaks after a request was sent must
// not lead to another request.
func TestARequestIsNotSentAgainAfterALostConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var requests atomic.Int32
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 4096)
			_, _ = nc.Read(buffer)
			_, _ = nc.Write([]byte("\x98\xc0\xa0I\x92\x00\x00\xc0\xa0\xc2\xc0")) // The target is open.
			if n, _ := nc.Read(buffer); n > 0 {
				requests.Add(1)
			}
			nc.Close()
		}
	}()
	d := directory.New(topology.VM{ID: "other", DataCentre: "far"})
	d.SetConfiguration(&directory.Configuration{Version: 1, Connections: map[topology.GroupID]int{"g": 3}})
	d.SetVM(topology.VM{ID: "holder", DataCentre: "dc", PeerAddress: l.Addr().String()})
	d.SetVM(topology.VM{ID: "other", DataCentre: "far", PeerAddress: "127.0.0.1:1"})
	d.SetTarget(directory.Target{Target: theTarget})
	pool := target.NewPool(theTarget, 4, forward.NewDriver(d, &database{}), mono.System{}, slog.New(slog.DiscardHandler))
	link := acquire(t, pool)
	if a, err := link.Run(soon(), target.Command{ID: "1", Text: "write a", Insist: true}); err == nil {
		t.Fatalf("%+v", a)
	}
	if !link.Broken() {
		t.Error("the connection is used further")
	}
	link.Release()
	time.Sleep(50 * time.Millisecond)
	if n := requests.Load(); n != 1 {
		t.Fatalf("%d requests were sent", n)
	}
}

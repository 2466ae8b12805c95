package lead

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

func mustRegister(t *testing.T, store metastore.Store, vm topology.VM) topology.VM {
	t.Helper()
	time.Sleep(2 * time.Millisecond) // A start takes longer than one unit of the clock.
	registered, err := Register(context.Background(), store, vm, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return registered
}

// Guards against a joint start of all VMs that waits for as many writes: a restarted VM finds its
// registration and writes it only if its content has changed. Each start has a greater incarnation.
func TestARestartedVMWritesNothing(t *testing.T) {
	store := &writeCounter{Store: metastore.NewMemory()}
	vm := topology.VM{ID: "vm-1", PeerAddress: "127.0.0.1:1"}
	first := mustRegister(t, store, vm)
	second := mustRegister(t, store, vm)
	third := mustRegister(t, store, vm)
	if n := store.writes.Load(); n != 1 {
		t.Fatalf("%d writes", n)
	}
	if first.Incarnation >= second.Incarnation || second.Incarnation >= third.Incarnation {
		t.Fatalf("starts %d, %d, %d", first.Incarnation, second.Incarnation, third.Incarnation)
	}
	vm.PeerAddress = "127.0.0.1:2"
	moved := mustRegister(t, store, vm)
	if n := store.writes.Load(); n != 2 || moved.Incarnation <= third.Incarnation {
		t.Fatalf("%d writes, start %d after %d", n, moved.Incarnation, third.Incarnation)
	}
}

// Guards against two starts with the same incarnation: the registered incarnation is ahead of the
// store's clock, as one derived from the store's version may be.
func TestAnIncarnationAheadOfTheClockIsWritten(t *testing.T) {
	store := &writeCounter{Store: metastore.NewMemory()}
	const ahead = 1 << 40
	raw, err := json.Marshal(topology.VM{ID: "vm-1", Incarnation: ahead})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(t.Context(), Table, vmPrefix+"vm-1", raw, metastore.Version{}); err != nil {
		t.Fatal(err)
	}
	first := mustRegister(t, store, topology.VM{ID: "vm-1"})
	second := mustRegister(t, store, topology.VM{ID: "vm-1"})
	if first.Incarnation <= ahead || second.Incarnation <= first.Incarnation {
		t.Fatalf("starts %d, %d after %d", first.Incarnation, second.Incarnation, ahead)
	}
}

// A VM runs a later incarnation than the one in its registration. Its messages contain the current
// one, and a listing of registrations does not reset it.
func TestMessagesUpdateTheIncarnationOfAVM(t *testing.T) {
	d := directory.New(topology.VM{ID: "self"})
	registered := topology.VM{ID: "vm-1", Incarnation: 3}
	d.SetVMs([]topology.VM{registered})
	d.NoteIncarnation("vm-1", 7)
	d.SetVMs([]topology.VM{registered})
	if vm, _ := d.VM("vm-1"); vm.Incarnation != 7 {
		t.Fatalf("start %d", vm.Incarnation)
	}
	if vms := d.VMs(); vms[0].Incarnation != 7 {
		t.Fatalf("listed with start %d", vms[0].Incarnation)
	}
	d.NoteIncarnation("vm-1", 5)
	if vm, _ := d.VM("vm-1"); vm.Incarnation != 7 {
		t.Fatalf("a late message reset it to %d", vm.Incarnation)
	}
}

// Guards against the registrations of all VMs being removed after a pause of the coordinator: their messages wait and are
// handled only after it has decided that they are silent.
func TestAVMThatIsHeardAgainKeepsItsRegistration(t *testing.T) {
	x := newReplacing(t, "vm-1")
	l, key := x.replaces.Lead, vmPrefix+"vm-3"
	x.put(key, topology.VM{ID: "vm-3", Incarnation: 1})
	x.store.beforeList = func() { l.handleNotice(&message{From: "vm-3"}) }
	l.unregister(t.Context(), "vm-3", 0)
	if !x.isStored(key) {
		t.Fatal("the registration was removed")
	}
	l.unregister(t.Context(), "vm-3", l.lastMessage["vm-3"])
	if x.isStored(key) {
		t.Fatal("a silent VM is still registered")
	}
}

package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

func newTarget(id topology.TargetID, key, address string, at uint64) Target {
	return Target{
		Target:       topology.Target{ID: id, Group: "g", Address: address},
		Registration: key, Started: at,
	}
}

func ids(targets []Target) []topology.TargetID {
	var all []topology.TargetID
	for _, t := range targets {
		all = append(all, t.ID)
	}
	return all
}

// Guards against requests to a database that has ended: it crashed and another one answers at its
// address, or it restarted under its key, and its old entry has not lapsed. The order in which a
// listing returns the two must not matter.
func TestLaterStartSupersedesEarlierOne(t *testing.T) {
	old, other := newTarget("a@5", "a", "10.0.0.1:1", 5), newTarget("z", "z", "10.0.0.2:1", 0)
	for name, successor := range map[string]Target{
		"at its address": newTarget("b@7", "b", "10.0.0.1:1", 7),
		"under its key":  newTarget("a@7", "a", "10.0.0.3:1", 7),
	} {
		for _, order := range [][]Target{{old, other, successor}, {successor, other, old}} {
			d := New(topology.VM{})
			for _, target := range order {
				d.SetTarget(target)
			}
			if got := ids(d.TargetsOf("g")); len(got) != 2 || got[0] != successor.ID || got[1] != "z" {
				t.Errorf("%s: %v", name, got)
			}
			if was, ok := d.Target("a@5"); !ok || !was.Superseded {
				t.Errorf("%s: the earlier one is %+v, %v", name, was, ok)
			}
		}
	}
}

// A database crashes behind a network partition and another one answers at its address; then a late
// heartbeat writes the crashed one's entry again. Neither reports when it started, so both stay in
// use, and connecting shows which one runs. Guards against taking the crashed one for the later
// start: it superseded the running one, and the group read from two databases instead of three for
// half a minute.
func TestLateHeartbeatSupersedesNoTarget(t *testing.T) {
	d := New(topology.VM{})
	d.SetTarget(newTarget("new", "new", "10.0.0.1:1", 0))
	d.SetTarget(newTarget("old", "old", "10.0.0.1:1", 0))
	if got := ids(d.Targets()); len(got) != 2 {
		t.Fatal(got)
	}
	d.SetTarget(newTarget("known@7", "known", "10.0.0.1:1", 7)) // The others may have started later.
	if got := ids(d.Targets()); len(got) != 3 {
		t.Fatal(got)
	}
}

// An entry that is written again without a change does not count as a change.
func TestUnchangedEntryIsNoChange(t *testing.T) {
	d := New(topology.VM{})
	d.SetTarget(newTarget("a", "a", "10.0.0.1:1", 5))
	before := d.Changes()
	if d.SetTarget(newTarget("a", "a", "10.0.0.1:1", 5)) || d.Changes() != before {
		t.Fatal("an unchanged entry counts as a change")
	}
}

func TestRegistrationsAreRemovedByKey(t *testing.T) {
	d := New(topology.VM{})
	d.SetTarget(newTarget("a@1", "a", "10.0.0.1:1", 1))
	d.SetTarget(newTarget("b@1", "b", "10.0.0.2:1", 1))
	d.SetTarget(newTarget("c@1", "c", "10.0.0.3:1", 1))
	if removed := d.RemoveRegistration("a"); len(removed) != 1 || removed[0] != "a@1" {
		t.Fatal(removed)
	}
	if removed := d.KeepRegistrations(map[string]bool{"c": true}); len(removed) != 1 || removed[0] != "b@1" {
		t.Fatal(removed)
	}
	if got := ids(d.Targets()); len(got) != 1 || got[0] != "c@1" {
		t.Fatal(got)
	}
}

// An entry of a group that is in no configuration comes from a writer outside this deployment. It is
// not a target: its group gets no row and no VM connects to it.
func TestGroupsWithoutConfigurationHaveNoTargets(t *testing.T) {
	d := New(topology.VM{})
	d.SetTarget(newTarget("a", "a", "10.0.0.1:1", 1))
	d.SetConfiguration(&Configuration{Version: 1, Connections: map[topology.GroupID]int{"other": 9}})
	if got := d.Groups(); len(got) != 0 {
		t.Fatal(got)
	}
	d.SetConfiguration(&Configuration{Version: 2, Connections: map[topology.GroupID]int{"g": 9}})
	if got := ids(d.Targets()); len(got) != 1 {
		t.Fatal(got)
	}
}

// Guards against a watch of the store by each VM: eight VMs make eight times the calls for the same
// changes.
func TestOneVMWatchesForAll(t *testing.T) {
	d := New(topology.VM{})
	for i, want := range []bool{false, false, true, true} {
		d.SetVM(topology.VM{ID: topology.VMID(rune('a' + i)), Incarnation: 1})
		if d.UsesRelay() != want {
			t.Errorf("with %d VMs: %v", i+1, d.UsesRelay())
		}
	}
}

// Guards against calls that grow with the number of VMs: the more VMs fetch changes, the more changes
// each call has to return, within the delay that a change may have.
func TestChangeDelayGrowsWithVMs(t *testing.T) {
	delay := func(vms int) time.Duration {
		d := New(topology.VM{ID: "self"})
		for i := range vms {
			d.SetVM(topology.VM{ID: topology.VMID(fmt.Sprint(i))})
		}
		return d.ChangeDelay()
	}
	few, some, many, most := delay(7), delay(90), delay(250), delay(4000)
	if few != 0 || some == 0 || many <= some || most < many || most > 2*time.Second {
		t.Fatalf("%v, %v, %v, %v", few, some, many, most)
	}
}

// Guards against a LeavingSince that moves with each report, or is later than the target began to leave.
func TestLeavingSinceIsWhenTheTargetWasLastKnownToStay(t *testing.T) {
	d := New(topology.VM{})
	report := func(leaving bool, upToDateAt mono.Time) {
		target := newTarget("a", "a", "10.0.0.1:1", 1)
		target.Leaving, target.LeavingSince = leaving, upToDateAt
		d.SetTarget(target)
	}
	expect := func(what string, want mono.Time) {
		t.Helper()
		if got, _ := d.Target("a"); got.LeavingSince != want {
			t.Fatalf("%s: since %d, want %d", what, got.LeavingSince, want)
		}
	}
	report(true, 50)
	expect("first seen while it leaves", 0)
	report(false, 60)
	report(true, 70)
	expect("known to stay before", 70)
	before := d.Changes()
	report(true, 80)
	expect("reported again", 70)
	if d.Changes() != before {
		t.Fatal("an unchanged entry counts as a change")
	}
	report(false, 90)
	expect("no longer leaving", 0)
	d.RemoveRegistration("a")
	report(true, 100)
	expect("known again after its entry was removed", 0)
}

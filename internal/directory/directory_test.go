package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

func started(id topology.TargetID, key, address string, at uint64) Target {
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

// A database crashes and another one answers at its address, or it starts again under its key;
// the old entry has not lapsed. Nobody is to be sent to the one that has ended, in whatever
// order a listing brings the two.
func TestALaterStartTakesAnEarlierOnesPlace(t *testing.T) {
	old, other := started("a@5", "a", "10.0.0.1:1", 5), started("z", "z", "10.0.0.2:1", 0)
	for name, successor := range map[string]Target{
		"at its address": started("b@7", "b", "10.0.0.1:1", 7),
		"under its key":  started("a@7", "a", "10.0.0.3:1", 7),
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
				t.Errorf("%s: the former one is %+v, %v", name, was, ok)
			}
		}
	}
}

// A database crashes behind a cut and another one answers at its address; then a late heartbeat
// writes the crashed one's entry again. Neither says when it started: both stay in use, and
// connecting finds out. Taken for the later start, the crashed one displaced the living one, and
// its group read from two databases instead of three for half a minute.
func TestALateHeartbeatDisplacesNobody(t *testing.T) {
	d := New(topology.VM{})
	d.SetTarget(started("new", "new", "10.0.0.1:1", 0))
	d.SetTarget(started("old", "old", "10.0.0.1:1", 0))
	if got := ids(d.Targets()); len(got) != 2 {
		t.Fatal(got)
	}
	d.SetTarget(started("told@7", "told", "10.0.0.1:1", 7)) // The others may have started later.
	if got := ids(d.Targets()); len(got) != 3 {
		t.Fatal(got)
	}
}

// The same entry says nothing new and wakes nobody.
func TestAnUnchangedEntryTellsNothing(t *testing.T) {
	d := New(topology.VM{})
	d.SetTarget(started("a", "a", "10.0.0.1:1", 5))
	before := d.Changes()
	if d.SetTarget(started("a", "a", "10.0.0.1:1", 5)) || d.Changes() != before {
		t.Fatal("told")
	}
}

func TestRegistrationsAreForgottenByTheirKey(t *testing.T) {
	d := New(topology.VM{})
	d.SetTarget(started("a@1", "a", "10.0.0.1:1", 1))
	d.SetTarget(started("b@1", "b", "10.0.0.2:1", 1))
	d.SetTarget(started("c@1", "c", "10.0.0.3:1", 1))
	if gone := d.RemoveRegistration("a"); len(gone) != 1 || gone[0] != "a@1" {
		t.Fatal(gone)
	}
	if gone := d.KeepRegistrations(map[string]bool{"c": true}); len(gone) != 1 || gone[0] != "b@1" {
		t.Fatal(gone)
	}
	if got := ids(d.Targets()); len(got) != 1 || got[0] != "c@1" {
		t.Fatal(got)
	}
}

// An entry of a group that no configuration names comes from another writer. It is no target of
// ours: no row is made for its group and nobody connects to it.
func TestGroupsWithoutConfigurationHaveNoTargets(t *testing.T) {
	d := New(topology.VM{})
	d.SetTarget(started("a", "a", "10.0.0.1:1", 1))
	d.SetConfiguration(&Configuration{Version: 1, Connections: map[topology.GroupID]int{"other": 9}})
	if got := d.Groups(); len(got) != 0 {
		t.Fatal(got)
	}
	d.SetConfiguration(&Configuration{Version: 2, Connections: map[topology.GroupID]int{"g": 9}})
	if got := ids(d.Targets()); len(got) != 1 {
		t.Fatal(got)
	}
}

// Eight VMs that each watch the store make eight times its calls for the same news.
func TestOneVMWatchesForAll(t *testing.T) {
	d := New(topology.VM{})
	for i, want := range []bool{false, false, true, true} {
		d.SetVM(topology.VM{ID: topology.VMID(rune('a' + i)), Incarnation: 1})
		if d.Relays() != want {
			t.Errorf("with %d VMs: %v", i+1, d.Relays())
		}
	}
}

// Guards against calls that grow with the number of VMs: the more VMs fetch changes, the more changes
// each call brings, within what a late change may cost.
func TestWatchesRestLongerWithMoreVMs(t *testing.T) {
	rest := func(vms int) time.Duration {
		d := New(topology.VM{ID: "self"})
		for i := range vms {
			d.SetVM(topology.VM{ID: topology.VMID(fmt.Sprint(i))})
		}
		return d.ChangeRest()
	}
	few, some, many, most := rest(7), rest(90), rest(250), rest(4000)
	if few != 0 || some == 0 || many <= some || most < many || most > 2*time.Second {
		t.Fatalf("%v, %v, %v, %v", few, some, many, most)
	}
}

// Guards against a departure that seems to begin anew, or later than it did, with each word of it.
func TestADepartureBeginsWhenTheTargetWasLastKnownToStay(t *testing.T) {
	d := New(topology.VM{})
	say := func(leaving bool, current mono.Time) {
		target := started("a", "a", "10.0.0.1:1", 1)
		target.Leaving, target.LeavingSince = leaving, current
		d.SetTarget(target)
	}
	expect := func(what string, want mono.Time) {
		t.Helper()
		if got, _ := d.Target("a"); got.LeavingSince != want {
			t.Fatalf("%s: since %d, want %d", what, got.LeavingSince, want)
		}
	}
	say(true, 50)
	expect("first heard of as it leaves", 0)
	say(false, 60)
	say(true, 70)
	expect("it stayed before", 70)
	before := d.Changes()
	say(true, 80)
	expect("the same again", 70)
	if d.Changes() != before {
		t.Fatal("the same entry told something")
	}
	say(false, 90)
	expect("it stays", 0)
	d.RemoveRegistration("a")
	say(true, 100)
	expect("its entry had lapsed", 0)
}

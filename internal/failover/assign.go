package failover

import (
	"context"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// assign updates the groups in which this VM is the holder or may promote a
// replica.
func (d *Driver) assign(ctx context.Context) {
	assignments := d.o.Directory.Assignments()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Clock.Now()
	present := map[topology.GroupID]bool{}
	for _, assignment := range assignments {
		present[assignment.Group] = true
		d.updateAssignment(ctx, d.withListedReplica(assignment), now)
	}
	for id := range d.assignments {
		if present[id] {
			continue
		}
		if assignment := d.withListedReplica(Assignment{Group: id}); len(assignment.Targets) > 0 {
			d.updateAssignment(ctx, assignment, now)
			continue
		}
		d.dropAssignment(id)
	}
	d.unwatchOthers()
}

// listedReplica returns the replica for which the group's row lists this VM as a
// promoter, or "".
func (d *Driver) listedReplica(id topology.GroupID) topology.TargetID {
	row := d.o.Directory.Group(id)
	if row == nil {
		return ""
	}
	return listedReplicaIn(row, d.o.Directory.Self())
}

func listedReplicaIn(row *topology.Group, self topology.VM) topology.TargetID {
	for _, e := range row.Promoters {
		if e.VM == self.ID && e.Incarnation == self.Incarnation && e.Replica != row.Primary {
			return e.Replica
		}
	}
	return ""
}

// joinIfListed reports whether the row lists this VM as a promoter. If so, this VM
// takes part in the group from the next assignment on. The caller holds the lock.
//
// Failure: another VM died, and only the holder knows yet. It lists this VM as the
// replacement. This VM promises when asked, but neither polls the replica nor makes
// it follow a new primary, so no replica is synced and requests of classes that
// wait for replicas are refused.
func (d *Driver) joinIfListed(row *topology.Group) bool {
	if listedReplicaIn(row, d.o.Directory.Self()) == "" {
		return false
	}
	d.assignments[row.ID] = Assignment{Group: row.ID}
	return true
}

// withListedReplica adds the replica for which the group's row lists this VM.
//
// Failure: another VM has become the pooler of the replica, and the primary dies
// before the list is updated. The listed VM no longer watches the group, the new
// pooler may not promote yet, and callers' writes wait until the promises of a new
// list have lapsed.
func (d *Driver) withListedReplica(assignment Assignment) Assignment {
	replica := d.listedReplica(assignment.Group)
	if replica == "" || slices.Contains(assignment.Targets, replica) {
		return assignment
	}
	assignment.Targets = append(slices.Clone(assignment.Targets), replica)
	return assignment
}

func (d *Driver) updateAssignment(ctx context.Context, assignment Assignment, now mono.Time) {
	d.assignments[assignment.Group] = assignment
	row := d.o.Directory.Group(assignment.Group)
	if row == nil {
		return
	}
	read := authority.RowRead{Row: row}
	d.holder.ObserveRow(read, now)
	d.promoter.ObserveRow(read, now)
	d.watch(row.Primary, now)
	if t := d.promotableReplica(assignment, row); t != "" {
		d.promoter.SetReplica(assignment.Group, t)
	}
	if slices.Contains(assignment.Targets, row.Primary) {
		d.held[assignment.Group] = row.Primary
		d.holder.Serve(assignment.Group, row.Primary)
		d.holder.Candidates(assignment.Group, d.candidatesFor(ctx, row, assignment.Candidates))
	} else {
		d.dropHeld(assignment.Group)
	}
	d.logTerm(row)
}

// promotableReplica returns the replica that this VM may promote: the one for
// which the group's row lists it, or else one that it pools.
func (d *Driver) promotableReplica(assignment Assignment, row *topology.Group) topology.TargetID {
	if replica := d.listedReplica(assignment.Group); replica != "" {
		return replica
	}
	for _, t := range assignment.Targets {
		if t != row.Primary {
			return t
		}
	}
	return ""
}

// maxHeardAge is the maximum age of the last sign of life of a VM that is to be
// listed as a promoter.
const maxHeardAge = time.Second

// candidatesFor returns the poolers of the replicas as candidates for the list of
// promoters. A pooler that is not listed yet must have given a recent sign of life;
// until then the listed one stays.
//
// Failure: a data centre was just cut off and its VMs still count as live. When
// listed, they don't promise, and they replace each other in turn while the promises
// of the previous versions lapse: writes waited 2 s longer.
func (d *Driver) candidatesFor(ctx context.Context, row *topology.Group, all []topology.Promoter) []topology.Promoter {
	list := []topology.Promoter{}
	for _, p := range all {
		if p.Replica == row.Primary {
			continue
		}
		if d.mayList(row, p) {
			list = append(list, p)
			continue
		}
		d.o.Liveness.Probe(ctx, p.VM)
		list = append(list, entriesFor(row, p.Replica)...)
	}
	return onePerVM(list, d.sameDataCentre)
}

// sameDataCentre reports whether the entry's VM and replica share a data centre.
func (d *Driver) sameDataCentre(p topology.Promoter) bool {
	vm, known := d.o.Directory.VM(p.VM)
	limits, listed := d.o.Directory.Target(p.Replica)
	return known && listed && vm.DataCentre == limits.DataCentre
}

// onePerVM keeps one entry per VM and prefers a replica in the VM's own data centre.
//
// Failure: a data centre is lost, and a VM elsewhere pools the dead replica there in
// addition to the live one in its own data centre. A list has one entry per VM; with the
// dead replica in it instead of the live one, no replica was synced, and each write of a
// class that waits for replicas took four seconds.
func onePerVM(list []topology.Promoter, sameDataCentre func(topology.Promoter) bool) []topology.Promoter {
	kept := []topology.Promoter{}
	listed := map[topology.VMID]bool{}
	for _, local := range []bool{true, false} {
		for _, p := range list {
			if sameDataCentre(p) == local && !listed[p.VM] {
				listed[p.VM] = true
				kept = append(kept, p)
			}
		}
	}
	return kept
}

func (d *Driver) mayList(row *topology.Group, p topology.Promoter) bool {
	if p.VM == d.o.Directory.Self().ID || d.o.Directory.HeardWithin(p.VM, maxHeardAge) {
		return true
	}
	return slices.ContainsFunc(row.Promoters, func(e topology.Promoter) bool {
		return e.VM == p.VM && e.Incarnation == p.Incarnation
	})
}

// entriesFor returns the row's promoters of a replica.
func entriesFor(row *topology.Group, replica topology.TargetID) []topology.Promoter {
	var list []topology.Promoter
	for _, e := range row.Promoters {
		if e.Replica == replica {
			list = append(list, e)
		}
	}
	return list
}

func (d *Driver) logTerm(row *topology.Group) {
	if d.loggedTerms[row.ID] == row.Term {
		return
	}
	d.loggedTerms[row.ID] = row.Term
	d.o.Log.Info("event=primary", "group", row.ID, "term", row.Term, "primary", row.Primary, "version", row.Version)
}

func (d *Driver) dropAssignment(id topology.GroupID) {
	d.dropHeld(id)
	if _, held := d.held[id]; held {
		return
	}
	for _, t := range d.assignments[id].Targets {
		delete(d.polling, t)
	}
	delete(d.pollStates, id)
	delete(d.assignments, id)
}

// dropHeld ends this VM's role as the holder of a group, but not while a request or a
// transaction is open here. Until then two VMs are holders for the same term, which is
// harmless; the requests here end soon, since entries send new ones to the other VM.
//
// Failure: a VM restarts and takes its targets back while writes run on them here. The
// writes commit and nothing has failed, yet their callers got an unknown outcome: 3 writes
// of one restart, in 1 of 54 restarts of five VMs under load.
func (d *Driver) dropHeld(id topology.GroupID) {
	target, ok := d.held[id]
	if !ok || d.o.Pooler.Running(target) > 0 {
		return
	}
	delete(d.held, id)
	d.holder.Drop(id)
}

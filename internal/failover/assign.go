package failover

import (
	"context"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// assign works out which groups this VM holds and stands in.
func (d *Driver) assign(ctx context.Context) {
	parts := d.o.Directory.Parts()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Clock.Now()
	present := map[topology.GroupID]bool{}
	for _, part := range parts {
		present[part.Group] = true
		d.assignPart(ctx, d.withListed(part), now)
	}
	for id := range d.parts {
		if present[id] {
			continue
		}
		if part := d.withListed(Part{Group: id}); len(part.Targets) > 0 {
			d.assignPart(ctx, part, now)
			continue
		}
		d.dropPart(id)
	}
	d.forgetOthers()
}

// listed returns the replica that the group's list has this VM for, or "".
func (d *Driver) listed(id topology.GroupID) topology.TargetID {
	row := d.o.Directory.Group(id)
	if row == nil {
		return ""
	}
	return listedIn(row, d.o.Directory.Self())
}

func listedIn(row *topology.Group, self topology.VM) topology.TargetID {
	for _, e := range row.Promoters {
		if e.VM == self.ID && e.Incarnation == self.Incarnation && e.Replica != row.Primary {
			return e.Replica
		}
	}
	return ""
}

// lists reports whether the row has this VM in its list, and has it take part in
// the group from the next look on; the caller holds the lock.
//
// Failure: another VM died, and only the holder knows yet. It lists this VM in its
// place, which promises when asked, but looks neither at the replica nor has it
// follow a new primary, so no replica is synced and classes that wait are refused.
func (d *Driver) lists(row *topology.Group) bool {
	if listedIn(row, d.o.Directory.Self()) == "" {
		return false
	}
	d.parts[row.ID] = Part{Group: row.ID}
	return true
}

// withListed adds the replica that the list has this VM for.
//
// Failure: another VM has come to pool the replica, and the primary dies before
// the list says so. The one in the list looks away, the other one may not promote
// yet, and callers' writes wait until a new list's promises have lapsed.
func (d *Driver) withListed(part Part) Part {
	replica := d.listed(part.Group)
	if replica == "" || slices.Contains(part.Targets, replica) {
		return part
	}
	part.Targets = append(slices.Clone(part.Targets), replica)
	return part
}

func (d *Driver) assignPart(ctx context.Context, part Part, now mono.Time) {
	d.parts[part.Group] = part
	row := d.o.Directory.Group(part.Group)
	if row == nil {
		return
	}
	read := authority.RowRead{Row: row}
	d.holder.ObserveRow(read, now)
	d.promoter.ObserveRow(read, now)
	d.watch(row.Primary, now)
	if t := d.standsFor(part, row); t != "" {
		d.promoter.SetReplica(part.Group, t)
	}
	if slices.Contains(part.Targets, row.Primary) {
		d.held[part.Group] = row.Primary
		d.holder.Serve(part.Group, row.Primary)
		d.holder.Candidates(part.Group, d.candidatesFor(ctx, row, part.Candidates))
	} else {
		d.dropHeld(part.Group)
	}
	d.logTerm(row)
}

// standsFor picks the replica that this VM speaks for: the one that the list has
// it for, or else one that it pools.
func (d *Driver) standsFor(part Part, row *topology.Group) topology.TargetID {
	if replica := d.listed(part.Group); replica != "" {
		return replica
	}
	for _, t := range part.Targets {
		if t != row.Primary {
			return t
		}
	}
	return ""
}

// heardLately is how old the sign of life of a VM may be that is to be listed.
const heardLately = time.Second

// candidatesFor returns the poolers of the replicas. One that is not listed yet
// must have been heard lately; until then the listed one stays.
//
// Failure: a data centre was just cut off and its VMs still count as live. Listed,
// they don't promise, and are replaced by each other in turn while the promises
// of the versions before lapse: writes waited 2 s more.
func (d *Driver) candidatesFor(ctx context.Context, row *topology.Group, all []topology.Promoter) []topology.Promoter {
	list := []topology.Promoter{}
	for _, p := range all {
		if p.Replica == row.Primary {
			continue
		}
		if d.known(row, p) {
			list = append(list, p)
			continue
		}
		d.o.Doubt.Ask(ctx, p.VM)
		list = append(list, entriesFor(row, p.Replica)...)
	}
	return onePerVM(list, d.beside)
}

// beside reports whether the entry's VM and replica share a data centre.
func (d *Driver) beside(p topology.Promoter) bool {
	vm, known := d.o.Directory.VM(p.VM)
	limits, listed := d.o.Directory.Target(p.Replica)
	return known && listed && vm.DataCentre == limits.DataCentre
}

// onePerVM keeps one entry a VM, that for a replica beside it before others.
//
// Failure: a data centre is lost, and a VM elsewhere pools the replica there besides the
// living one of its own. A list has one entry a VM; with the dead replica in it, and not the
// living one, no replica was synced, and each write of a class that waits took four seconds.
func onePerVM(list []topology.Promoter, beside func(topology.Promoter) bool) []topology.Promoter {
	kept := []topology.Promoter{}
	listed := map[topology.VMID]bool{}
	for _, wanted := range []bool{true, false} {
		for _, p := range list {
			if beside(p) == wanted && !listed[p.VM] {
				listed[p.VM] = true
				kept = append(kept, p)
			}
		}
	}
	return kept
}

func (d *Driver) known(row *topology.Group, p topology.Promoter) bool {
	if p.VM == d.o.Directory.Self().ID || d.o.Directory.HeardWithin(p.VM, heardLately) {
		return true
	}
	return slices.ContainsFunc(row.Promoters, func(e topology.Promoter) bool {
		return e.VM == p.VM && e.Incarnation == p.Incarnation
	})
}

// entriesFor returns the list's entries for a replica.
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
	if d.seen[row.ID] == row.Term {
		return
	}
	d.seen[row.ID] = row.Term
	d.o.Log.Info("event=primary", "group", row.ID, "term", row.Term, "primary", row.Primary, "version", row.Version)
}

func (d *Driver) dropPart(id topology.GroupID) {
	d.dropHeld(id)
	if _, held := d.held[id]; held {
		return
	}
	for _, t := range d.parts[id].Targets {
		delete(d.asking, t)
	}
	delete(d.paces, id)
	delete(d.parts, id)
}

// dropHeld ends this VM's part as the primary's pooler, but not while a request or a
// transaction is open here. Until then two VMs hold for the same term, which is harmless;
// requests end here soon, since entries send new ones to the other VM.
//
// Failure: a VM is started again and takes its targets back while writes run on them here.
// They commit, nothing has failed, and yet their callers heard that the outcome is unknown:
// 3 writes of one restart, in 1 of 54 restarts of five VMs under load.
func (d *Driver) dropHeld(id topology.GroupID) {
	target, ok := d.held[id]
	if !ok || d.o.Pooler.Running(target) > 0 {
		return
	}
	delete(d.held, id)
	d.holder.Drop(id)
}

package authority

import (
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// entry is one committed write.
type entry struct {
	term uint64
	id   int
}

func (e entry) position(index int) position.Position {
	return position.Position{Term: e.term, Index: uint64(index + 1)}
}

// database simulates a database that follows the contract of docs/design/0001.
type database struct {
	id topology.TargetID
	dc int
	up bool
	// frozen makes a database that is not up leave new connections unanswered instead
	// of refusing them.
	frozen bool
	// lagging makes a replica copy entries rarely.
	lagging bool
	log     []entry
	term    uint64
	fenced  uint64
	primary topology.TargetID
	// rewind is set while the log may hold entries that the primary does not.
	rewind bool
}

func (d *database) isPrimary() bool { return d.primary == d.id }

func (d *database) position() position.Position {
	if len(d.log) == 0 {
		return position.Position{}
	}
	return d.log[len(d.log)-1].position(len(d.log) - 1)
}

func (d *database) status() ReplicaStatus {
	return ReplicaStatus{
		Reachable: !d.rewind && d.fenced <= d.term,
		Term:      d.term, Primary: d.primary, Position: d.position(),
	}
}

// write appends the entry if the database is the primary of the entry's term.
func (d *database) write(e entry) (int, bool) {
	if !d.up || !d.isPrimary() || d.term != e.term || d.fenced > d.term {
		return 0, false
	}
	d.log = append(d.log, e)
	return len(d.log) - 1, true
}

func (d *database) fence(term uint64) bool {
	if !d.up || term <= d.term || d.isPrimary() {
		return false
	}
	d.fenced = max(d.fenced, term)
	return true
}

func (d *database) promote(w *world, term uint64) bool {
	if !d.up || term < d.term || (term == d.term && !d.isPrimary()) {
		return false
	}
	if term > d.term {
		d.term = term
		d.primary = d.id
		d.rewind = false
		// The first entry of the term distinguishes this log from others (contract).
		d.log = append(d.log, entry{term: term})
		w.checkWrites(d)
	}
	return true
}

func (d *database) follow(term uint64, primary topology.TargetID) {
	if !d.up || term < d.term || primary == d.id || (term == d.term && d.isPrimary()) {
		return
	}
	d.rewind = d.rewind || d.term != term
	d.term = term
	d.primary = primary
	d.fenced = 0
}

// replicate copies some entries to each replica that follows a primary.
func (w *world) replicate() {
	for _, d := range w.dbs {
		p := w.dbs[indexOf(string(d.primary))]
		if d == p || !d.up || !p.up || w.cut[d.dc][p.dc] || d.term != p.term || !p.isPrimary() || d.fenced > d.term {
			continue
		}
		if d.rewind {
			d.log = d.log[:common(d.log, p.log)]
			d.rewind = false
		}
		if d.lagging && w.rng.IntN(30) > 0 {
			continue
		}
		n := min(w.rng.IntN(4), len(p.log)-len(d.log))
		d.log = append(d.log, p.log[len(d.log):len(d.log)+n]...)
	}
}

func common(a, b []entry) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

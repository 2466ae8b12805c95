package database

import "github.com/buckthornshore/buckthornshore/pkg/position"

// Write is one row change of an entry.
type Write struct {
	Table  string `json:"t"`
	Key    string `json:"k"`
	Value  string `json:"v,omitempty"`
	Delete bool   `json:"d,omitempty"`
}

// Entry is a log entry: the changes of one commit.
type Entry struct {
	Term   uint64  `json:"term"`
	Index  uint64  `json:"index"`
	Writes []Write `json:"writes,omitempty"`
}

// Position returns the position of the entry in the log.
func (e Entry) Position() position.Position {
	return position.Position{Term: e.Term, Index: e.Index}
}

func (d *Database) positionLocked() position.Position {
	if len(d.entries) == 0 {
		return position.Position{}
	}
	return d.entries[len(d.entries)-1].Position()
}

// Position returns the position of the newest applied entry.
func (d *Database) Position() position.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.positionLocked()
}

// appendLocked saves entries to the data file, adds them to the log and applies
// them.
func (d *Database) appendLocked(entries ...Entry) {
	d.saveLocked(recordsOf(entries)...)
	for _, e := range entries {
		d.applyLocked(e)
	}
	d.signalLocked()
}

func (d *Database) applyLocked(e Entry) {
	before := d.positionLocked()
	invariant(e.Index == uint64(len(d.entries))+1, "index %d after %d entries", e.Index, len(d.entries))
	invariant(e.Term >= before.Term, "term of entries decreases from %d to %d", before.Term, e.Term)
	d.entries = append(d.entries, e)
	d.applyWritesLocked(e.Writes)
	invariant(before.Less(d.positionLocked()), "position does not increase from %s to %s", before, d.positionLocked())
}

func (d *Database) applyWritesLocked(writes []Write) {
	for _, w := range writes {
		table := d.tables[w.Table]
		if table == nil {
			table = map[string]string{}
			d.tables[w.Table] = table
		}
		if w.Delete {
			delete(table, w.Key)
			continue
		}
		table[w.Key] = w.Value
	}
}

// cutLocked removes the entries after index common and rebuilds the tables from
// the remaining ones. It logs the removed range, since nothing else moves a
// position back.
func (d *Database) cutLocked(common uint64) {
	if common >= uint64(len(d.entries)) {
		return
	}
	from := d.entries[common].Position()
	to := d.positionLocked()
	count := uint64(len(d.entries)) - common
	d.saveLocked(fileRecord{Cut: &cutRecord{Keep: common}})
	d.rebuildLocked(common)
	d.surplus = &from
	d.signalLocked()
	d.cfg.Log.Warn("surplus entries discarded", "event", "surplus_discarded", "id", d.cfg.ID,
		"from", from.String(), "to", to.String(), "entries", count)
}

func (d *Database) rebuildLocked(keep uint64) {
	d.entries = append([]Entry(nil), d.entries[:keep]...)
	d.tables = map[string]map[string]string{}
	for _, e := range d.entries {
		d.applyWritesLocked(e.Writes)
	}
}

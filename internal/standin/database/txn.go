package database

import "slices"

// txn is an open transaction. It is guarded by Database.mu.
type txn struct {
	locked []rowKey
	// writes holds the newest write of each row; order lists the rows in the
	// order of their first write.
	writes map[rowKey]Write
	order  []rowKey
	// ended is set when a change of term has rolled back the transaction.
	ended bool
	// implicit is set for the transaction of a batch without BEGIN.
	implicit bool
}

func (d *Database) beginTxn(implicit bool) *txn {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := &txn{writes: map[rowKey]Write{}, implicit: implicit}
	d.txns[t] = struct{}{}
	return t
}

// rollback ends t and discards its writes.
func (d *Database) rollback(t *txn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endTxnLocked(t)
}

// hasEnded reports whether a change of term rolled t back.
func (d *Database) hasEnded(t *txn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return t.ended
}

func (d *Database) endTxnLocked(t *txn) {
	d.locks.releaseAll(t)
	delete(d.txns, t)
}

// rollbackAllLocked rolls back every open transaction, as a change of term requires.
func (d *Database) rollbackAllLocked() {
	for t := range d.txns {
		t.ended = true
		t.locked = nil
		delete(d.txns, t)
	}
	d.locks.clear()
}

func (t *txn) write(w Write) {
	key := rowKey{w.Table, w.Key}
	if _, ok := t.writes[key]; !ok {
		t.order = append(t.order, key)
	}
	t.writes[key] = w
}

// orderedWrites returns the writes in the order of the first write to each row.
func (t *txn) orderedWrites() []Write {
	out := make([]Write, 0, len(t.order))
	for _, key := range t.order {
		out = append(out, t.writes[key])
	}
	return out
}

// getLocked reads a row as t sees it: its own write if there is one, otherwise
// the committed value.
func (d *Database) getLocked(t *txn, key rowKey) (string, bool) {
	if t != nil {
		if w, ok := t.writes[key]; ok {
			return w.Value, !w.Delete
		}
	}
	v, ok := d.tables[key.table][key.key]
	return v, ok
}

// scanLocked returns the matching keys that t sees, sorted.
func (d *Database) scanLocked(t *txn, table string, match func(string) bool) []string {
	var keys []string
	for key := range d.tables[table] {
		if match(key) && !t.hasWrite(rowKey{table, key}) {
			keys = append(keys, key)
		}
	}
	if t != nil {
		for key, w := range t.writes {
			if key.table == table && !w.Delete && match(key.key) {
				keys = append(keys, key.key)
			}
		}
	}
	slices.Sort(keys)
	return keys
}

func (t *txn) hasWrite(key rowKey) bool {
	if t == nil {
		return false
	}
	_, ok := t.writes[key]
	return ok
}

package database

import "slices"

// txn is one open transaction. The database's mutex guards it.
type txn struct {
	locked []rowKey
	// writes holds the newest write of each row; order keeps the rows in
	// order of their first write.
	writes map[rowKey]Write
	order  []rowKey
	// ended is set by a change of term, which rolls back every transaction.
	ended bool
	// implicit marks the transaction of a batch without BEGIN.
	implicit bool
}

func (d *Database) beginTxn(implicit bool) *txn {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := &txn{writes: map[rowKey]Write{}, implicit: implicit}
	d.txns[t] = struct{}{}
	return t
}

// rollback ends t and undoes its writes.
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

// endAllLocked rolls back every open transaction, because the term changes.
func (d *Database) endAllLocked() {
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

// list returns the writes in order.
func (t *txn) list() []Write {
	out := make([]Write, 0, len(t.order))
	for _, key := range t.order {
		out = append(out, t.writes[key])
	}
	return out
}

// get reads a row as t sees it: its own write, else what is committed.
func (d *Database) getLocked(t *txn, key rowKey) (string, bool) {
	if t != nil {
		if w, ok := t.writes[key]; ok {
			return w.Value, !w.Delete
		}
	}
	v, ok := d.tables[key.table][key.key]
	return v, ok
}

// scanLocked returns the keys that match, in order, as t sees them.
func (d *Database) scanLocked(t *txn, table string, match func(string) bool) []string {
	var keys []string
	for key := range d.tables[table] {
		if match(key) && !t.touches(rowKey{table, key}) {
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

func (t *txn) touches(key rowKey) bool {
	if t == nil {
		return false
	}
	_, ok := t.writes[key]
	return ok
}

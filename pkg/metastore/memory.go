package metastore

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Memory is an in-memory Store for tests.
type Memory struct {
	mu      sync.Mutex
	version Version
	tables  map[string]map[string]Row
	changed chan struct{}
	// oldest is the oldest version whose changes are kept.
	oldest Version
	began  time.Time
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{tables: map[string]map[string]Row{}, changed: make(chan struct{}), began: time.Now()}
}

// ForgetHistory drops the changes so far. A watch that starts before them then fails with ErrHistoryGone.
func (m *Memory) ForgetHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.oldest = m.version.Next()
	m.notify()
}

// Backup is a copy of the rows of a Memory.
type Backup struct {
	version uint64
	tables  map[string]map[string]Row
}

// Backup returns a copy of all rows.
func (m *Memory) Backup() Backup {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Backup{version: m.version.Number, tables: map[string]map[string]Row{}}
	for name, rows := range m.tables {
		b.tables[name] = maps.Clone(rows)
	}
	return b
}

// Restore begins a new era with the rows of a copy. What was written since is lost, and the versions
// after the copy's are given out again.
func (m *Memory) Restore(b Backup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = Version{Era: m.version.Era + 1, Number: b.version}
	m.oldest = m.version
	m.tables = map[string]map[string]Row{}
	for name, rows := range b.tables {
		m.tables[name] = map[string]Row{}
		for key, row := range rows {
			row.Version.Era = m.version.Era
			m.tables[name][key] = row
		}
	}
	m.notify()
}

func (m *Memory) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// List implements Store.
func (m *Memory) List(_ context.Context, table string, keys Range) (Rows, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := slices.DeleteFunc(m.rowsAfter(table, Version{}, false), func(r Row) bool { return !keys.Contains(r.Key) })
	return Rows{Rows: rows, Version: m.version, Clock: time.Since(m.began)}, nil
}

func (m *Memory) rowsAfter(table string, after Version, deleted bool) []Row {
	var rows []Row
	for _, r := range m.tables[table] {
		if r.Version.After(after) && (deleted || !r.Deleted) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return a.Version.Compare(b.Version) })
	return rows
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, table string, after Version, wait time.Duration) (Rows, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		var err error
		if m.oldest.After(after.Next()) || after.Era != m.version.Era {
			err = ErrHistoryGone
		}
		rows := Rows{Rows: m.rowsAfter(table, after, true), Version: m.version}
		changed := m.changed
		m.mu.Unlock()
		if err != nil || len(rows.Rows) > 0 {
			return rows, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return rows, nil
		case <-ctx.Done():
			return Rows{}, ctx.Err()
		}
	}
}

// Put implements Store.
func (m *Memory) Put(_ context.Context, table, key string, value []byte, expected Version) (Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.change(table, Row{Key: key, Value: slices.Clone(value)}, expected)
}

// PutAll implements Store.
func (m *Memory) PutAll(_ context.Context, table string, writes []Write) (Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range writes {
		if !m.isAt(table, w.Key, w.Expected) {
			return Version{}, ErrConflict
		}
	}
	m.version = m.version.Next()
	for _, w := range writes {
		m.set(table, Row{Key: w.Key, Value: slices.Clone(w.Value), Version: m.version})
	}
	m.notify()
	return m.version, nil
}

// Delete implements Store.
func (m *Memory) Delete(_ context.Context, table, key string, expected Version, marker string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	version, err := m.change(table, Row{Key: key, Deleted: true}, expected)
	if err == nil && marker != "" {
		m.tables[table][marker] = Row{Key: marker, Value: []byte(key), Version: version}
	}
	return err
}

func (m *Memory) change(table string, row Row, expected Version) (Version, error) {
	if !m.isAt(table, row.Key, expected) {
		return Version{}, ErrConflict
	}
	m.version = m.version.Next()
	row.Version = m.version
	m.set(table, row)
	m.notify()
	return row.Version, nil
}

// isAt reports whether a row has the expected version.
func (m *Memory) isAt(table, key string, expected Version) bool {
	present := m.tables[table][key]
	if present.Deleted {
		present.Version = Version{}
	}
	return present.Version.Number == expected.Number && (expected.Number == 0 || present.Version.Era == expected.Era)
}

func (m *Memory) set(table string, row Row) {
	if m.tables[table] == nil {
		m.tables[table] = map[string]Row{}
	}
	m.tables[table][row.Key] = row
}

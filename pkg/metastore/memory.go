package metastore

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Memory is an in-memory Store for tests.
type Memory struct {
	mu      sync.Mutex
	version uint64
	tables  map[string]map[string]Row
	changed chan struct{}
	// oldest is the oldest version whose changes are kept.
	oldest uint64
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
	m.oldest = m.version + 1
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
	rows := slices.DeleteFunc(m.rowsAfter(table, 0, false), func(r Row) bool { return !keys.Contains(r.Key) })
	return Rows{Rows: rows, Version: m.version, Clock: time.Since(m.began)}, nil
}

func (m *Memory) rowsAfter(table string, after uint64, deleted bool) []Row {
	var rows []Row
	for _, r := range m.tables[table] {
		if r.Version > after && (deleted || !r.Deleted) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return rows
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Rows, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		var err error
		if after+1 < m.oldest {
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
func (m *Memory) Put(_ context.Context, table, key string, value []byte, expected uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.change(table, Row{Key: key, Value: slices.Clone(value)}, expected)
}

// Delete implements Store.
func (m *Memory) Delete(_ context.Context, table, key string, expected uint64, marker string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	version, err := m.change(table, Row{Key: key, Deleted: true}, expected)
	if err == nil && marker != "" {
		m.tables[table][marker] = Row{Key: marker, Value: []byte(key), Version: version}
	}
	return err
}

func (m *Memory) change(table string, row Row, expected uint64) (uint64, error) {
	present := m.tables[table][row.Key]
	if present.Deleted {
		present.Version = 0
	}
	if present.Version != expected {
		return 0, ErrConflict
	}
	m.version++
	row.Version = m.version
	if m.tables[table] == nil {
		m.tables[table] = map[string]Row{}
	}
	m.tables[table][row.Key] = row
	m.notify()
	return row.Version, nil
}

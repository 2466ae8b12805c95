package platform

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Memory is an in-memory implementation of Service. Tests use it, and the
// stand-in process serves it. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]Row
	blobs    map[string][]byte
	vms      map[topology.VMID]topology.VM
}

// NewMemory returns an empty platform.
func NewMemory() *Memory {
	return &Memory{
		rows:  map[string]Row{},
		blobs: map[string][]byte{},
		vms:   map[topology.VMID]topology.VM{},
	}
}

// Scan implements Table.
func (m *Memory) Scan(_ context.Context, prefix string, since uint64) ([]Row, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && row.Revision > since {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Revision < rows[j].Revision })
	return rows, m.revision, nil
}

// Commit implements Table.
func (m *Memory) Commit(_ context.Context, txn Txn) (Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out Outcome
	for _, c := range txn.Conditions {
		row, ok := m.rows[c.Key]
		if !ok || row.Deleted {
			row = Row{Key: c.Key, Deleted: true}
		}
		if liveRevision(row) != c.Revision {
			out.Conflicts = append(out.Conflicts, row)
		}
	}
	if len(out.Conflicts) > 0 {
		return out, nil
	}
	m.revision++
	for _, w := range txn.Writes {
		value := append([]byte(nil), w.Value...)
		m.rows[w.Key] = Row{Key: w.Key, Value: value, Revision: m.revision, Deleted: w.Delete}
	}
	out.Committed = true
	out.Revision = m.revision
	return out, nil
}

func liveRevision(row Row) uint64 {
	if row.Deleted {
		return 0
	}
	return row.Revision
}

// Put implements Objects.
func (m *Memory) Put(_ context.Context, name string, blob []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blobs[name] = append([]byte(nil), blob...)
	return nil
}

// Get implements Objects.
func (m *Memory) Get(_ context.Context, name string) ([]byte, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	blob, ok := m.blobs[name]
	return blob, ok, nil
}

// List implements VMs.
func (m *Memory) List(context.Context) ([]topology.VM, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	vms := make([]topology.VM, 0, len(m.vms))
	for _, vm := range m.vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms, nil
}

// Register implements VMs.
func (m *Memory) Register(_ context.Context, vm topology.VM) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms[vm.ID] = vm
	return nil
}

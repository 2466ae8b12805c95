// Package platform holds the interfaces to the platform's service: a
// transactional table, an object store and a list of VMs. What must last or be
// agreed goes through it; nothing else does.
//
// All calls may fail by an outage, and a Commit may take effect without its
// answer arriving. Callers bound every call by their context.
package platform

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// ErrUnavailable marks a call that certainly had no effect, or was a read.
var ErrUnavailable = errors.New("platform: unavailable")

// ErrUnknown marks a commit whose answer was lost; it may have taken effect.
var ErrUnknown = errors.New("platform: outcome unknown")

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Revision of the whole table at the write of this row.
	Revision uint64
	// Deleted rows stay visible to scans that ask what changed.
	Deleted bool
}

// Condition holds while the row's revision is as given; 0: there is no row.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is applied whole or not at all: when every condition holds.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Outcome of a commit that was answered.
type Outcome struct {
	Committed bool
	// Revision of the table after the commit, when committed.
	Revision uint64
	// Conflicts are the rows, as they are, whose condition failed.
	Conflicts []Row
}

// Table is the transactional table; reads are strongly consistent.
type Table interface {
	// Scan returns the rows below prefix written after revision since, deleted
	// ones included, and the table's revision at the read.
	Scan(ctx context.Context, prefix string, since uint64) ([]Row, uint64, error)
	// Commit applies txn. On ErrUnknown the caller reads back to learn whether
	// it took effect, so what it writes must carry an id of its own.
	Commit(ctx context.Context, txn Txn) (Outcome, error)
}

// Objects is the object store. A name is written once with one content.
type Objects interface {
	Put(ctx context.Context, name string, blob []byte) error
	// Get reports false when there is no such object.
	Get(ctx context.Context, name string) ([]byte, bool, error)
}

// VMs is the platform's list of live and leaving VMs. It lags: a hint only.
type VMs interface {
	List(ctx context.Context) ([]topology.VM, error)
	// Register makes a VM that starts known to the list.
	Register(ctx context.Context, vm topology.VM) error
}

// Service is the whole platform.
type Service interface {
	Table
	Objects
	VMs
}

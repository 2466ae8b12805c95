// Package platform defines the interfaces to the platform's service: a
// transactional table, an object store and a list of VMs. It is used only for
// state that must be durable or that VMs must agree on.
//
// Any call may fail during an outage, and a Commit may take effect although its
// answer is lost. Callers limit the duration of every call with the context.
package platform

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// ErrUnavailable marks the error of a commit that certainly had no effect, or of
// any other call that failed.
var ErrUnavailable = errors.New("platform: unavailable")

// ErrUnknown marks the error of a commit whose answer was lost; the commit may
// have taken effect.
var ErrUnknown = errors.New("platform: outcome unknown")

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Revision is the revision of the whole table at which this row was written.
	Revision uint64
	// Deleted is set for a deleted row. Scan returns deleted rows too, so that
	// readers of changes see the deletion.
	Deleted bool
}

// Condition is met if the row with Key has the given Revision, or if there is no
// such row when Revision is 0.
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

// Txn is applied atomically if every condition is met, and otherwise not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Outcome is the result of a commit that was answered.
type Outcome struct {
	Committed bool
	// Revision is the table's revision after the commit; valid if Committed.
	Revision uint64
	// Conflicts holds the current rows whose condition was not met.
	Conflicts []Row
}

// Table is the transactional table; reads are strongly consistent.
type Table interface {
	// Scan returns the rows whose key starts with prefix and that were written
	// after revision since, including deleted rows, and the table's revision at
	// the time of the read.
	Scan(ctx context.Context, prefix string, since uint64) ([]Row, uint64, error)
	// Commit applies txn. After ErrUnknown the caller reads the rows back to learn
	// whether the commit took effect, so the written values must contain an id that
	// is unique to this commit.
	Commit(ctx context.Context, txn Txn) (Outcome, error)
}

// Objects is the object store. Each name is only ever written with one content.
type Objects interface {
	Put(ctx context.Context, name string, blob []byte) error
	// Get returns false if there is no such object.
	Get(ctx context.Context, name string) ([]byte, bool, error)
}

// VMs is the platform's list of live and leaving VMs. The list lags, so it is only
// a hint.
type VMs interface {
	List(ctx context.Context) ([]topology.VM, error)
	// Register adds or updates the list's entry for vm.
	Register(ctx context.Context, vm topology.VM) error
}

// Service combines all interfaces of the platform.
type Service interface {
	Table
	Objects
	VMs
}

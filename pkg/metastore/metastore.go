// Package metastore defines the interface of the metadata store, which holds all state
// that must outlast a process: small tables of versioned rows, with conditional writes
// and watches.
package metastore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// The errors that callers handle separately. After any other error the outcome of the
// call is unknown.
var (
	// ErrConflict is returned if the row was not at the expected version, or that is of an earlier
	// era; nothing was changed.
	ErrConflict = errors.New("metastore: the row has changed")
	// ErrNotDone is returned if the store refused the call before it changed anything.
	ErrNotDone = errors.New("metastore: refused, nothing was done")
	// ErrHistoryGone is returned if the requested changes are no longer kept, or are those after a
	// version of an earlier era. The caller must list the table again.
	ErrHistoryGone = errors.New("metastore: history is gone")
	// ErrHistoryTooLarge is returned if there are more changes than a watch reads. Most of
	// them are superseded, so the caller must list the table again.
	ErrHistoryTooLarge = errors.New("metastore: history is too large")
)

// Row is one row of a table.
type Row struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
	// Version is that of the transaction that wrote the row, in the era of the answer with the row; the
	// number 0 means that there is no such row.
	Version Version `msgpack:"n"`
	// Deleted is set for a deleted row; only Watch returns such rows.
	Deleted bool `msgpack:"d,omitempty"`
}

// InEra sets the era of the versions of rows.
func InEra(rows []Row, era uint64) {
	for i := range rows {
		rows[i].Version.Era = era
	}
}

// Rows are rows of a table, or its changed rows, as of a version.
type Rows struct {
	Rows []Row
	// Version is the store's newest version when it answered.
	Version Version
	// Clock is the reading of the store's monotonic clock when it answered.
	Clock time.Duration
}

// Size returns the size of the rows' keys and values in bytes.
func (r *Rows) Size() int {
	size := 0
	for _, row := range r.Rows {
		size += len(row.Key) + len(row.Value)
	}
	return size
}

// MaxWrites is the greatest number of rows in one PutAll: a transaction has at most 100 entries, and each row
// takes two, its condition and its write.
const MaxWrites = 50

// Write is one row of a PutAll.
type Write struct {
	Key      string
	Value    []byte
	Expected Version
}

// Range is the range of keys from From up to but excluding To. An empty To means no upper bound.
type Range struct{ From, To string }

// All is the range of all keys.
var All = Range{}

// Prefix returns the range of the keys that begin with prefix, which must be non-empty ASCII.
func Prefix(prefix string) Range {
	last := len(prefix) - 1
	return Range{From: prefix, To: prefix[:last] + string(prefix[last]+1)}
}

// Key returns the range of one key.
func Key(key string) Range { return Range{From: key, To: key + "\x00"} }

// Contains reports whether a key is in the range.
func (r Range) Contains(key string) bool {
	return key >= r.From && (r.To == "" || key < r.To)
}

// Store keeps the rows. Answers are linearizable. Implementations are safe for
// concurrent use.
type Store interface {
	// List returns the rows of a table whose keys are in the range, as of one moment.
	List(ctx context.Context, table string, keys Range) (Rows, error)
	// Watch returns the rows of a table that changed after the version, as soon as
	// there are any, or none if wait has passed. A store may return every version
	// that a row has had.
	Watch(ctx context.Context, table string, after Version, wait time.Duration) (Rows, error)
	// Put writes a row if its version is the expected one (the number 0: if there is none)
	// and returns its new version. After an unknown outcome the same call may be
	// repeated: its condition ensures that it takes effect at most once in an era.
	Put(ctx context.Context, table, key string, value []byte, expected Version) (Version, error)
	// PutAll writes rows of a table in one transaction, at most MaxWrites. Each has the condition of
	// Put; if one does not hold, nothing is written.
	PutAll(ctx context.Context, table string, writes []Write) (Version, error)
	// Delete removes a row if its version is the expected one. In the same transaction it writes the key
	// to the row named marker, unless marker is empty: the version of that row changes with each removal.
	Delete(ctx context.Context, table, key string, expected Version, marker string) error
}

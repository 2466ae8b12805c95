package gatewayd

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
)

// meteredStore counts the calls to a store by table, operation and outcome. If the calls for one
// table fail while those for others succeed, that table's reply can't be received; the store is not down.
type meteredStore struct {
	metastore.Store
	metrics *metrics.Store
}

// List implements metastore.Store.
func (m meteredStore) List(ctx context.Context, table string, keys metastore.Range) (metastore.Rows, error) {
	rows, err := m.Store.List(ctx, table, keys)
	m.metrics.Call(table, "list", outcome(err))
	m.metrics.Read(table, "list", rows.Size())
	return rows, err
}

// Watch implements metastore.Store.
func (m meteredStore) Watch(ctx context.Context, table string, after metastore.Version, wait time.Duration) (metastore.Rows, error) {
	rows, err := m.Store.Watch(ctx, table, after, wait)
	m.metrics.Call(table, "watch", outcome(err))
	m.metrics.Read(table, "watch", rows.Size())
	return rows, err
}

// Put implements metastore.Store.
func (m meteredStore) Put(ctx context.Context, table, key string, value []byte, expected metastore.Version) (metastore.Version, error) {
	version, err := m.Store.Put(ctx, table, key, value, expected)
	m.metrics.Call(table, "put", outcome(err))
	return version, err
}

// PutAll implements metastore.Store.
func (m meteredStore) PutAll(ctx context.Context, table string, writes []metastore.Write) (metastore.Version, error) {
	version, err := m.Store.PutAll(ctx, table, writes)
	m.metrics.Call(table, "put_all", outcome(err))
	return version, err
}

// Delete implements metastore.Store.
func (m meteredStore) Delete(ctx context.Context, table, key string, expected metastore.Version, marker string) error {
	err := m.Store.Delete(ctx, table, key, expected, marker)
	m.metrics.Call(table, "delete", outcome(err))
	return err
}

// outcome returns the name of a call's outcome in the metrics.
func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, metastore.ErrConflict):
		return "conflict"
	case errors.Is(err, metastore.ErrHistoryGone):
		return "history_gone"
	case errors.Is(err, metastore.ErrHistoryTooLarge):
		return "history_too_large"
	case errors.Is(err, metastore.ErrNotDone):
		return "refused"
	}
	return "failed"
}

package gatewayd

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
)

// failingTableStore is a store whose watches of one table fail.
type failingTableStore struct {
	metastore.Store
	failing string
}

func (s failingTableStore) Watch(ctx context.Context, table string, after metastore.Version, wait time.Duration) (metastore.Rows, error) {
	if table == s.failing {
		return metastore.Rows{}, errors.New("no whole reply")
	}
	return s.Store.Watch(ctx, table, after, wait)
}

// One table of the store can't be watched while the others can. The metrics must show which one, and
// the outcomes of writes.
func TestCallsToTheStoreAreCountedByTableAndOutcome(t *testing.T) {
	ctx := context.Background()
	registry := metrics.New()
	store := meteredStore{failingTableStore{metastore.NewMemory(), "large"}, metrics.NewStore(registry)}
	_, _ = store.Watch(ctx, "large", metastore.Version{}, time.Millisecond)
	_, _ = store.Watch(ctx, "small", metastore.Version{}, time.Millisecond)
	_, _ = store.Put(ctx, "small", "k", nil, metastore.Version{})
	_, _ = store.Put(ctx, "small", "k", nil, metastore.Version{})
	_, _ = store.List(ctx, "small", metastore.All)
	if err := registry.Close(); err != nil { // Reports the remaining counts.
		t.Fatal(err)
	}
	counted := map[string]int64{}
	for _, c := range registry.Snapshot().Counters {
		counted[c.Tags[metrics.TagTable]+" "+c.Tags[metrics.TagOperation]+" "+c.Tags[metrics.TagOutcome]] = c.Value
	}
	for _, want := range []string{"large watch failed", "small watch ok", "small put ok", "small put conflict", "small list ", "small list ok"} {
		if counted[want] != 1 {
			t.Errorf("%s: %d in %v", want, counted[want], counted)
		}
	}
}

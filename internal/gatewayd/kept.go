package gatewayd

import (
	"context"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/forward"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/platform"
)

// keptRetryDelay is the pause after a request for a configuration that the store has lost.
const keptRetryDelay = time.Second

// keptConfiguration is the row of the newest configuration that this VM has read. When the store is
// restored from an older copy, the VMs keep it in force, and one that starts gets it from them: otherwise
// it would accept keys that were removed, until the operators write the configuration again.
type keptConfiguration struct {
	mu      sync.Mutex
	row     metastore.Row
	version uint64
	// older is the version of the store's present row if its configuration is older than the kept one.
	older metastore.Version
}

func newKeptConfiguration() *keptConfiguration { return &keptConfiguration{} }

// read records the row of a configuration. It returns the version of the kept configuration if that is
// newer, and otherwise 0.
func (k *keptConfiguration) read(row metastore.Row, version uint64) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version < k.version {
		k.older = row.Version
		return k.version
	}
	k.row, k.version, k.older = row, version, metastore.Version{}
	return 0
}

// passOn returns the kept configuration, at the version of the row, in place of an older one that was
// read.
func (k *keptConfiguration) passOn(row metastore.Row) metastore.Row {
	k.mu.Lock()
	defer k.mu.Unlock()
	if row.Key == platform.ConfigurationKey && !row.Deleted && !k.older.IsZero() && row.Version == k.older {
		row.Value = k.row.Value
	}
	return row
}

// followKept puts configurations in force that other VMs keep although the store has lost them.
func (d *daemon) followKept(ctx context.Context) {
	lacks := func(version uint64) bool {
		c := d.Directory.Configuration()
		return c == nil || c.Version < version
	}
	for {
		from, ok := d.Directory.Relay().AwaitKept(ctx, directory.Configurations, lacks)
		if !ok {
			return
		}
		vm, _ := d.Directory.VM(from)
		snapshot, err := forward.FetchFrom(ctx, vm, directory.Configurations)
		d.Log.Info("event=kept_configuration_fetched", "from", from, "version", snapshot.Version, "error", err)
		for _, row := range snapshot.Rows {
			if row.Key == platform.ConfigurationKey {
				d.applyConfiguration(row)
			}
		}
		wait.For(ctx, keptRetryDelay)
	}
}

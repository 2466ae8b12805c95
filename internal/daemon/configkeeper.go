package daemon

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/relay"
	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/internal/stall"
	"github.com/buckthornshore/buckthornshore/internal/status"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/config/store"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// configKeeper puts the newest configuration in force that the rows name.
type configKeeper struct {
	file   string
	view   *view.View
	rows   *relay.Store
	blobs  *relay.Server
	peers  *peers.Table
	log    *slog.Logger
	notify chan struct{}

	mu      sync.Mutex
	inForce config.InForce
	since   time.Time
}

func newConfigKeeper(s Settings, v *view.View, rows *relay.Store, blobs *relay.Server, p *peers.Table, log *slog.Logger) *configKeeper {
	return &configKeeper{
		file:   s.ConfigFile,
		view:   v,
		rows:   rows,
		blobs:  blobs,
		peers:  p,
		log:    log,
		notify: make(chan struct{}, 1),
	}
}

// changed has the keeper look at the rows again.
func (k *configKeeper) changed() {
	select {
	case k.notify <- struct{}{}:
	default: // A look is due already, and it will see these rows.
	}
}

// loadFile puts the settings' file in force, until the platform has a document:
// version 0 is below every accepted one.
func (k *configKeeper) loadFile() error {
	if k.file == "" {
		return nil
	}
	raw, err := os.ReadFile(k.file)
	if err != nil {
		return result.New(result.ConfigInvalid, "%v", err)
	}
	doc, problems := config.Parse(k.file, raw)
	if err := config.Err(problems); err != nil {
		return err
	}
	conf, err := config.Effective(doc, config.OrdinaryPreset)
	if err != nil {
		return err
	}
	k.view.SetConfig(conf)
	return nil
}

// configRetry is when an update that failed is tried again.
const configRetry = 500 * time.Millisecond

// run puts what is accepted in force until ctx ends. A failure is retried by
// itself: the rows may not change again for days, and this daemon would keep the
// old configuration for as long.
func (k *configKeeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		var retry <-chan time.Time
		if err := k.update(ctx); err != nil {
			k.log.Warn("event=config_update_failed", "error", err)
			retry = time.After(configRetry)
		}
		select {
		case <-k.notify:
		case <-retry:
		case <-ctx.Done():
		}
	}
}

func (k *configKeeper) update(ctx context.Context) error {
	state, err := store.StateOf(k.rows.Rows(store.CurrentPrefix))
	if err != nil {
		return err
	}
	if state.Config.Version == 0 || k.versions() == state.Versions() {
		return nil
	}
	doc, err := k.document(ctx, state)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	changed, err := k.inForce.Accept(config.Offer{
		Versions: state.Versions(),
		Document: doc,
		Hash:     state.Config.Hash,
		Preset:   presetOf(state),
	})
	if err != nil || !changed {
		return err
	}
	k.view.SetConfig(k.inForce.View())
	k.since = time.Now()
	k.log.Info("event=config_in_force", "config", state.Config.Version, "preset", state.Preset.Version,
		"preset_name", presetOf(state), "platform_age", k.rows.PlatformAge(k.since))
	return nil
}

// status tells what is in force here.
func (k *configKeeper) status() status.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.inForce.Held()
	return status.Config{
		VM:            k.view.Self().ID,
		Config:        held.Versions.Config,
		PresetVersion: held.Versions.Preset,
		Preset:        held.Preset,
		Hash:          held.Hash,
		Since:         k.since,
		PlatformAge:   settings.Duration(k.rows.PlatformAge(time.Now()).Truncate(time.Millisecond)),
	}
}

func presetOf(state store.State) string {
	if state.Preset.Version == 0 {
		return config.OrdinaryPreset
	}
	return state.Preset.Preset
}

func (k *configKeeper) versions() config.Versions {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inForce.Versions()
}

// document returns the document that the state names: the one held, or the blob
// from a relay, or else from the object store.
func (k *configKeeper) document(ctx context.Context, state store.State) (*config.Document, error) {
	k.mu.Lock()
	held := k.inForce.Held()
	k.mu.Unlock()
	if held.Document != nil && held.Versions.Config == state.Config.Version {
		return held.Document, nil
	}
	s := &store.Store{Platform: blobSource{k}}
	return s.Load(ctx, state.Config)
}

// blobSource reads blobs from the relays first: the object store bears about
// two thousand reads a second, and a change has every daemon read at once.
type blobSource struct{ keeper *configKeeper }

var errReadOnly = errors.New("daemon: this source only reads blobs")

// Get implements platform.Objects.
func (b blobSource) Get(ctx context.Context, name string) ([]byte, bool, error) {
	if b.keeper.view.IsRelay() {
		blob, found, err := b.keeper.blobs.Get(ctx, name)
		if err == nil {
			return blob, found, nil
		}
		if blob, ok := b.fromPeers(ctx, name); ok {
			return blob, true, nil // The platform is out; a peer holds it.
		}
		return nil, false, err
	}
	if blob, ok := b.fromPeers(ctx, name); ok {
		return blob, true, nil
	}
	return b.keeper.blobs.Get(ctx, name)
}

// blobTimeout is how long a peer may be silent: one that hangs must not hold the change up. The
// document may take any time to come: given up on the way over a narrow link, it would be begun
// anew each time, and never be in force here.
const blobTimeout = 500 * time.Millisecond

func (b blobSource) fromPeers(ctx context.Context, name string) ([]byte, bool) {
	for _, vm := range b.keeper.view.Relays() {
		if blob, ok := b.fromPeer(ctx, vm, name); ok {
			b.keeper.blobs.CacheBlob(name, blob)
			return blob, true
		}
	}
	return nil, false
}

func (b blobSource) fromPeer(ctx context.Context, vm topology.VM, name string) ([]byte, bool) {
	ctx = stall.With(ctx, stall.Limits{HeaderTimeout: blobTimeout, ReadTimeout: blobTimeout})
	resp, err := b.keeper.peers.Get(vm).Blob(ctx, &peerpb.BlobRequest{Name: name})
	if err != nil || !resp.Found {
		return nil, false
	}
	return resp.Blob, true
}

// Put implements platform.Objects.
func (blobSource) Put(context.Context, string, []byte) error { return errReadOnly }

// Scan implements platform.Table.
func (blobSource) Scan(context.Context, string, uint64) ([]platform.Row, uint64, error) {
	return nil, 0, errReadOnly
}

// Commit implements platform.Table.
func (blobSource) Commit(context.Context, platform.Txn) (platform.Outcome, error) {
	return platform.Outcome{}, errReadOnly
}

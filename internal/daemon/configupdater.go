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

// configUpdater puts the newest configuration that the rows name in force.
type configUpdater struct {
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

func newConfigUpdater(s Settings, v *view.View, rows *relay.Store, blobs *relay.Server, p *peers.Table, log *slog.Logger) *configUpdater {
	return &configUpdater{
		file:   s.ConfigFile,
		view:   v,
		rows:   rows,
		blobs:  blobs,
		peers:  p,
		log:    log,
		notify: make(chan struct{}, 1),
	}
}

// rowsChanged tells run that the rows have changed.
func (u *configUpdater) rowsChanged() {
	select {
	case u.notify <- struct{}{}:
	default: // An update is already pending and will read these rows.
	}
}

// loadFile puts the configuration file of the settings in force until the platform
// has a document. The file counts as version 0, which is below every accepted one.
func (u *configUpdater) loadFile() error {
	if u.file == "" {
		return nil
	}
	raw, err := os.ReadFile(u.file)
	if err != nil {
		return result.New(result.ConfigInvalid, "%v", err)
	}
	doc, problems := config.Parse(u.file, raw)
	if err := config.Err(problems); err != nil {
		return err
	}
	conf, err := config.Effective(doc, config.OrdinaryPreset)
	if err != nil {
		return err
	}
	u.view.SetConfig(conf)
	return nil
}

// configRetryDelay is the delay before a failed update is retried.
const configRetryDelay = 500 * time.Millisecond

// run puts each accepted configuration in force until ctx ends. It retries a failed
// update without waiting for a change of the rows: they may not change for days,
// and the daemon would keep the old configuration until then.
func (u *configUpdater) run(ctx context.Context) {
	for ctx.Err() == nil {
		var retry <-chan time.Time
		if err := u.update(ctx); err != nil {
			u.log.Warn("event=config_update_failed", "error", err)
			retry = time.After(configRetryDelay)
		}
		select {
		case <-u.notify:
		case <-retry:
		case <-ctx.Done():
		}
	}
}

func (u *configUpdater) update(ctx context.Context) error {
	state, err := store.StateOf(u.rows.Rows(store.CurrentPrefix))
	if err != nil {
		return err
	}
	if state.Config.Version == 0 || u.versions() == state.Versions() {
		return nil
	}
	doc, err := u.document(ctx, state)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	changed, err := u.inForce.Accept(config.Offer{
		Versions: state.Versions(),
		Document: doc,
		Hash:     state.Config.Hash,
		Preset:   presetOf(state),
	})
	if err != nil || !changed {
		return err
	}
	u.view.SetConfig(u.inForce.View())
	u.since = time.Now()
	u.log.Info("event=config_in_force", "config", state.Config.Version, "preset", state.Preset.Version,
		"preset_name", presetOf(state), "platform_age", u.rows.PlatformAge(u.since))
	return nil
}

// status describes the configuration that this daemon has in force.
func (u *configUpdater) status() status.Config {
	u.mu.Lock()
	defer u.mu.Unlock()
	held := u.inForce.Current()
	return status.Config{
		VM:            u.view.Self().ID,
		Config:        held.Versions.Config,
		PresetVersion: held.Versions.Preset,
		Preset:        held.Preset,
		Hash:          held.Hash,
		Since:         u.since,
		PlatformAge:   settings.Duration(u.rows.PlatformAge(time.Now()).Truncate(time.Millisecond)),
	}
}

func presetOf(state store.State) string {
	if state.Preset.Version == 0 {
		return config.OrdinaryPreset
	}
	return state.Preset.Preset
}

func (u *configUpdater) versions() config.Versions {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inForce.Versions()
}

// document returns the document that the state names. It is the one in force if
// only the preset changed; otherwise it is loaded from a relay or the object store.
func (u *configUpdater) document(ctx context.Context, state store.State) (*config.Document, error) {
	u.mu.Lock()
	held := u.inForce.Current()
	u.mu.Unlock()
	if held.Document != nil && held.Versions.Config == state.Config.Version {
		return held.Document, nil
	}
	s := &store.Store{Platform: blobSource{u}}
	return s.Load(ctx, state.Config)
}

// blobSource reads blobs from the relays first: the object store supports about
// 2000 reads per second, and after a change all daemons read at once.
type blobSource struct{ updater *configUpdater }

var errReadOnly = errors.New("daemon: the blob source is read-only")

// Get implements platform.Objects.
func (b blobSource) Get(ctx context.Context, name string) ([]byte, bool, error) {
	if b.updater.view.IsRelay() {
		blob, found, err := b.updater.blobs.Get(ctx, name)
		if err == nil {
			return blob, found, nil
		}
		if blob, ok := b.fromPeers(ctx, name); ok {
			return blob, true, nil // The platform is unavailable, but a peer has the blob.
		}
		return nil, false, err
	}
	if blob, ok := b.fromPeers(ctx, name); ok {
		return blob, true, nil
	}
	return b.updater.blobs.Get(ctx, name)
}

// blobTimeout is how long a peer may go without sending data, so that a hung peer does not delay
// a change. The transfer as a whole has no time limit: over a slow link it would be aborted and
// restarted every time, and the document would never come into force here.
const blobTimeout = 500 * time.Millisecond

func (b blobSource) fromPeers(ctx context.Context, name string) ([]byte, bool) {
	for _, vm := range b.updater.view.Relays() {
		if blob, ok := b.fromPeer(ctx, vm, name); ok {
			b.updater.blobs.CacheBlob(name, blob)
			return blob, true
		}
	}
	return nil, false
}

func (b blobSource) fromPeer(ctx context.Context, vm topology.VM, name string) ([]byte, bool) {
	ctx = stall.With(ctx, stall.Limits{HeaderTimeout: blobTimeout, ReadTimeout: blobTimeout})
	resp, err := b.updater.peers.Get(vm).Blob(ctx, &peerpb.BlobRequest{Name: name})
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

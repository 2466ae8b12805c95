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
	"github.com/buckthornshore/buckthornshore/internal/status"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/config/store"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/result"
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

// run puts what is accepted in force until ctx ends; a failure is retried with
// the next change and each period.
func (k *configKeeper) run(ctx context.Context) {
	for {
		if err := k.update(ctx); err != nil {
			k.log.Warn("event=config_update_failed", "error", err)
		}
		select {
		case <-k.notify:
		case <-ctx.Done():
			return
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
	if !b.keeper.view.IsRelay() {
		for _, vm := range b.keeper.view.Relays() {
			resp, err := b.keeper.peers.Get(vm).Blob(ctx, &peerpb.BlobRequest{Name: name})
			if err == nil && resp.Found {
				b.keeper.blobs.Keep(name, resp.Blob)
				return resp.Blob, true, nil
			}
		}
	}
	return b.keeper.blobs.Get(ctx, name)
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

// Package seed lets the VMs of a data centre start from each other: one of them, the seed, reads the
// store, and the others get its rows, or those of VMs that got them before. Without it, a start of all
// VMs costs the store the whole state for each of them.
package seed

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Table is the table of the seeds in the metadata store: one row for each data centre.
const Table = "buckthornshore-seeds"

const (
	// firstPause is the average pause after the first round of requests. It doubles up to roundPause: a
	// seed that starts at the same moment listens soon, and takes some tenths of a second to read the store.
	firstPause = 30 * time.Millisecond
	roundPause = 250 * time.Millisecond
	// unreachableRounds is how many rounds without a VM that has the rows end the seed's time.
	unreachableRounds = 8
	// maxRounds is how many rounds a VM makes before it reads the store itself.
	maxRounds = 40
	// requestsPerRound is how many VMs are asked in one round.
	requestsPerRound = 3
)

// Fetch returns all rows of a feed from the VM at an address, or the addresses of VMs to ask in its place.
type Fetch func(ctx context.Context, address string, f directory.Feed) (directory.Snapshot, []string, error)

// Seeds finds the VMs from which this VM starts. It implements directory.Peers.
type Seeds struct {
	self  topology.VM
	store metastore.Store
	fetch Fetch
	log   *slog.Logger

	// choosing is held while the store is asked for the seed, so that the feeds ask once.
	choosing sync.Mutex
	seed     *topology.VM
	version  metastore.Version
}

// New returns the seeds for the VM self, which must be registered.
func New(self topology.VM, store metastore.Store, fetch Fetch, log *slog.Logger) *Seeds {
	return &Seeds{self: self, store: store, fetch: fetch, log: log}
}

// Start implements directory.Peers.
func (s *Seeds) Start(ctx context.Context, f directory.Feed) (directory.Snapshot, bool) {
	var known []string
	rounds, unanswered := 0, 0
	for pause := firstPause; ctx.Err() == nil; pause = min(2*pause, roundPause) {
		seed, err := s.chosen(ctx)
		if err != nil || seed.ID == s.self.ID || ctx.Err() != nil {
			return directory.Snapshot{}, false
		}
		snapshot, elsewhere, answered := s.round(ctx, f, append(known, seed.PeerAddress))
		if snapshot != nil {
			return *snapshot, true
		}
		known = elsewhere
		unanswered++
		if answered {
			unanswered = 0
		}
		if unanswered >= unreachableRounds {
			s.replace(ctx, seed)
			unanswered = 0
			continue
		}
		if rounds++; rounds >= maxRounds {
			s.log.Warn("event=start_without_seed", "feed", f)
			break
		}
		wait.For(ctx, pause/2+rand.N(pause)) //nolint:gosec // Spreads load only.
	}
	return directory.Snapshot{}, false
}

// round asks some of the addresses for the rows. Without success it returns the addresses that
// others named, and whether any VM answered.
func (s *Seeds) round(ctx context.Context, f directory.Feed, addresses []string) (_ *directory.Snapshot, elsewhere []string, answered bool) {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(len(addresses), requestsPerRound)] {
		snapshot, named, err := s.fetch(ctx, address, f)
		if err == nil {
			return &snapshot, nil, true
		}
		s.log.Debug("event=start_rows_refused", "feed", f, "address", address, "error", err)
		answered = answered || result.From(err).Code == result.TargetBusy
		elsewhere = append(elsewhere, named...)
	}
	slices.Sort(elsewhere)
	return nil, slices.Compact(elsewhere), answered
}

// chosen returns the data centre's seed, which is this VM if there was none.
func (s *Seeds) chosen(ctx context.Context) (topology.VM, error) {
	s.choosing.Lock()
	defer s.choosing.Unlock()
	if s.seed == nil {
		if err := s.read(ctx); err != nil {
			return topology.VM{}, err
		}
	}
	if s.seed == nil {
		s.claim(ctx)
	}
	if s.seed == nil {
		if err := s.read(ctx); err != nil {
			return topology.VM{}, err
		}
	}
	if s.seed == nil {
		return topology.VM{}, errNoSeed
	}
	return *s.seed, nil
}

var errNoSeed = errors.New("seed: the store has none and did not accept this VM")

// replace makes this VM the seed in place of one that does not answer, unless another VM already has.
func (s *Seeds) replace(ctx context.Context, failed topology.VM) {
	s.choosing.Lock()
	defer s.choosing.Unlock()
	if s.seed == nil || s.seed.ID != failed.ID {
		return
	}
	version := s.version
	s.seed = nil
	if err := s.read(ctx); err != nil || s.version != version {
		return
	}
	s.claim(ctx)
}

// read reads the seed's row. The caller holds choosing.
func (s *Seeds) read(ctx context.Context) error {
	rows, err := s.store.List(ctx, Table, metastore.Key(string(s.self.DataCentre)))
	if err != nil {
		return err
	}
	s.version = metastore.Version{}
	for _, r := range rows.Rows {
		s.version = r.Version
		var vm topology.VM
		if err := json.Unmarshal(r.Value, &vm); err != nil {
			s.log.Error("event=row_malformed", "key", r.Key, "error", err)
			continue
		}
		s.seed = &vm
	}
	return nil
}

// claim makes this VM the seed unless the row was changed since it was read. The caller holds choosing.
func (s *Seeds) claim(ctx context.Context) {
	s.seed = nil
	raw, err := json.Marshal(s.self)
	if err == nil {
		_, err = s.store.Put(ctx, Table, string(s.self.DataCentre), raw, s.version)
	}
	s.log.Info("event=seed_claimed", "data_centre", s.self.DataCentre, "error", err)
	if err == nil {
		s.seed = &s.self
	}
}

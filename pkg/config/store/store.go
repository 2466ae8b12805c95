// Package store keeps the configuration on the platform: documents as blobs of
// the object store, and which one counts, with the preset in force, as rows of
// the table. Every change is one compare-and-set, so of two operators at once
// one wins and the other is told what it lost to.
package store

import (
	"context"
	"encoding/json"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Keys of the table and names of the object store. Current is the prefix of the
// two rows that count and of nothing else: one scan of it is a consistent read
// of both, and daemons that poll it do not read the history.
const (
	CurrentPrefix = "config/"
	CurrentKey    = CurrentPrefix + "current"
	PresetKey     = CurrentPrefix + "preset"
	HistoryPrefix = "config-history/"
	SwitchPrefix  = "config-switches/"
	BlobPrefix    = "config-blobs/"
)

// HistoryLength is the number of versions that the history keeps.
const HistoryLength = 200

// retryPause is the wait before a change of unknown outcome is looked up again.
const retryPause = 100 * time.Millisecond

// Stamp says who made a change and when.
type Stamp struct {
	// Version counts from 1.
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	// At is the operator's wall clock, for people only; nothing is decided by it.
	At time.Time `json:"at"`
	// ChangeID tells a writer whose answer was lost its own change from another's.
	ChangeID string `json:"change_id"`
}

// ConfigVersion is the row of one accepted document.
type ConfigVersion struct {
	Stamp
	Blob string `json:"blob"`
	Hash string `json:"hash"`
	// RollbackOf is the version whose content was taken over; 0: none.
	RollbackOf uint64 `json:"rollback_of,omitempty"`
}

// PresetVersion is the row of one accepted switch.
type PresetVersion struct {
	Stamp
	Preset string `json:"preset"`
}

// Platform is the part of the platform's service that the store needs.
type Platform interface {
	platform.Table
	platform.Objects
}

// Store reads and changes the configuration. Its functions come from outside, so
// that tests set them.
type Store struct {
	Platform Platform
	// Now is the wall clock for stamps.
	Now func() time.Time
	// NewChangeID returns an id never used before.
	NewChangeID func() string
	// Sleep waits for d, or until ctx ends and then returns its error.
	Sleep func(ctx context.Context, d time.Duration) error
}

// State is what counts now. Version 0 of the document: none was applied;
// version 0 of the preset: ordinary, never switched.
type State struct {
	Config ConfigVersion
	Preset PresetVersion

	configRevision uint64
	presetRevision uint64
}

// Versions returns both versions.
func (s State) Versions() config.Versions {
	return config.Versions{Config: s.Config.Version, Preset: s.Preset.Version}
}

// Read returns what counts now, as of one instant, or PlatformUnavailable.
func (s *Store) Read(ctx context.Context) (State, error) {
	rows, _, err := s.Platform.Scan(ctx, CurrentPrefix, 0)
	if err != nil {
		return State{}, unavailable(err)
	}
	return StateOf(rows)
}

// StateOf reads the state from the rows below CurrentPrefix, all of one scan.
func StateOf(rows []platform.Row) (State, error) {
	state := State{Preset: PresetVersion{Preset: config.OrdinaryPreset}}
	for _, row := range rows {
		switch {
		case row.Deleted:
		case row.Key == CurrentKey:
			state.configRevision = row.Revision
			if err := decode(row, &state.Config); err != nil {
				return State{}, err
			}
		case row.Key == PresetKey:
			state.presetRevision = row.Revision
			if err := decode(row, &state.Preset); err != nil {
				return State{}, err
			}
		}
	}
	return state, nil
}

// row reads one row into out and returns its revision; 0: there is none.
func (s *Store) row(ctx context.Context, key string, out any) (uint64, error) {
	rows, _, err := s.Platform.Scan(ctx, key, 0)
	if err != nil {
		return 0, unavailable(err)
	}
	for _, row := range rows {
		if row.Key == key && !row.Deleted {
			return row.Revision, decode(row, out)
		}
	}
	return 0, nil
}

// Load returns the document of a version. A blob that is missing or does not
// match its hash is Internal: the platform lost what it had accepted.
func (s *Store) Load(ctx context.Context, v ConfigVersion) (*config.Document, error) {
	raw, found, err := s.Platform.Get(ctx, v.Blob)
	if err != nil {
		return nil, unavailable(err)
	}
	if !found || config.Hash(raw) != v.Hash {
		return nil, result.New(result.Internal, "object %s of version %d is missing or damaged", v.Blob, v.Version)
	}
	doc, problems := config.Parse(v.Blob, raw)
	return doc, config.Err(problems)
}

// History returns the kept versions, oldest first.
func (s *Store) History(ctx context.Context) ([]ConfigVersion, error) {
	return scanAll[ConfigVersion](ctx, s, HistoryPrefix)
}

// Switches returns the kept switches of the preset, oldest first.
func (s *Store) Switches(ctx context.Context) ([]PresetVersion, error) {
	return scanAll[PresetVersion](ctx, s, SwitchPrefix)
}

func scanAll[T any](ctx context.Context, s *Store, prefix string) ([]T, error) {
	rows, _, err := s.Platform.Scan(ctx, prefix, 0)
	if err != nil {
		return nil, unavailable(err)
	}
	var out []T
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		var v T
		if err := decode(row, &v); err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}

func decode(row platform.Row, out any) error {
	if err := json.Unmarshal(row.Value, out); err != nil {
		return result.New(result.Internal, "row %s: %v", row.Key, err)
	}
	return nil
}

func unavailable(err error) error {
	return result.New(result.PlatformUnavailable, "%v", err)
}

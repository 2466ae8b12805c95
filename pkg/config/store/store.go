// Package store keeps the configuration on the platform: documents as blobs in
// the object store, and the current document and preset as rows of the table.
// Every change is one compare-and-set: of two concurrent changes one succeeds,
// and the error of the other describes the one that succeeded.
package store

import (
	"context"
	"encoding/json"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Keys of the table and names in the object store. CurrentPrefix is the prefix of
// only the two rows of the current document and preset: one scan of it reads both
// consistently, and daemons that poll it do not read the history.
const (
	CurrentPrefix = "config/"
	CurrentKey    = CurrentPrefix + "current"
	PresetKey     = CurrentPrefix + "preset"
	HistoryPrefix = "config-history/"
	SwitchPrefix  = "config-switches/"
	BlobPrefix    = "config-blobs/"
)

// HistoryLength is the number of versions kept in each history.
const HistoryLength = 200

// retryPause is the wait before a change is tried again or its unknown outcome is
// looked up.
const retryPause = 100 * time.Millisecond

// Stamp records who made a change and when.
type Stamp struct {
	// Version counts from 1.
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	// At is the operator's wall-clock time. It is only displayed; no decision
	// depends on it.
	At time.Time `json:"at"`
	// ChangeID lets a writer whose answer was lost distinguish its own change from
	// another's.
	ChangeID string `json:"change_id"`
}

// Expected is the version that a change was made from.
type Expected struct {
	// Version is 0 before the first change.
	Version uint64
	// ChangeID, unless empty, is that of the version: a platform that is restored from an older copy
	// gives versions out again, to other changes.
	ChangeID string
}

// Expected returns what a change made from the stamped version expects.
func (s Stamp) Expected() Expected { return Expected{Version: s.Version, ChangeID: s.ChangeID} }

// meets reports whether the stamp is of the expected version.
func (s Stamp) meets(e Expected) bool {
	return s.Version == e.Version && (e.ChangeID == "" || s.ChangeID == e.ChangeID)
}

// ConfigVersion is the row of one accepted document.
type ConfigVersion struct {
	Stamp
	Blob string `json:"blob"`
	Hash string `json:"hash"`
	// RollbackOf is the version whose content a rollback restored, or 0.
	RollbackOf uint64 `json:"rollback_of,omitempty"`
}

// PresetVersion is the row of one accepted preset switch.
type PresetVersion struct {
	Stamp
	Preset string `json:"preset"`
}

// Platform is the part of the platform's API that the store needs.
type Platform interface {
	platform.Table
	platform.Objects
}

// Store reads and changes the configuration. Its clock, id generator and sleep
// function are fields, so that tests can replace them.
type Store struct {
	Platform Platform
	// Now is the wall clock for stamps.
	Now func() time.Time
	// NewChangeID returns an id that was never used before.
	NewChangeID func() string
	// Sleep waits for d. If ctx ends first, Sleep returns the error of ctx.
	Sleep func(ctx context.Context, d time.Duration) error
}

// State is the current document and preset. Config has version 0 when no document
// was applied yet. Preset has version 0 when the preset was never switched and the
// ordinary one is in force.
type State struct {
	Config ConfigVersion
	Preset PresetVersion

	configRevision uint64
	presetRevision uint64
}

// Versions returns the versions of the document and of the preset switch.
func (s State) Versions() config.Versions {
	return config.Versions{Config: s.Config.Version, Preset: s.Preset.Version}
}

// Read returns the current state as of one instant, or PlatformUnavailable.
func (s *Store) Read(ctx context.Context) (State, error) {
	rows, _, err := s.Platform.Scan(ctx, CurrentPrefix, 0)
	if err != nil {
		return State{}, unavailable(err)
	}
	return StateOf(rows)
}

// StateOf decodes the state from the rows under CurrentPrefix, which must come
// from one scan.
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

// row decodes one row into out and returns its revision, or 0 when there is no
// such row.
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

// Load returns the document of a version. It returns Internal when the blob is
// missing or does not match its hash: the platform lost an accepted document.
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

// History returns the versions in the history, oldest first.
func (s *Store) History(ctx context.Context) ([]ConfigVersion, error) {
	return scanAll[ConfigVersion](ctx, s, HistoryPrefix)
}

// Switches returns the preset switches in the history, oldest first.
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

package store

import (
	"context"
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Apply stores doc as the version after expect, which is 0 for the first document,
// and returns the new version. It returns ConfigInvalid when the document has
// errors or lacks the preset in force, and ConfigConflict when another version was
// applied first. After PlatformUnavailable nothing was changed; after
// PlatformUnknown the change may have been applied.
func (s *Store) Apply(ctx context.Context, doc *config.Document, expect Expected, operator string) (uint64, error) {
	return s.apply(ctx, doc, expect, operator, 0)
}

// Rollback stores the content of an earlier version as the version after expect.
// It never reuses the earlier version number, so that no daemon rejects the
// configuration as old. It returns NotFound when the history does not keep that
// version, and otherwise the errors of Apply.
func (s *Store) Rollback(ctx context.Context, version uint64, expect Expected, operator string) (uint64, error) {
	var old ConfigVersion
	revision, err := s.row(ctx, historyKey(HistoryPrefix, version), &old)
	if err != nil {
		return 0, err
	}
	if revision == 0 {
		return 0, result.New(result.NotFound, "version %d is not in the history", version)
	}
	doc, err := s.Load(ctx, old)
	if err != nil {
		return 0, err
	}
	return s.apply(ctx, doc, expect, operator, version)
}

func (s *Store) apply(ctx context.Context, doc *config.Document, expect Expected, operator string, rollbackOf uint64) (uint64, error) {
	raw, err := encodeChecked(doc)
	if err != nil {
		return 0, err
	}
	record := ConfigVersion{
		Stamp:      s.stamp(expect.Version+1, operator),
		Hash:       config.Hash(raw),
		RollbackOf: rollbackOf,
	}
	record.Blob = BlobPrefix + record.Hash
	// The blob is stored first: a row that names a blob not yet stored would break
	// every daemon that reads it. A blob without a row does no harm.
	if err := s.Platform.Put(ctx, record.Blob, raw); err != nil {
		return 0, unavailable(err)
	}
	c := change{
		name: "configuration", expect: expect, changeID: record.ChangeID, historyPrefix: HistoryPrefix,
		stampOf: func(current State) Stamp { return current.Config.Stamp },
		build: func(current State) ([]platform.Write, error) {
			if !hasPreset(doc, current.Preset.Preset) {
				return nil, result.New(result.ConfigInvalid, "the document lacks preset %q, which is in force", current.Preset.Preset)
			}
			return historyWrites(CurrentKey, HistoryPrefix, record.Version, record)
		},
	}
	if err := s.commit(ctx, c); err != nil {
		return 0, err
	}
	return record.Version, nil
}

// SwitchPreset puts a preset in force as the switch after expect, which is 0 when
// the preset was never switched, and returns the version of the switch. It returns
// UnknownPreset when the current document lacks the preset, NotFound when there is
// no document, and otherwise the errors of Apply.
func (s *Store) SwitchPreset(ctx context.Context, preset string, expect Expected, operator string) (uint64, error) {
	record := PresetVersion{Stamp: s.stamp(expect.Version+1, operator), Preset: preset}
	var loaded documentCache
	c := change{
		name: "preset", expect: expect, changeID: record.ChangeID, historyPrefix: SwitchPrefix,
		stampOf: func(current State) Stamp { return current.Preset.Stamp },
		build: func(current State) ([]platform.Write, error) {
			doc, err := loaded.load(ctx, s, current.Config)
			if err != nil {
				return nil, err
			}
			if !hasPreset(doc, preset) {
				return nil, result.New(result.UnknownPreset, "%q; there are %v", preset, presetNames(doc))
			}
			return historyWrites(PresetKey, SwitchPrefix, record.Version, record)
		},
	}
	if err := s.commit(ctx, c); err != nil {
		return 0, err
	}
	return record.Version, nil
}

// documentCache keeps the current document between the attempts of one switch.
type documentCache struct {
	version uint64
	doc     *config.Document
}

func (c *documentCache) load(ctx context.Context, s *Store, v ConfigVersion) (*config.Document, error) {
	if v.Version == 0 {
		return nil, result.New(result.NotFound, "no configuration was applied yet")
	}
	if c.version == v.Version {
		return c.doc, nil
	}
	doc, err := s.Load(ctx, v)
	if err != nil {
		return nil, err
	}
	c.version, c.doc = v.Version, doc
	return doc, nil
}

func (s *Store) stamp(version uint64, operator string) Stamp {
	return Stamp{Version: version, Operator: operator, At: s.Now(), ChangeID: s.NewChangeID()}
}

// encodeChecked returns the canonical form of the document, or an error when Parse
// would reject it: the document may have been built by a program and never parsed.
func encodeChecked(doc *config.Document) ([]byte, error) {
	raw, err := config.Canonical(doc)
	if err != nil {
		return nil, err
	}
	_, problems := config.Parse("document", raw)
	return raw, config.Err(problems)
}

func hasPreset(doc *config.Document, preset string) bool {
	return slices.Contains(presetNames(doc), preset)
}

func presetNames(doc *config.Document) []string {
	var names []string
	for _, p := range doc.Presets {
		names = append(names, p.Name)
	}
	return names
}

package store

import (
	"context"
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Apply makes doc the next version after expect (0: the first) and returns the
// new version. It refuses with ConfigInvalid a document with errors or without
// the preset in force, with ConfigConflict when another version came first. With
// PlatformUnavailable nothing was done; with PlatformUnknown it may have been.
func (s *Store) Apply(ctx context.Context, doc *config.Document, expect uint64, operator string) (uint64, error) {
	return s.apply(ctx, doc, expect, operator, 0)
}

// Rollback makes the content of an earlier version the next version after
// expect. Versions go on upwards, so that no daemon takes it for an old one.
// NotFound: the history does not keep that version; else as Apply.
func (s *Store) Rollback(ctx context.Context, version, expect uint64, operator string) (uint64, error) {
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

func (s *Store) apply(ctx context.Context, doc *config.Document, expect uint64, operator string, rollbackOf uint64) (uint64, error) {
	raw, err := checked(doc)
	if err != nil {
		return 0, err
	}
	record := ConfigVersion{
		Stamp:      s.stamp(expect+1, operator),
		Hash:       config.Hash(raw),
		RollbackOf: rollbackOf,
	}
	record.Blob = BlobPrefix + record.Hash
	// The blob goes first: a row that names a blob not yet stored would break
	// every daemon that reads it. A blob without a row does no harm.
	if err := s.Platform.Put(ctx, record.Blob, raw); err != nil {
		return 0, unavailable(err)
	}
	c := change{
		what: "configuration", expect: expect, changeID: record.ChangeID, historyPrefix: HistoryPrefix,
		stampOf: func(now State) Stamp { return now.Config.Stamp },
		build: func(now State) ([]platform.Write, error) {
			if !hasPreset(doc, now.Preset.Preset) {
				return nil, result.New(result.ConfigInvalid, "the document lacks preset %q, which is in force", now.Preset.Preset)
			}
			return historyWrites(CurrentKey, HistoryPrefix, record.Version, record)
		},
	}
	if err := s.commit(ctx, c); err != nil {
		return 0, err
	}
	return record.Version, nil
}

// SwitchPreset puts a preset in force as the next switch after expect (0: never
// switched) and returns its version. UnknownPreset: the current document lacks
// it; NotFound: there is no document; else as Apply.
func (s *Store) SwitchPreset(ctx context.Context, preset string, expect uint64, operator string) (uint64, error) {
	record := PresetVersion{Stamp: s.stamp(expect+1, operator), Preset: preset}
	var loaded cache
	c := change{
		what: "preset", expect: expect, changeID: record.ChangeID, historyPrefix: SwitchPrefix,
		stampOf: func(now State) Stamp { return now.Preset.Stamp },
		build: func(now State) ([]platform.Write, error) {
			doc, err := loaded.load(ctx, s, now.Config)
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

// cache keeps the document between the attempts of one switch.
type cache struct {
	version uint64
	doc     *config.Document
}

func (c *cache) load(ctx context.Context, s *Store, v ConfigVersion) (*config.Document, error) {
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

// checked writes the document canonically and refuses one that Parse would: it
// may have been built by a program and never parsed.
func checked(doc *config.Document) ([]byte, error) {
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

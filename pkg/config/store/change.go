package store

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// change is one compare-and-set of a row and its history.
type change struct {
	// name is the name of the row in error messages.
	name string
	// expect is the version that the operator saw. The change writes the next one.
	expect   Expected
	changeID string
	// stampOf returns the current stamp of the row that the change writes.
	stampOf func(State) Stamp
	// build checks the change against the current state and returns its writes.
	build func(State) ([]platform.Write, error)
	// historyPrefix is the key prefix of the history that records the change.
	historyPrefix string
}

// commit applies c exactly once, or returns one of these errors:
//   - ConfigConflict: another change was applied first; nothing was done.
//   - PlatformUnavailable: nothing was done.
//   - PlatformUnknown: ctx ended before the outcome was known.
//
// The table may apply the change and its answer be lost. Without further checks the
// operator would get an error for a change that is in force or, on trying again, a
// conflict with this same change. So after a lost answer the rows are read back to
// find the change id. Finding the old version proves nothing: the lost commit may
// still be in progress. Committing again is safe, because both attempts require the
// same revision of the row, so at most one of them applies.
func (s *Store) commit(ctx context.Context, c change) error {
	mayHaveApplied := false
	for {
		again, err := s.attempt(ctx, c, &mayHaveApplied)
		if !again {
			return err
		}
		if err := s.Sleep(ctx, retryPause); err != nil {
			return c.interrupted(mayHaveApplied, err)
		}
	}
}

// attempt reads the state, builds the writes and commits them once. It returns true
// when the change must be attempted again, as its outcome is unknown or a row has
// changed since it was read. mayHaveApplied is set once a commit may have taken
// effect.
func (s *Store) attempt(ctx context.Context, c change, mayHaveApplied *bool) (bool, error) {
	state, err := s.Read(ctx)
	if err != nil {
		return *mayHaveApplied, err
	}
	stamp := c.stampOf(state)
	if !stamp.meets(c.expect) {
		return s.resolveOutcome(ctx, c, stamp, *mayHaveApplied)
	}
	writes, err := c.build(state)
	if err != nil {
		return false, err
	}
	out, err := s.Platform.Commit(ctx, platform.Txn{
		// The commit depends on both rows: a switch to a preset and a document
		// that drops it must not both be accepted.
		Conditions: []platform.Condition{
			{Key: CurrentKey, Revision: state.configRevision},
			{Key: PresetKey, Revision: state.presetRevision},
		},
		Writes: writes,
	})
	if err == nil {
		return !out.Committed, nil
	}
	if errors.Is(err, platform.ErrUnavailable) && !*mayHaveApplied {
		return false, unavailable(err)
	}
	*mayHaveApplied = true
	return true, err
}

// resolveOutcome returns the outcome of c when the version in the table is not the
// expected one.
func (s *Store) resolveOutcome(ctx context.Context, c change, current Stamp, mayHaveApplied bool) (bool, error) {
	if !mayHaveApplied {
		return false, c.conflict(current)
	}
	var recorded Stamp
	revision, err := s.row(ctx, historyKey(c.historyPrefix, c.expect.Version+1), &recorded)
	if err != nil {
		return true, err
	}
	if revision == 0 {
		return false, result.New(result.PlatformUnknown, "change %s: the history no longer reaches back to it", c.changeID)
	}
	if recorded.ChangeID != c.changeID {
		return false, c.conflict(recorded)
	}
	return false, nil
}

func (c change) conflict(winner Stamp) error {
	at := winner.At.UTC().Format("2006-01-02T15:04:05Z")
	if winner.Version == c.expect.Version {
		return result.New(result.ConfigConflict, "%s: expected version %d of change %s, but it is change %s by %s at %s: the platform was restored",
			c.name, c.expect.Version, c.expect.ChangeID, winner.ChangeID, winner.Operator, at)
	}
	return result.New(result.ConfigConflict, "%s: expected version %d, but version %d by %s at %s came first",
		c.name, c.expect.Version, winner.Version, winner.Operator, at)
}

func (c change) interrupted(mayHaveApplied bool, err error) error {
	if !mayHaveApplied {
		return unavailable(err)
	}
	return result.New(result.PlatformUnknown, "change %s of %s: %v; look for it in the history", c.changeID, c.name, err)
}

// historyWrites returns the writes that store the record in its row and in the
// history, and that delete the version that the history no longer keeps.
func historyWrites(key, prefix string, version uint64, record any) ([]platform.Write, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return nil, result.New(result.Internal, "write %s: %v", key, err)
	}
	writes := []platform.Write{
		{Key: key, Value: value},
		{Key: historyKey(prefix, version), Value: value},
	}
	if version > HistoryLength {
		writes = append(writes, platform.Write{Key: historyKey(prefix, version-HistoryLength), Delete: true})
	}
	return writes, nil
}

// historyKey pads the version with zeros, so that keys sort in version order.
func historyKey(prefix string, version uint64) string { return fmt.Sprintf("%s%020d", prefix, version) }

package store

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// change is one compare-and-set of a row with its history.
type change struct {
	// what names the row for people.
	what string
	// expect is the version that the operator saw; the change makes expect+1.
	expect   uint64
	changeID string
	// stampOf picks the stamp of the row that the change writes.
	stampOf func(State) Stamp
	// build checks the change against what counts now and makes its writes.
	build func(State) ([]platform.Write, error)
	// historyPrefix is where the change's own row stays.
	historyPrefix string
}

// commit applies c exactly once or tells why not:
//   - ConfigConflict: another change came first; nothing was done.
//   - PlatformUnavailable: nothing was done.
//   - PlatformUnknown: ctx ended before the outcome was known.
//
// Failure guarded against: the table applies the change and its answer is lost;
// the operator would be told "failed" of a change in force, or, on trying again,
// of a conflict with himself. So after a lost answer the rows are read back for
// the change id. Finding the old version proves nothing: the lost commit may
// still be under way. Committing again is safe, because both attempts hold only
// while the same revision of the row stands, so one of them at most applies.
func (s *Store) commit(ctx context.Context, c change) error {
	sent := false
	for {
		again, err := s.attempt(ctx, c, &sent)
		if !again {
			return err
		}
		if err := s.Sleep(ctx, retryPause); err != nil {
			return c.ended(sent, err)
		}
	}
}

// attempt reads, builds and commits once. It returns true when the outcome is
// open or a row that c only checked has moved. sent: an earlier commit may have
// taken effect.
func (s *Store) attempt(ctx context.Context, c change, sent *bool) (bool, error) {
	state, err := s.Read(ctx)
	if err != nil {
		return *sent, err
	}
	stamp := c.stampOf(state)
	if stamp.Version != c.expect {
		return s.settle(ctx, c, stamp, *sent)
	}
	writes, err := c.build(state)
	if err != nil {
		return false, err
	}
	out, err := s.Platform.Commit(ctx, platform.Txn{
		// Both rows: a switch to a preset and a document that drops it must not
		// both be accepted.
		Conditions: []platform.Condition{
			{Key: CurrentKey, Revision: state.configRevision},
			{Key: PresetKey, Revision: state.presetRevision},
		},
		Writes: writes,
	})
	if err == nil {
		return !out.Committed, nil
	}
	if errors.Is(err, platform.ErrUnavailable) && !*sent {
		return false, unavailable(err)
	}
	*sent = true
	return true, err
}

// settle decides once the version has moved past the expected one.
func (s *Store) settle(ctx context.Context, c change, now Stamp, sent bool) (bool, error) {
	if !sent {
		return false, c.conflict(now)
	}
	var made Stamp
	revision, err := s.row(ctx, historyKey(c.historyPrefix, c.expect+1), &made)
	if err != nil {
		return true, err
	}
	if revision == 0 {
		return false, result.New(result.PlatformUnknown, "change %s: the history no longer reaches back to it", c.changeID)
	}
	if made.ChangeID != c.changeID {
		return false, c.conflict(made)
	}
	return false, nil
}

func (c change) conflict(winner Stamp) error {
	return result.New(result.ConfigConflict, "%s: expected version %d, but version %d by %s at %s came first",
		c.what, c.expect, winner.Version, winner.Operator, winner.At.UTC().Format("2006-01-02T15:04:05Z"))
}

func (c change) ended(sent bool, err error) error {
	if !sent {
		return unavailable(err)
	}
	return result.New(result.PlatformUnknown, "change %s of %s: %v; look for it in the history", c.changeID, c.what, err)
}

// historyWrites puts the row in place and in the history, and drops the version
// that the history no longer keeps.
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

// historyKey pads the version, so that keys sort as versions do.
func historyKey(prefix string, version uint64) string { return fmt.Sprintf("%s%020d", prefix, version) }

package load

import (
	"fmt"
	"slices"
)

// Check names a rule that the history is held against.
type Check string

// The checks.
const (
	CheckAnswers   Check = "whole answer to its own request"
	CheckReadOwn   Check = "read-your-writes"
	CheckOnce      Check = "at most once"
	CheckLost      Check = "no acknowledged write lost"
	CheckNotRun    Check = "not run is true"
	CheckLinear    Check = "newest reads are linearizable"
	maxViolations        = 20
	notCheckedWhat       = "not checked: "
)

// Violation is a breach of a rule with the requests that show it.
type Violation struct {
	Check    Check    `json:"check"`
	What     string   `json:"what"`
	Requests []Record `json:"requests,omitempty"`
}

// Verdict is the outcome of one check.
type Verdict struct {
	Check Check `json:"check"`
	// Checked is how many requests, keys or rows were judged.
	Checked int `json:"checked"`
	// Unchecked says what could not be judged, and why.
	Unchecked string `json:"unchecked,omitempty"`
	// Count of violations; only the first ones are listed.
	Count      int         `json:"count"`
	Violations []Violation `json:"violations,omitempty"`
}

func (v *Verdict) violated(requests []Record, format string, args ...any) {
	v.Count++
	if len(v.Violations) >= maxViolations {
		return
	}
	v.Violations = append(v.Violations, Violation{Check: v.Check, What: fmt.Sprintf(format, args...), Requests: requests})
}

// CheckHistory holds a history and the rows at its end against every rule.
func CheckHistory(records []Record, final Final, linearKeys int) []Verdict {
	return []Verdict{
		checkAnswers(records),
		checkReadOwn(records),
		checkOnce(records, final),
		checkLost(records, final),
		checkNotRun(records, final),
		checkLinear(records, linearKeys),
	}
}

// checkAnswers finds answers that are not to the request: a read asks for one
// key and gets that row or none.
func checkAnswers(records []Record) Verdict {
	v := Verdict{Check: CheckAnswers}
	for _, r := range records {
		if r.Operation.Writes() || r.Outcome != Completed {
			continue
		}
		v.Checked++
		if len(r.AnswerKeys) > 1 || len(r.AnswerKeys) == 1 && r.AnswerKeys[0] != r.Key || r.Code == labelBadAnswer {
			v.violated([]Record{r}, "asked for %q, answered %q", r.Key, r.AnswerKeys)
		}
	}
	return v
}

// ownKey is what the checker knows of a key that one session writes.
type ownKey struct {
	// acked is the newest completed write; others may be visible instead of it.
	acked   *Record
	older   map[int64]bool
	unknown map[int64]bool
	// waits is the newest completed write of a class that waits for a replica.
	waits *Record
}

func newOwnKey() *ownKey { return &ownKey{older: map[int64]bool{}, unknown: map[int64]bool{}} }

func (k *ownKey) note(r *Record) {
	switch r.Outcome {
	case Completed:
		if k.acked != nil {
			k.older[k.acked.Value] = true
		}
		k.acked = r
		if r.Waits {
			k.waits = r
		}
	case Unknown:
		// It may take effect at any later time.
		k.unknown[r.Value] = true
	}
}

// checkReadOwn holds each read of an own key against the session's writes before
// it: the newest completed one, or one whose outcome is unknown, must show. An
// anonymous session is its connection, so only writes of its epoch bind it.
func checkReadOwn(records []Record) Verdict {
	v := Verdict{Check: CheckReadOwn}
	keys := map[string]*ownKey{}
	for i := range inSessionOrder(records) {
		r := &records[i]
		k := keys[r.Key]
		if k == nil {
			k = newOwnKey()
			keys[r.Key] = k
		}
		switch {
		case r.Operation == PutOwn:
			k.note(r)
		case r.Operation == GetOwn && r.Outcome == Completed:
			v.Checked++
			k.judge(&v, r)
		}
	}
	return v
}

func (k *ownKey) judge(v *Verdict, r *Record) {
	switch {
	case k.unknown[r.Value]:
	case k.acked == nil:
		if r.Value != 0 {
			v.violated([]Record{*r}, "read %d, which was never written", r.Value)
		}
	case r.Value == k.acked.Value:
	case r.Mode == Anonymous && r.Epoch != k.acked.Epoch && (r.Value == 0 || k.older[r.Value]):
	default:
		v.violated([]Record{*k.acked, *r}, "read %d after the write of %d was acknowledged", r.Value, k.acked.Value)
	}
}

// inSessionOrder yields the indexes by the time that requests were sent, which
// is their order within a session: it sends one at a time.
func inSessionOrder(records []Record) func(func(int) bool) {
	order := make([]int, len(records))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(records[a].Sent - records[b].Sent) })
	return func(yield func(int) bool) {
		for _, i := range order {
			if !yield(i) {
				return
			}
		}
	}
}

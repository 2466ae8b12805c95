package load

import (
	"fmt"
	"slices"
)

// Check names a consistency rule that the history is checked against.
type Check string

// The checks.
const (
	CheckAnswers     Check = "whole answer to its own request"
	CheckReadOwn     Check = "read-your-writes"
	CheckOnce        Check = "at most once"
	CheckLost        Check = "no acknowledged write lost"
	CheckNotRun      Check = "not run is true"
	CheckLinear      Check = "newest reads are linearizable"
	maxViolations          = 20
	notCheckedPrefix       = "not checked: "
)

// Violation is a breach of a rule, with the requests that prove it.
type Violation struct {
	Check    Check    `json:"check"`
	What     string   `json:"what"`
	Requests []Record `json:"requests,omitempty"`
}

// Verdict is the outcome of one check.
type Verdict struct {
	Check Check `json:"check"`
	// Checked is the number of requests, keys or rows that were checked.
	Checked int `json:"checked"`
	// Unchecked describes what could not be checked, and why.
	Unchecked string `json:"unchecked,omitempty"`
	// Count is the number of violations; Violations lists at most maxViolations
	// of them.
	Count      int         `json:"count"`
	Violations []Violation `json:"violations,omitempty"`
}

func (v *Verdict) addViolation(requests []Record, format string, args ...any) {
	v.Count++
	if len(v.Violations) >= maxViolations {
		return
	}
	v.Violations = append(v.Violations, Violation{Check: v.Check, What: fmt.Sprintf(format, args...), Requests: requests})
}

// CheckHistory checks a history and the rows at the end of the run against every
// rule.
func CheckHistory(records []Record, final FinalRows, linearKeys int) []Verdict {
	return []Verdict{
		checkAnswers(records),
		checkReadOwn(records),
		checkOnce(records, final),
		checkLost(records, final),
		checkNotRun(records, final),
		checkLinear(records, linearKeys),
	}
}

// checkAnswers finds answers that don't belong to their request: a read asks for
// one key and must get that row or none.
func checkAnswers(records []Record) Verdict {
	v := Verdict{Check: CheckAnswers}
	for _, r := range records {
		if r.Operation.Writes() || r.Outcome != Completed {
			continue
		}
		v.Checked++
		if len(r.AnswerKeys) > 1 || len(r.AnswerKeys) == 1 && r.AnswerKeys[0] != r.Key || r.Code == labelBadAnswer {
			v.addViolation([]Record{r}, "asked for %q, answered %q", r.Key, r.AnswerKeys)
		}
	}
	return v
}

// ownKey is the write history of a key that only one session writes.
type ownKey struct {
	// acked is the newest completed write.
	acked *Record
	// older holds the values of the completed writes before acked.
	older map[int64]bool
	// unknown holds the values of the writes whose outcome is unknown; a read may
	// return one of these instead of acked.
	unknown map[int64]bool
	// replicated is the newest completed write whose class is acknowledged only
	// after a replica holds it.
	replicated *Record
}

func newOwnKey() *ownKey { return &ownKey{older: map[int64]bool{}, unknown: map[int64]bool{}} }

func (k *ownKey) addWrite(r *Record) {
	switch r.Outcome {
	case Completed:
		if k.acked != nil {
			k.older[k.acked.Value] = true
		}
		k.acked = r
		if r.Waits {
			k.replicated = r
		}
	case Unknown:
		// The write may take effect at any later time.
		k.unknown[r.Value] = true
	}
}

// checkReadOwn checks each read of a session's own key against the session's
// earlier writes: it must return the newest completed one or one whose outcome is
// unknown. An anonymous session lasts as long as its connection, so a read has to
// reflect only writes of the same epoch.
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
			k.addWrite(r)
		case r.Operation == GetOwn && r.Outcome == Completed:
			v.Checked++
			k.checkRead(&v, r)
		}
	}
	return v
}

func (k *ownKey) checkRead(v *Verdict, r *Record) {
	switch {
	case k.unknown[r.Value]:
	case k.acked == nil:
		if r.Value != 0 {
			v.addViolation([]Record{*r}, "read %d, which was never written", r.Value)
		}
	case r.Value == k.acked.Value:
	case r.Mode == Anonymous && r.Epoch != k.acked.Epoch && (r.Value == 0 || k.older[r.Value]):
	default:
		v.addViolation([]Record{*k.acked, *r}, "read %d after the write of %d was acknowledged", r.Value, k.acked.Value)
	}
}

// inSessionOrder yields the indexes of the records by the time that the requests
// were sent. This is their order within a session, which sends one at a time.
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

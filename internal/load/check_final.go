package load

import (
	"fmt"
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// FinalRows is the content of the run's rows at the end of the run.
type FinalRows struct {
	Values map[string]int64
	// Unread maps each group whose rows could not be read back to the error.
	Unread map[topology.GroupID]string
}

// readable reports whether the group of the record's key was read back.
func (f *FinalRows) readable(r *Record) bool {
	_, missing := f.Unread[r.Group]
	return !missing
}

func (f *FinalRows) uncheckedReason() string {
	if len(f.Unread) == 0 {
		return ""
	}
	var parts []string
	for group, why := range f.Unread {
		parts = append(parts, fmt.Sprintf("%s: %s", group, why))
	}
	slices.Sort(parts)
	return notCheckedPrefix + fmt.Sprint(parts)
}

// counterHistory holds the number of completed "add" requests to one counter and
// those with an unknown outcome.
type counterHistory struct {
	acked   int64
	unknown []Record
}

// checkOnce finds requests of non-repeatable classes that ran twice or were lost:
// a counter must be at least the number of completed "add" requests and at most
// that number plus the number of those with an unknown outcome.
func checkOnce(records []Record, final FinalRows) Verdict {
	v := Verdict{Check: CheckOnce, Unchecked: final.uncheckedReason()}
	counters := map[string]*counterHistory{}
	for i := range records {
		r := &records[i]
		if r.Operation != Add || !final.readable(r) {
			continue
		}
		c := counters[r.Key]
		if c == nil {
			c = &counterHistory{}
			counters[r.Key] = c
		}
		switch r.Outcome {
		case Completed:
			c.acked++
		case Unknown:
			c.unknown = append(c.unknown, *r)
		}
	}
	for key, c := range counters {
		v.Checked++
		upperBound := c.acked + int64(len(c.unknown))
		if value := final.Values[key]; value < c.acked || value > upperBound {
			v.addViolation(c.unknown, "counter %q is %d; %d were acknowledged and %d are unknown", key, value, c.acked, len(c.unknown))
		}
	}
	return v
}

// checkLost finds acknowledged writes that were lost. It checks only writes of
// classes that wait for a replica: the others may be lost with their primary.
func checkLost(records []Record, final FinalRows) Verdict {
	v := Verdict{Check: CheckLost, Unchecked: final.uncheckedReason()}
	own := map[string]*ownKey{}
	for i := range inSessionOrder(records) {
		r := &records[i]
		if !final.readable(r) {
			continue
		}
		switch r.Operation {
		case Insert:
			v.checkInsert(r, final)
		case PutOwn:
			if own[r.Key] == nil {
				own[r.Key] = newOwnKey()
			}
			own[r.Key].addWrite(r)
		}
	}
	for key, k := range own {
		if k.replicated == nil {
			continue
		}
		v.Checked++
		value := final.Values[key]
		if value < k.replicated.Value && !k.unknown[value] {
			v.addViolation([]Record{*k.replicated}, "key %q holds %d; %d was acknowledged", key, value, k.replicated.Value)
		}
	}
	return v
}

func (v *Verdict) checkInsert(r *Record, final FinalRows) {
	if r.Outcome != Completed || !r.Waits {
		return
	}
	v.Checked++
	if _, found := final.Values[r.Key]; !found {
		v.addViolation([]Record{*r}, "the acknowledged row %q is missing", r.Key)
	}
}

// checkNotRun finds requests that were refused as not run although they ran:
// their value is in the row at the end, or a read returned it during the run.
func checkNotRun(records []Record, final FinalRows) Verdict {
	v := Verdict{Check: CheckNotRun, Unchecked: final.uncheckedReason()}
	refused := map[string]map[int64]*Record{}
	for i := range records {
		r := &records[i]
		if r.Operation.Writes() && r.Operation != Add && r.Outcome == NotRun {
			v.Checked++
			if refused[r.Key] == nil {
				refused[r.Key] = map[int64]*Record{}
			}
			refused[r.Key][r.Value] = r
		}
	}
	for key, value := range final.Values {
		if r := refused[key][value]; r != nil {
			v.addViolation([]Record{*r}, "key %q holds %d, which was refused as not run", key, value)
		}
	}
	for i := range records {
		r := &records[i]
		if w := refused[r.Key][r.Value]; w != nil && !r.Operation.Writes() && r.Outcome == Completed && r.Value != 0 {
			v.addViolation([]Record{*w, *r}, "read %d, which was refused as not run", r.Value)
		}
	}
	return v
}

package load

import (
	"fmt"
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Final is what the rows of the run hold at its end.
type Final struct {
	Values map[string]int64
	// Unread are the groups whose rows could not be read back.
	Unread map[topology.GroupID]string
}

// readable reports whether the key's group was read back.
func (f *Final) readable(r *Record) bool {
	_, missing := f.Unread[r.Group]
	return !missing
}

func (f *Final) missing() string {
	if len(f.Unread) == 0 {
		return ""
	}
	var parts []string
	for group, why := range f.Unread {
		parts = append(parts, fmt.Sprintf("%s: %s", group, why))
	}
	slices.Sort(parts)
	return notCheckedWhat + fmt.Sprint(parts)
}

// counter is what the history says of a row that "add" requests raise.
type counter struct {
	acked   int64
	unknown []Record
}

// checkOnce finds doubled and lost requests that may not be repeated: a counter
// lies between the completed requests and those plus the unknown ones.
func checkOnce(records []Record, final Final) Verdict {
	v := Verdict{Check: CheckOnce, Unchecked: final.missing()}
	counters := map[string]*counter{}
	for i := range records {
		r := &records[i]
		if r.Operation != Add || !final.readable(r) {
			continue
		}
		c := counters[r.Key]
		if c == nil {
			c = &counter{}
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
		most := c.acked + int64(len(c.unknown))
		if value := final.Values[key]; value < c.acked || value > most {
			v.violated(c.unknown, "counter %q is %d; %d were acknowledged and %d are unknown", key, value, c.acked, len(c.unknown))
		}
	}
	return v
}

// checkLost finds acknowledged writes that are gone. Only those of classes that
// wait for a replica bind: the others may be lost with their primary.
func checkLost(records []Record, final Final) Verdict {
	v := Verdict{Check: CheckLost, Unchecked: final.missing()}
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
			own[r.Key].note(r)
		}
	}
	for key, k := range own {
		if k.waits == nil {
			continue
		}
		v.Checked++
		value := final.Values[key]
		if value < k.waits.Value && !k.unknown[value] {
			v.violated([]Record{*k.waits}, "key %q holds %d; %d was acknowledged", key, value, k.waits.Value)
		}
	}
	return v
}

func (v *Verdict) checkInsert(r *Record, final Final) {
	if r.Outcome != Completed || !r.Waits {
		return
	}
	v.Checked++
	if _, found := final.Values[r.Key]; !found {
		v.violated([]Record{*r}, "the acknowledged row %q is gone", r.Key)
	}
}

// checkNotRun finds requests that were refused as not run and did run: their
// value stands at the end or was read meanwhile.
func checkNotRun(records []Record, final Final) Verdict {
	v := Verdict{Check: CheckNotRun, Unchecked: final.missing()}
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
			v.violated([]Record{*r}, "key %q holds %d, which was refused as not run", key, value)
		}
	}
	for i := range records {
		r := &records[i]
		if w := refused[r.Key][r.Value]; w != nil && !r.Operation.Writes() && r.Outcome == Completed && r.Value != 0 {
			v.violated([]Record{*w, *r}, "read %d, which was refused as not run", r.Value)
		}
	}
	return v
}

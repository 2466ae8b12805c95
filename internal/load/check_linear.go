package load

import (
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearTimeout bounds the search on one key: it is exponential in the number of
// requests under way at once.
const linearTimeout = 5 * time.Second

// registerInput is one operation on a key, as the model sees it.
type registerInput struct {
	write bool
	value int64
}

// register is one key: a read returns the newest write's value.
var register = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		in, at := input.(registerInput), state.(int64)
		if in.write {
			return true, in.value
		}
		return output.(int64) == at, at
	},
}

// checkLinear holds the reads of staleness 0 and the writes of some shared keys
// against a register: there must be one order of all of them that fits each
// one's time and answer.
func checkLinear(records []Record, keys int) Verdict {
	v := Verdict{Check: CheckLinear}
	byKey := map[string][]Record{}
	for _, r := range records {
		if r.Operation == PutShared && r.Outcome != NotRun || r.Operation == GetShared && r.Strict && r.Outcome == Completed {
			byKey[r.Key] = append(byKey[r.Key], r)
		}
	}
	for _, key := range busiest(byKey, keys) {
		switch porcupine.CheckOperationsTimeout(register, operations(byKey[key]), linearTimeout) {
		case porcupine.Ok:
			v.Checked++
		case porcupine.Illegal:
			v.Checked++
			v.violated(firstIllegal(byKey[key]), "key %q: no order of its %d requests fits their answers", key, len(byKey[key]))
		case porcupine.Unknown:
			v.Unchecked = notCheckedWhat + "the search took too long on some keys"
		}
	}
	return v
}

// busiest returns the keys with the most requests.
func busiest(byKey map[string][]Record, most int) []string {
	var keys []string
	for key := range byKey {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		if d := len(byKey[b]) - len(byKey[a]); d != 0 {
			return d
		}
		if a < b {
			return -1
		}
		return 1
	})
	return keys[:min(most, len(keys))]
}

func operations(records []Record) []porcupine.Operation {
	out := make([]porcupine.Operation, 0, len(records))
	for _, r := range records {
		op := porcupine.Operation{
			Input:  registerInput{write: r.Operation.Writes(), value: r.Value},
			Output: r.Value,
			Call:   int64(r.Sent),
			Return: int64(r.Done),
		}
		if r.Outcome == Unknown {
			op.Return = math.MaxInt64 // It may take effect at any later time.
		}
		out = append(out, op)
	}
	return out
}

// firstIllegal returns the shortest prefix of the history that fits no order, cut
// to the requests that matter to a reader: its last ones.
func firstIllegal(records []Record) []Record {
	const shown = 6
	sorted := slices.Clone(records)
	slices.SortFunc(sorted, func(a, b Record) int { return int(a.Done - b.Done) })
	for n := 1; n <= len(sorted); n++ {
		prefix := pending(sorted, n)
		if porcupine.CheckOperationsTimeout(register, operations(prefix), linearTimeout) == porcupine.Illegal {
			return sorted[max(0, n-shown):n]
		}
	}
	return nil
}

// pending returns the first n requests and, of the later ones, the writes that
// had been sent by then: those may show already.
func pending(sorted []Record, n int) []Record {
	end := sorted[n-1].Done
	out := slices.Clone(sorted[:n])
	for _, r := range sorted[n:] {
		if r.Operation.Writes() && r.Sent <= end {
			r.Outcome = Unknown
			out = append(out, r)
		}
	}
	return out
}

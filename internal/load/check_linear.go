package load

import (
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearTimeout bounds the search on one key, which is exponential in the number
// of concurrent requests.
const linearTimeout = 5 * time.Second

// registerInput is the input of one operation on a key in the porcupine model.
type registerInput struct {
	write bool
	value int64
}

// register models one key: a read returns the value of the newest write.
var register = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		in, current := input.(registerInput), state.(int64)
		if in.write {
			return true, in.value
		}
		return output.(int64) == current, current
	},
}

// checkLinear checks that the reads of staleness 0 and the writes of the busiest
// shared keys are linearizable: for each key there must be a total order of its
// requests that agrees with their times and answers.
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
			v.addViolation(firstIllegal(byKey[key]), "key %q: no order of its %d requests agrees with their answers", key, len(byKey[key]))
		case porcupine.Unknown:
			v.Unchecked = notCheckedPrefix + "the search took too long on some keys"
		}
	}
	return v
}

// busiest returns the keys with the most requests.
func busiest(byKey map[string][]Record, limit int) []string {
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
	return keys[:min(limit, len(keys))]
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
			op.Return = math.MaxInt64 // The write may take effect at any later time.
		}
		out = append(out, op)
	}
	return out
}

// firstIllegal finds the shortest prefix of the history that is not linearizable
// and returns its last requests, which show the violation.
func firstIllegal(records []Record) []Record {
	const shown = 6
	sorted := slices.Clone(records)
	slices.SortFunc(sorted, func(a, b Record) int { return int(a.Done - b.Done) })
	for n := 1; n <= len(sorted); n++ {
		prefix := prefixWithPendingWrites(sorted, n)
		if porcupine.CheckOperationsTimeout(register, operations(prefix), linearTimeout) == porcupine.Illegal {
			return sorted[max(0, n-shown):n]
		}
	}
	return nil
}

// prefixWithPendingWrites returns the first n requests and those later writes that
// were sent before the nth request ended, since reads may already return them.
func prefixWithPendingWrites(sorted []Record, n int) []Record {
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

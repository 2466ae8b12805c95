package ctl

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// The groups of reasons for which requests are refused.
const (
	reasonLimit  = "limit"
	reasonQueue  = "queue"
	reasonTarget = "target"
	// reasonOther are refusals that neither load nor a target causes, for example those for wrong credentials.
	reasonOther = "other"
)

// reasons are the groups in the order of the output. All but reasonOther are always shown.
var reasons = []string{reasonLimit, reasonQueue, reasonTarget, reasonOther}

// codesByName are the results by the name that metrics have as tag.
var codesByName = func() map[string]result.Code {
	codes := map[string]result.Code{}
	for _, c := range result.All() {
		codes[c.Name()] = c
	}
	return codes
}()

// isRefusal reports whether the result of this name means that the request has not run.
func isRefusal(name string) bool {
	code, ok := codesByName[name]
	return ok && code.Ran() == result.NotRun
}

// reasonOf returns the group of a refusal.
func reasonOf(name string) string {
	switch codesByName[name] {
	case result.MemberLimit:
		return reasonLimit
	case result.QueueFull, result.DeadlineInQueue:
		return reasonQueue
	case result.NoPrimary, result.NoRight, result.TermRefused, result.TargetUnreachable, result.TargetBusy, result.TargetLeaving,
		result.PoolerUnreachable, result.ReplicaBehind, result.AgeNotShown, result.ConnectionsInUse, result.TransactionAborted:
		return reasonTarget
	}
	return reasonOther
}

// refusalRow is the number of a customer's requests that were refused for one group of reasons.
type refusalRow struct {
	Reason  string           `json:"reason"`
	Refused int64            `json:"refused"`
	Results map[string]int64 `json:"results"`
}

// whyAnswer is what a customer was refused.
type whyAnswer struct {
	Customer string       `json:"customer"`
	Served   int64        `json:"served"`
	Refused  []refusalRow `json:"refused"`
}

// why prints what one customer was refused, and why.
func (t *tool) why(rows map[string]*customerRow, customer string) error {
	r := rows[customer]
	if r == nil {
		known := slices.Sorted(maps.Keys(rows))
		return result.New(result.NotFound, "no daemon counts requests of customer %q; there are: %s", customer, cmp.Or(strings.Join(known, ", "), "none"))
	}
	groups := map[string]*refusalRow{}
	for _, reason := range reasons {
		groups[reason] = &refusalRow{Reason: reason, Results: map[string]int64{}}
	}
	for name, n := range r.Results {
		if isRefusal(name) {
			g := groups[reasonOf(name)]
			g.Refused += n
			g.Results[name] = n
		}
	}
	answer := whyAnswer{Customer: customer, Served: r.Served}
	table := table{header: []string{"REASON", "REFUSED", "RESULTS"}}
	for _, reason := range reasons {
		g := groups[reason]
		if reason == reasonOther && g.Refused == 0 {
			continue
		}
		answer.Refused = append(answer.Refused, *g)
		table.rows = append(table.rows, []string{reason, strconv.FormatInt(g.Refused, 10), formatCounts(g.Results)})
	}
	return t.out.answer(answer, table)
}

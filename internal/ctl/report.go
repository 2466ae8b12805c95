package ctl

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// cause is why a request failed or was late, as far as its own line tells.
type cause string

// The causes, in the order of a request's way.
const (
	causeRight    cause = "right"    // no right to acknowledge at the primary
	causeAge      cause = "age"      // no replica could be shown to be new enough
	causeFloor    cause = "floor"    // no target held what the session has to see
	causeQueue    cause = "queue"    // it waited for a connection in vain
	causeDial     cause = "dial"     // no connection to a target could be had
	causeDatabase cause = "database" // the target refused for its load, or took too long
	causeCut      cause = "cut"      // a connection broke, or a transaction was ended
	causeLimit    cause = "limit"    // its customer's limit was reached
	causeRefused  cause = "refused"  // anything else
	causeLate     cause = "late"     // answered after its class's objective, mostly at the target
	causeLateWait cause = "waited"   // the same, after waiting for a connection for most of the time
)

var causes = []cause{
	causeRight, causeAge, causeFloor, causeQueue, causeDial, causeDatabase, causeCut, causeLimit, causeRefused, causeLate, causeLateWait,
}

// causeOf groups the results by what an operator would look at next.
var causeOf = map[result.Code]cause{
	result.NoRight:            causeRight,
	result.NoPrimary:          causeRight,
	result.AgeNotShown:        causeAge,
	result.ReplicaBehind:      causeFloor,
	result.QueueFull:          causeQueue,
	result.DeadlineInQueue:    causeQueue,
	result.ConnectionsInUse:   causeDial,
	result.TargetUnreachable:  causeDial,
	result.WrongTarget:        causeDial,
	result.TargetBusy:         causeDatabase,
	result.TargetFailed:       causeDatabase,
	result.TargetLeaving:      causeDatabase,
	result.DeadlineExceeded:   causeDatabase,
	result.OutcomeUnknown:     causeCut,
	result.TransactionAborted: causeCut,
	result.MemberLimit:        causeLimit,
}

// reportRow counts the requests of one group of lines by cause.
type reportRow struct {
	Name   string        `json:"name"`
	Causes map[cause]int `json:"causes"`
	Total  int           `json:"total"`
}

// lossReport says where requests were lost: when, and of which class, group, data centre and VM.
type lossReport struct {
	From        time.Time   `json:"from"`
	Window      string      `json:"window"`
	Windows     []reportRow `json:"windows"`
	Classes     []reportRow `json:"classes"`
	Groups      []reportRow `json:"groups"`
	DataCentres []reportRow `json:"data_centres"`
	VMs         []reportRow `json:"vms"`
}

// report prints what the logs of several daemons tell of all requests that failed or were late.
func (t *tool) report(c *reportCommand) error {
	if c.Window <= 0 {
		return result.New(result.BadOption, "the window is %v, it must be positive", c.Window)
	}
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	r, ok := reportOf(lines, c.Window)
	if !ok {
		return result.New(result.NotFound, "no line of a request that failed or was late")
	}
	if t.out.json {
		return t.out.writeJSON(r)
	}
	return t.printReport(r)
}

// reportOf counts; it reports false if there is nothing to count.
func reportOf(lines []logLine, window time.Duration) (lossReport, bool) {
	var lost []logLine
	place := map[string]string{}
	for _, line := range lines {
		switch line.Event {
		case "request_failed", "request_late":
			lost = append(lost, line)
		case "started":
			place[line.VM] = line.Fields["data_centre"]
		}
	}
	if len(lost) == 0 {
		return lossReport{}, false
	}
	slices.SortStableFunc(lost, func(a, b logLine) int { return a.At.Compare(b.At) })
	from := lost[0].At.Truncate(window)
	number := func(l logLine) int { return int(l.At.Sub(from) / window) }
	name := func(n int) string { return "+" + (time.Duration(n) * window).String() }
	r := lossReport{From: from, Window: window.String()}
	r.Windows = countBy(lost, func(l logLine) string { return name(number(l)) })
	for n := range number(lost[len(lost)-1]) {
		if !slices.ContainsFunc(r.Windows, func(w reportRow) bool { return w.Name == name(n) }) {
			r.Windows = append(r.Windows, reportRow{Name: name(n), Causes: map[cause]int{}})
		}
	}
	slices.SortStableFunc(r.Windows, func(a, b reportRow) int { return cmp.Compare(offset(a), offset(b)) })
	r.Classes = countBy(lost, func(l logLine) string { return l.Fields["class"] })
	r.Groups = countBy(lost, func(l logLine) string { return l.Fields["group"] })
	r.DataCentres = countBy(lost, func(l logLine) string { return cmp.Or(place[l.VM], "not told") })
	r.VMs = countBy(lost, func(l logLine) string { return l.VM })
	return r, true
}

func offset(r reportRow) time.Duration {
	d, _ := time.ParseDuration(strings.TrimPrefix(r.Name, "+")) // Written by String above.
	return d
}

// countBy counts lines by a name and cause, the greatest counts first.
func countBy(lines []logLine, name func(logLine) string) []reportRow {
	rows := map[string]*reportRow{}
	for _, line := range lines {
		key := name(line)
		if rows[key] == nil {
			rows[key] = &reportRow{Name: key, Causes: map[cause]int{}}
		}
		rows[key].Causes[causeOfLine(line)]++
		rows[key].Total++
	}
	sorted := make([]reportRow, 0, len(rows))
	for _, row := range rows {
		sorted = append(sorted, *row)
	}
	slices.SortFunc(sorted, func(a, b reportRow) int { return cmp.Or(cmp.Compare(b.Total, a.Total), cmp.Compare(a.Name, b.Name)) })
	return sorted
}

func causeOfLine(l logLine) cause {
	if l.Event == "request_late" {
		took, err1 := time.ParseDuration(l.Fields["took"])
		waited, err2 := time.ParseDuration(l.Fields["waited"])
		if err1 == nil && err2 == nil && 2*waited > took {
			return causeLateWait
		}
		return causeLate
	}
	code, err := strconv.Atoi(l.Fields["code"])
	if err != nil {
		return causeRefused
	}
	return cmp.Or(causeOf[result.Code(code)], causeRefused)
}

// barWidth is how many characters the bar of the worst window takes.
const barWidth = 40

// printReport prints a table for each way to count, the windows with a bar each.
func (t *tool) printReport(r lossReport) error {
	printLine(t.out.stdout, "from %s", r.From.Format(time.RFC3339Nano))
	for _, part := range []struct {
		name string
		rows []reportRow
		bars bool
	}{
		{"window", r.Windows, true},
		{"class", r.Classes, false},
		{"group", r.Groups, false},
		{"data centre", r.DataCentres, false},
		{"vm", r.VMs, false},
	} {
		if err := t.out.answer(part.rows, reportTable(part.name, part.rows, part.bars)); err != nil {
			return err
		}
		printLine(t.out.stdout, "")
	}
	return nil
}

// reportTable has a column for each cause that occurs.
func reportTable(name string, rows []reportRow, bars bool) table {
	seen, most := map[cause]bool{}, 1
	for _, row := range rows {
		maps.Copy(seen, present(row))
		most = max(most, row.Total)
	}
	shown := slices.DeleteFunc(slices.Clone(causes), func(c cause) bool { return !seen[c] })
	out := table{header: []string{name}}
	for _, c := range shown {
		out.header = append(out.header, string(c))
	}
	out.header = append(out.header, "all")
	for _, row := range rows {
		cells := []string{row.Name}
		for _, c := range shown {
			cells = append(cells, strconv.Itoa(row.Causes[c]))
		}
		cells = append(cells, strconv.Itoa(row.Total))
		if bars {
			cells = append(cells, strings.Repeat("#", row.Total*barWidth/most))
		}
		out.rows = append(out.rows, cells)
	}
	return out
}

func present(row reportRow) map[cause]bool {
	found := map[cause]bool{}
	for c := range row.Causes {
		found[c] = true
	}
	return found
}

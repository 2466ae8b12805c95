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

// cause is why a request failed or was late, according to its log line alone.
type cause string

// The causes, in the order in which a request can meet them.
const (
	causeRight    cause = "right"    // no primary, or it had no right to acknowledge
	causeAge      cause = "age"      // no replica could be shown to be new enough
	causeFloor    cause = "floor"    // no target had reached the session's floor
	causeQueue    cause = "queue"    // no connection became free: the queue was full or the deadline passed
	causeDial     cause = "dial"     // no connection to a target could be opened, or it was the wrong target
	causeDatabase cause = "database" // the target was overloaded, failed, was leaving or took too long
	causeCut      cause = "cut"      // a connection broke, or a transaction was ended
	causeLimit    cause = "limit"    // its customer's limit was reached
	causeRefused  cause = "refused"  // anything else
	causeLate     cause = "late"     // answered later than its class's objective, most of the time not spent in the queue
	causeLateWait cause = "waited"   // answered later than its class's objective, most of the time spent in the queue
)

var causes = []cause{
	causeRight, causeAge, causeFloor, causeQueue, causeDial, causeDatabase, causeCut, causeLimit, causeRefused, causeLate, causeLateWait,
}

// causeOf groups result codes by what an operator would examine next.
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

// reportRow counts, by cause, the lost requests that share a window, class, group, data
// centre or VM.
type reportRow struct {
	Name   string        `json:"name"`
	Causes map[cause]int `json:"causes"`
	Total  int           `json:"total"`
}

// lossReport counts the lost requests, those that failed or were late, by window of time,
// class, group, data centre and VM.
type lossReport struct {
	From        time.Time   `json:"from"`
	Window      string      `json:"window"`
	Windows     []reportRow `json:"windows"`
	Classes     []reportRow `json:"classes"`
	Groups      []reportRow `json:"groups"`
	DataCentres []reportRow `json:"data_centres"`
	VMs         []reportRow `json:"vms"`
}

// report prints the counts of all requests that failed or were late in the logs of several daemons.
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

// reportOf counts the requests that failed or were late; it returns false if there are none.
func reportOf(lines []logLine, window time.Duration) (lossReport, bool) {
	var lost []logLine
	dataCentres := map[string]string{}
	for _, line := range lines {
		switch line.Event {
		case "request_failed", "request_late":
			lost = append(lost, line)
		case "started":
			dataCentres[line.VM] = line.Fields["data_centre"]
		}
	}
	if len(lost) == 0 {
		return lossReport{}, false
	}
	slices.SortStableFunc(lost, func(a, b logLine) int { return a.At.Compare(b.At) })
	from := lost[0].At.Truncate(window)
	windowIndex := func(l logLine) int { return int(l.At.Sub(from) / window) }
	windowName := func(n int) string { return "+" + (time.Duration(n) * window).String() }
	r := lossReport{From: from, Window: window.String()}
	r.Windows = countBy(lost, func(l logLine) string { return windowName(windowIndex(l)) })
	for n := range windowIndex(lost[len(lost)-1]) {
		if !slices.ContainsFunc(r.Windows, func(w reportRow) bool { return w.Name == windowName(n) }) {
			r.Windows = append(r.Windows, reportRow{Name: windowName(n), Causes: map[cause]int{}})
		}
	}
	slices.SortStableFunc(r.Windows, func(a, b reportRow) int { return cmp.Compare(offset(a), offset(b)) })
	r.Classes = countBy(lost, func(l logLine) string { return l.Fields["class"] })
	r.Groups = countBy(lost, func(l logLine) string { return l.Fields["group"] })
	r.DataCentres = countBy(lost, func(l logLine) string { return cmp.Or(dataCentres[l.VM], "not told") })
	r.VMs = countBy(lost, func(l logLine) string { return l.VM })
	return r, true
}

// offset returns the start of a window, relative to the start of the report.
func offset(r reportRow) time.Duration {
	d, _ := time.ParseDuration(strings.TrimPrefix(r.Name, "+")) // The name was made by Duration.String, which ParseDuration accepts.
	return d
}

// countBy counts lines by name and cause, sorted by descending total.
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

// barWidth is the length in characters of the bar of the window with the most lost requests.
const barWidth = 40

// printReport prints a table for each grouping; the one of the windows has a bar in each row.
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

// reportTable returns a table with a column for each cause that occurs.
func reportTable(name string, rows []reportRow, bars bool) table {
	seen, maxTotal := map[cause]bool{}, 1
	for _, row := range rows {
		maps.Copy(seen, causesIn(row))
		maxTotal = max(maxTotal, row.Total)
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
			cells = append(cells, strings.Repeat("#", row.Total*barWidth/maxTotal))
		}
		out.rows = append(out.rows, cells)
	}
	return out
}

func causesIn(row reportRow) map[cause]bool {
	found := map[cause]bool{}
	for c := range row.Causes {
		found[c] = true
	}
	return found
}

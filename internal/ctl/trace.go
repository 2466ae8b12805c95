package ctl

import (
	"cmp"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/logging"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

const (
	// traceBefore and traceAfter bound the time around a request's log line in which other
	// lines may explain it: a right lapses within one second, and a primary is replaced within
	// four.
	traceBefore = 4 * time.Second
	traceAfter  = time.Second
)

// logLine is one line of a daemon's log.
type logLine struct {
	At     time.Time         `json:"time"`
	VM     string            `json:"vm"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	text   string
}

// Log events by what they concern. A request is explained by vmEvents of its VM, by
// targetEvents of its VM and target, and by groupEvents of its group, logged by any VM.
var (
	vmEvents = []string{
		"cut_off", "cut_off_ended", "sessions_shed", "store_lost", "store_regained", "right_not_read", "stopping", "started",
		"configuration_in_force", "log_lines_left_out", "panic_contained",
	}
	targetEvents = []string{"dial_failed", "target_connection_lost", "target_unregistered", "target_gone"}
	groupEvents  = []string{
		"rights_ended", "candidate_chosen", "primary_replacement", "coordinator_taken_over", "step_down_failed",
		"promotion_unanswered", "replacement_given_up", "replicas_looked_at", "commit_not_kept", "primary_superseded",
	}
)

// trace prints the log lines of one request, and those that may explain its outcome, from the
// logs of several daemons.
func (t *tool) trace(c *traceCommand) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	found := traceOf(logging.Value(c.Request), lines)
	if len(found) == 0 {
		return result.New(result.NotFound, "no line of request %q: it was answered in time, or its VM's log is missing", c.Request)
	}
	if t.out.json {
		return t.out.writeJSON(found)
	}
	for _, line := range found {
		printLine(t.out.stdout, "%s", line.text)
	}
	return nil
}

func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, file := range files {
		read, err := readLog(file)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLog(file string) ([]logLine, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, result.New(result.NotFound, "%v", err)
	}
	return parseLog(string(raw)), nil
}

// parseLog returns the lines that name an event. It skips others, such as the stack of a panic.
func parseLog(text string) []logLine {
	var lines []logLine
	for raw := range strings.Lines(text) {
		if line, ok := parseLine(strings.TrimSuffix(raw, "\n")); ok {
			lines = append(lines, line)
		}
	}
	return lines
}

// parseLine parses one line. It ignores a prefix that a log collector has added.
func parseLine(text string) (logLine, bool) {
	begin := strings.Index(text, "time=")
	if begin < 0 {
		return logLine{}, false
	}
	line := logLine{Fields: map[string]string{}, text: text[begin:]}
	for rest := line.text; rest != ""; {
		key, value, after, ok := cutPair(rest)
		if !ok {
			return logLine{}, false
		}
		line.Fields[key], rest = value, strings.TrimLeft(after, " ")
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
	if err != nil {
		return logLine{}, false
	}
	line.At, line.VM, line.Event = at, line.Fields["vm"], line.Fields["event"]
	return line, line.Event != ""
}

// cutPair splits off the first key=value pair. A quoted key or value has the escapes of Go, as the daemons' logger writes
// them.
func cutPair(text string) (key, value, rest string, ok bool) {
	key, rest, ok = cutText(text, "= ")
	if !ok || !strings.HasPrefix(rest, "=") {
		return "", "", "", false
	}
	value, rest, ok = cutText(rest[len("="):], " ")
	return key, value, rest, ok && (rest == "" || rest[0] == ' ')
}

// cutText splits off a text in double quotes, or one that ends at any of the characters.
func cutText(text, ends string) (first, rest string, ok bool) {
	if strings.HasPrefix(text, `"`) {
		quoted, err := strconv.QuotedPrefix(text)
		if err != nil {
			return "", "", false
		}
		first, err = strconv.Unquote(quoted)
		return first, text[len(quoted):], err == nil
	}
	end := strings.IndexAny(text, ends)
	if end < 0 {
		end = len(text)
	}
	return text[:end], text[end:], true
}

// traceOf returns the lines of a request and those that may explain them, in the order of time.
// Of the latter it keeps only the first line of a VM with the same event, target and group,
// because an unreachable target is logged many times a second.
func traceOf(request string, lines []logLine) []logLine {
	var found []logLine
	seen := map[string]bool{}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	for _, requestLine := range lines {
		if requestLine.Fields["request"] != request {
			continue
		}
		for _, line := range lines {
			kind := strings.Join([]string{line.VM, line.Event, line.Fields["target"], line.Fields["group"]}, " ")
			if explains(line, requestLine) && !seen[kind] {
				seen[kind] = true
				found = append(found, line)
			}
		}
		found = append(found, requestLine)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.VM, b.VM)) })
	return found
}

// explains reports whether line may explain requestLine, a line about a request.
func explains(line, requestLine logLine) bool {
	after := line.At.Sub(requestLine.At)
	if after < -traceBefore || after > traceAfter || line.Fields["request"] != "" {
		return false
	}
	sameVM, sameGroup := line.VM == requestLine.VM, line.Fields["group"] == requestLine.Fields["group"]
	switch {
	case slices.Contains(vmEvents, line.Event):
		return sameVM
	case slices.Contains(targetEvents, line.Event):
		return sameVM && (requestLine.Fields["target"] == "" || line.Fields["target"] == requestLine.Fields["target"])
	case slices.Contains(groupEvents, line.Event):
		return sameGroup
	}
	return line.Event == "row_adopted" && sameVM && sameGroup
}

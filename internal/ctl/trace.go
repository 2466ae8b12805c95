package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

const (
	// traceBefore and traceAfter are how much of the logs around a request's line may explain
	// it: a right lapses within a second, and a primary is replaced within four.
	traceBefore = 4 * time.Second
	traceAfter  = time.Second
	// longestLogLine is more than any line of a daemon takes.
	longestLogLine = 1 << 20
)

// logLine is one line of a daemon's log.
type logLine struct {
	At     time.Time         `json:"time"`
	VM     string            `json:"vm"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	text   string
}

// Events by what they are of. A request is explained by those of its own VM, of its VM and
// target, and of its group wherever they were logged.
var (
	vmEvents = []string{
		"cut_off", "cut_off_ended", "sessions_shed", "store_lost", "store_regained", "right_not_read", "stopping", "started",
		"configuration_in_force", "log_lines_left_out", "panic_contained",
	}
	targetEvents = []string{"dial_failed", "target_connection_lost", "target_unregistered", "target_gone"}
	groupEvents  = []string{
		"rights_ended", "candidate_chosen", "primary_replacement", "coordinator_taken_over", "step_down_failed",
		"promotion_unanswered", "replacement_given_up", "replicas_looked_at",
	}
)

// trace prints what the logs of several daemons tell of one request.
func (t *tool) trace(c *traceCommand) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	story := storyOf(c.Request, lines)
	if len(story) == 0 {
		return result.New(result.NotFound, "no line of request %q: it was answered in time, or its VM's log is missing", c.Request)
	}
	if t.out.json {
		return t.out.writeJSON(story)
	}
	for _, line := range story {
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
	return parseLog(bytes.NewReader(raw))
}

// parseLog reads the lines that name an event. Others, such as a panic's stack, are passed over.
func parseLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	in := bufio.NewScanner(r)
	in.Buffer(nil, longestLogLine)
	for in.Scan() {
		if line, ok := parseLine(in.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, in.Err()
}

// parseLine reads one line. What a collector has put before it is passed over.
func parseLine(text string) (logLine, bool) {
	begin := strings.Index(text, "time=")
	if begin < 0 {
		return logLine{}, false
	}
	line := logLine{Fields: map[string]string{}, text: text[begin:]}
	d := logfmt.NewDecoder(strings.NewReader(line.text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			line.Fields[string(d.Key())] = string(d.Value())
		}
	}
	if d.Err() != nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
	if err != nil {
		return logLine{}, false
	}
	line.At, line.VM, line.Event = at, line.Fields["vm"], line.Fields["event"]
	return line, line.Event != ""
}

// storyOf returns the lines of a request with those that may explain them, in the order of time.
// One of a kind at a VM is enough: a target that is away is logged many times a second.
func storyOf(request string, lines []logLine) []logLine {
	var story []logLine
	seen := map[string]bool{}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	for _, own := range lines {
		if own.Fields["request"] != request {
			continue
		}
		for _, line := range lines {
			kind := strings.Join([]string{line.VM, line.Event, line.Fields["target"], line.Fields["group"]}, " ")
			if explains(line, own) && !seen[kind] {
				seen[kind] = true
				story = append(story, line)
			}
		}
		story = append(story, own)
	}
	slices.SortStableFunc(story, func(a, b logLine) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.VM, b.VM)) })
	return story
}

// explains reports whether a line may explain the line of a request.
func explains(line, own logLine) bool {
	after := line.At.Sub(own.At)
	if after < -traceBefore || after > traceAfter || line.Fields["request"] != "" {
		return false
	}
	sameVM, sameGroup := line.VM == own.VM, line.Fields["group"] == own.Fields["group"]
	switch {
	case slices.Contains(vmEvents, line.Event):
		return sameVM
	case slices.Contains(targetEvents, line.Event):
		return sameVM && (own.Fields["target"] == "" || line.Fields["target"] == own.Fields["target"])
	case slices.Contains(groupEvents, line.Event):
		return sameGroup
	}
	return line.Event == "row_adopted" && sameVM && sameGroup
}

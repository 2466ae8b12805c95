package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// output writes answers as tables or as JSON.
type output struct {
	stdout, stderr io.Writer
	json           bool
}

// table is a header and the rows below it.
type table struct {
	header []string
	rows   [][]string
}

// answer writes value as JSON, or t in its place as text.
func (o *output) answer(value any, t table) error {
	if o.json {
		return o.writeJSON(value)
	}
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// line writes value as JSON, or one line of text in its place.
func (o *output) line(value any, format string, args ...any) error {
	if o.json {
		return o.writeJSON(value)
	}
	printLine(o.stdout, format, args...)
	return nil
}

func (o *output) writeJSON(value any) error {
	enc := json.NewEncoder(o.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// failureMessage is the JSON output of a failed run.
type failureMessage struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Ran    string `json:"ran"`
	Detail string `json:"detail"`
}

// failure writes the error, with its BTS number, as one line to stderr. With --json
// it also writes it to stdout, for programs.
func (o *output) failure(r *result.Error) {
	printLine(o.stderr, "%s", strings.ReplaceAll(r.Error(), "\n", "; "))
	if !o.json {
		return
	}
	message := failureMessage{Code: int(r.Code), Name: r.Code.Name(), Ran: r.Ran.String(), Detail: r.Detail}
	if err := o.writeJSON(struct {
		Error failureMessage `json:"error"`
	}{message}); err != nil {
		printLine(o.stderr, "%v", err)
	}
}

func printLine(w io.Writer, format string, args ...any) {
	fmt.Fprintf(w, format+"\n", args...)
}

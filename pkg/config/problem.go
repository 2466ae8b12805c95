package config

import (
	"fmt"
	"sort"
	"strings"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Problem is one error or warning about a document.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from 1; the column counts bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path is the path of the value, such as classes[2].deadline.
	Path string `json:"path"`
	// What describes the problem.
	What string `json:"what"`
	// Allowed describes what would be valid instead.
	Allowed string `json:"allowed"`
	// Warning is set when the document is valid in spite of the problem.
	Warning bool `json:"warning"`
}

// String formats the problem on one line, in the style of a compiler.
func (p Problem) String() string {
	severity := "error"
	if p.Warning {
		severity = "warning"
	}
	s := fmt.Sprintf("%s:%d:%d: %s: %s: %s", p.File, p.Line, p.Column, severity, p.Path, p.What)
	if p.Allowed != "" {
		s += "; allowed: " + p.Allowed
	}
	return s
}

// HasErrors reports whether any problem is an error rather than a warning.
func HasErrors(problems []Problem) bool {
	for _, p := range problems {
		if !p.Warning {
			return true
		}
	}
	return false
}

// Err returns nil when all problems are warnings. Otherwise it returns a
// ConfigInvalid error that lists the problems without the warnings.
func Err(problems []Problem) error {
	var lines []string
	for _, p := range problems {
		if !p.Warning {
			lines = append(lines, p.String())
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return result.New(result.ConfigInvalid, "%s", strings.Join(lines, "\n"))
}

// report collects problems and maps the path of each value to its byte offset in
// the file.
type report struct {
	file     string
	raw      []byte
	offsets  map[string]int
	problems []Problem
	// failed holds the paths whose value could not be decoded. Further checks of
	// such a value would only repeat the problem.
	failed map[string]bool
	// lineStarts holds the byte offset of each line. It is computed on first use.
	lineStarts []int
}

func newReport(file string, raw []byte) *report {
	return &report{file: file, raw: raw, offsets: map[string]int{}, failed: map[string]bool{}}
}

func (r *report) add(path, what, allowed string) {
	r.problems = append(r.problems, r.problem(r.offsetOf(path), path, what, allowed))
}

func (r *report) warn(path, what, allowed string) {
	p := r.problem(r.offsetOf(path), path, what, allowed)
	p.Warning = true
	r.problems = append(r.problems, p)
}

func (r *report) problem(offset int, path, what, allowed string) Problem {
	line, column := r.lineColumn(offset)
	return Problem{File: r.file, Line: line, Column: column, Path: path, What: what, Allowed: allowed}
}

// offsetOf returns the offset of the value at path, or of the nearest enclosing
// record when the file omits the key.
func (r *report) offsetOf(path string) int {
	for path != "" {
		if offset, ok := r.offsets[path]; ok {
			return offset
		}
		path = parentPath(path)
	}
	return r.offsets[""]
}

// given reports whether the file has a value at path that could be decoded.
func (r *report) given(path string) bool {
	_, ok := r.offsets[path]
	return ok && !r.failed[path]
}

func (r *report) sorted() []Problem {
	sort.SliceStable(r.problems, func(i, j int) bool {
		a, b := r.problems[i], r.problems[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return r.problems
}

func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func joinPath(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}

func indexPath(parent string, i int) string { return fmt.Sprintf("%s[%d]", parent, i) }

func (r *report) lineColumn(offset int) (line, column int) {
	if r.lineStarts == nil {
		r.lineStarts = findLineStarts(r.raw)
	}
	line = sort.SearchInts(r.lineStarts, offset+1)
	return line, offset - r.lineStarts[line-1] + 1
}

func findLineStarts(raw []byte) []int {
	starts := []int{0}
	for i, b := range raw {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

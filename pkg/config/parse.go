package config

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/tailscale/hujson"
)

const (
	// MaxBytes is the maximum size of a document, in bytes. A document with 14,000
	// targets has about 3 MB.
	MaxBytes = 16 << 20
	// maxBrackets is the maximum number of opening brackets, which bounds the
	// nesting depth. The syntax parser is recursive, and a file of nothing but
	// brackets would end the process with a stack overflow, from which Go can't
	// recover. This many nested frames fit on the stack.
	maxBrackets = 200_000
)

// Parse decodes and validates a document. It returns all problems, ordered by
// their position in the file. The document is nil when one of them is an error;
// a document with only warnings is valid. The file name appears only in the
// problems, as the name of the source.
func Parse(file string, raw []byte) (*Document, []Problem) {
	r := newReport(file, raw)
	if !r.sizeAllowed() {
		return nil, r.problems
	}
	tree, err := hujson.Parse(raw)
	if err != nil {
		r.syntax(err)
		return nil, r.problems
	}
	doc := &Document{}
	d := decoder{report: r, fields: map[reflect.Type][]field{}}
	d.value(&tree, reflect.ValueOf(doc).Elem(), "")
	v := validator{report: r, doc: doc}
	v.document()
	problems := r.sorted()
	if HasErrors(problems) {
		return nil, problems
	}
	return doc, problems
}

func (r *report) sizeAllowed() bool {
	if len(r.raw) > MaxBytes {
		r.add("", fmt.Sprintf("the document has %d bytes", len(r.raw)), fmt.Sprintf("at most %d", MaxBytes))
		return false
	}
	brackets := bytes.Count(r.raw, []byte("[")) + bytes.Count(r.raw, []byte("{"))
	if brackets > maxBrackets {
		r.add("", fmt.Sprintf("the document has %d opening brackets", brackets), fmt.Sprintf("at most %d", maxBrackets))
		return false
	}
	return true
}

// syntax reports text that is not JSON. The library gives the position only in
// the text of its error.
func (r *report) syntax(err error) {
	p := Problem{File: r.file, Line: 1, Column: 1, Allowed: "JSON with comments"}
	const format = "hujson: line %d, column %d:"
	if _, scanErr := fmt.Sscanf(err.Error(), format, &p.Line, &p.Column); scanErr != nil {
		p.Line, p.Column = 1, 1
	}
	p.What = err.Error()
	r.problems = append(r.problems, p)
}

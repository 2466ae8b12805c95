package config

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// decoder fills records from the syntax tree. It continues after a problem,
// so that an operator sees all problems at once.
type decoder struct {
	*report
	// fields caches the keys of each record type: a large document has thousands
	// of records of a few types.
	fields map[reflect.Type][]field
}

func (d *decoder) fieldsOf(t reflect.Type) []field {
	fields, ok := d.fields[t]
	if !ok {
		fields = fieldsOf(t)
		d.fields[t] = fields
	}
	return fields
}

func (d *decoder) value(v *hujson.Value, out reflect.Value, path string) {
	d.offsets[path] = v.StartOffset
	if out.Kind() == reflect.Pointer {
		out.Set(reflect.New(out.Type().Elem()))
		out = out.Elem()
	}
	if out.Type() == reflect.TypeFor[Duration]() {
		d.duration(v, out, path)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.object(v, out, path)
	case reflect.Slice:
		d.array(v, out, path)
	case reflect.String:
		d.text(v, out, path)
	case reflect.Bool:
		d.boolean(v, out, path)
	default:
		d.integer(v, out, path)
	}
}

// fail reports a value that can't be used and marks its path as failed.
func (d *decoder) fail(path, what, allowed string) {
	d.failed[path] = true
	d.add(path, what, allowed)
}

func (d *decoder) object(v *hujson.Value, out reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fail(path, "is "+kindName(v), "an object")
		return
	}
	if record, ok := out.Addr().Interface().(defaulter); ok {
		record.setDefaults()
	}
	fields := d.fieldsOf(out.Type())
	seen := make([]bool, len(fields))
	for i := range object.Members {
		d.member(&object.Members[i], out, path, fields, seen)
	}
	for i, f := range fields {
		if f.required && !seen[i] {
			d.add(path, fmt.Sprintf("key %q is missing", f.key), "it is required")
		}
	}
}

func (d *decoder) member(m *hujson.ObjectMember, out reflect.Value, path string, fields []field, seen []bool) {
	key := m.Name.Value.(hujson.Literal).String()
	fieldIndex := slices.IndexFunc(fields, func(f field) bool { return f.key == key })
	if fieldIndex < 0 {
		what := fmt.Sprintf("unknown key %q", key)
		d.problems = append(d.problems, d.problem(m.Name.StartOffset, joinPath(path, key), what, listAndSuggest(key, keysOf(fields))))
		return
	}
	if seen[fieldIndex] {
		what := fmt.Sprintf("key %q is given twice", key)
		d.problems = append(d.problems, d.problem(m.Name.StartOffset, joinPath(path, key), what, "once"))
		return
	}
	seen[fieldIndex] = true
	f := fields[fieldIndex]
	before := len(d.problems)
	d.value(&m.Value, out.Field(f.index), joinPath(path, key))
	if len(d.problems) == before {
		d.bounds(out.Field(f.index), f, joinPath(path, key))
	}
}

func (d *decoder) array(v *hujson.Value, out reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fail(path, "is "+kindName(v), "a list")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.value(&array.Elements[i], out.Index(i), indexPath(path, i))
	}
}

func (d *decoder) text(v *hujson.Value, out reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.fail(path, "is "+kindName(v), "a string")
		return
	}
	s := literal.String()
	if e, ok := out.Interface().(enum); ok && !slices.Contains(e.allowed(), s) {
		d.fail(path, fmt.Sprintf("%q is not a value of this key", s), listAndSuggest(s, e.allowed()))
		return
	}
	out.SetString(s)
}

func (d *decoder) boolean(v *hujson.Value, out reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		d.fail(path, "is "+kindName(v), "true or false")
		return
	}
	out.SetBool(literal.Bool())
}

func (d *decoder) integer(v *hujson.Value, out reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		d.fail(path, "is "+kindName(v), "a whole number, without a unit")
		return
	}
	n, err := strconv.ParseInt(string(literal), 10, 32)
	if err != nil {
		d.fail(path, fmt.Sprintf("%s is not a whole number of 32 bits", literal), "a whole number, without a unit")
		return
	}
	out.SetInt(n)
}

func (d *decoder) duration(v *hujson.Value, out reflect.Value, path string) {
	const allowed = `a string with a unit: ns, us, ms, s, m or h, such as "250ms"`
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.fail(path, "is "+kindName(v), allowed)
		return
	}
	parsed, err := time.ParseDuration(literal.String())
	if err != nil {
		d.fail(path, fmt.Sprintf("%q is not a duration", literal.String()), allowed)
		return
	}
	out.SetInt(int64(parsed))
}

// bounds checks a value against the min and max tags of its field.
func (d *decoder) bounds(out reflect.Value, f field, path string) {
	if out.Kind() == reflect.Pointer {
		out = out.Elem()
	}
	if !out.CanInt() {
		return
	}
	n := out.Int()
	tooLow := f.min != "" && n < boundOf(f.min)
	tooHigh := f.max != "" && n > boundOf(f.max)
	if tooLow || tooHigh {
		d.fail(path, fmt.Sprintf("%v is out of bounds", out.Interface()), f.boundsText())
	}
}

// boundOf parses a min or max tag, which holds a number or a duration.
func boundOf(tag string) int64 {
	if n, err := strconv.ParseInt(tag, 10, 64); err == nil {
		return n
	}
	bound, err := time.ParseDuration(tag)
	if err != nil {
		panic(err) // A tag in this package is malformed, which any test detects.
	}
	return int64(bound)
}

// field is one key of a record.
type field struct {
	key      string
	index    int
	required bool
	min, max string
}

func (f field) boundsText() string {
	switch {
	case f.max == "":
		return "at least " + f.min
	case f.min == "":
		return "at most " + f.max
	}
	return f.min + " to " + f.max
}

func fieldsOf(t reflect.Type) []field {
	fields := make([]field, t.NumField())
	for i := range fields {
		tag := t.Field(i).Tag
		key, _, _ := strings.Cut(tag.Get("json"), ",")
		fields[i] = field{
			key: key, index: i, required: tag.Get("required") == "true",
			min: tag.Get("min"), max: tag.Get("max"),
		}
	}
	return fields
}

func keysOf(fields []field) []string {
	keys := make([]string, 0, len(fields))
	for _, f := range fields {
		keys = append(keys, f.key)
	}
	return keys
}

func kindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	}
	return "a boolean"
}

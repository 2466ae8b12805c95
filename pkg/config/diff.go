package config

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Change is one difference between two documents.
type Change struct {
	// Path identifies records by name, not by index, as in
	// classes[quota-ledger/quota-balance].deadline.
	Path string `json:"path"`
	// Old is empty for an addition, New for a removal.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s = %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s = %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// keyed is a record that is identified by a name. The order of such records in
// the file has no meaning, so Diff matches them by key.
type keyed interface{ key() string }

func (d DataCentre) key() string     { return string(d.Name) }
func (m Member) key() string         { return m.Name }
func (s Service) key() string        { return s.Name }
func (g Group) key() string          { return string(g.ID()) }
func (t Target) key() string         { return string(t.ID) }
func (c Class) key() string          { return c.Service + "/" + c.Name }
func (p Preset) key() string         { return p.Name }
func (o ClassOverride) key() string  { return o.Service + "/" + o.Class }
func (o MemberOverride) key() string { return o.Member }

// Diff returns the changes from one document to another, in the order of the
// records. In each table, removals come first.
func Diff(before, after *Document) []Change {
	var d differ
	d.value("", reflect.ValueOf(before).Elem(), reflect.ValueOf(after).Elem())
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) value(path string, before, after reflect.Value) {
	switch before.Kind() {
	case reflect.Struct:
		for _, f := range fieldsOf(before.Type()) {
			d.value(joinPath(path, f.key), before.Field(f.index), after.Field(f.index))
		}
	case reflect.Slice:
		d.table(path, before, after)
	default:
		if !reflect.DeepEqual(before.Interface(), after.Interface()) {
			d.changes = append(d.changes, Change{Path: path, Old: text(before), New: text(after)})
		}
	}
}

func (d *differ) table(path string, before, after reflect.Value) {
	old, current := byKey(before), byKey(after)
	for i := range before.Len() {
		key := keyOf(before.Index(i))
		if _, ok := current[key]; !ok {
			d.changes = append(d.changes, Change{Path: recordPath(path, key), Old: text(before.Index(i))})
		}
	}
	for i := range after.Len() {
		key := keyOf(after.Index(i))
		oldRecord, ok := old[key]
		if !ok {
			d.changes = append(d.changes, Change{Path: recordPath(path, key), New: text(after.Index(i))})
			continue
		}
		d.value(recordPath(path, key), oldRecord, after.Index(i))
	}
}

func byKey(table reflect.Value) map[string]reflect.Value {
	records := make(map[string]reflect.Value, table.Len())
	for i := range table.Len() {
		records[keyOf(table.Index(i))] = table.Index(i)
	}
	return records
}

func keyOf(record reflect.Value) string { return record.Interface().(keyed).key() }

func recordPath(table, key string) string { return table + "[" + key + "]" }

// text formats a value as JSON, as in the file. An absent override is empty.
func text(v reflect.Value) string {
	if v.Kind() == reflect.Pointer && v.IsNil() {
		return ""
	}
	raw, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

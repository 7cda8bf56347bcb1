package document

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Field is the path of the field; elements of lists are named by their
	// Name, or by method and path for calls: Callers[reading-room].Priority.
	Field string
	// Was and Is are empty where the field was added or removed as a whole.
	Was string
	Is  string
}

// String writes a change on one line, with the sign that patches use.
func (c Change) String() string {
	switch {
	case c.Was == "":
		return "+ " + c.Field + " " + c.Is
	case c.Is == "":
		return "- " + c.Field + " " + c.Was
	}
	return fmt.Sprintf("~ %s %s -> %s", c.Field, c.Was, c.Is)
}

// Diff lists what changes from one parsed document to another, by field.
func Diff(was, is *Document) []Change {
	d := &differ{}
	d.structs("", reflect.ValueOf(*was), reflect.ValueOf(*is))
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) structs(path string, was, is reflect.Value) {
	for i := range was.NumField() {
		f := was.Type().Field(i)
		if !f.IsExported() {
			continue
		}
		d.values(strings.TrimPrefix(path+"."+f.Name, "."), was.Field(i), is.Field(i))
	}
}

func (d *differ) values(path string, was, is reflect.Value) {
	switch {
	case was.Kind() == reflect.Struct:
		d.structs(path, was, is)
	case was.Kind() == reflect.Slice:
		d.lists(path, was, is)
	case !was.Equal(is):
		d.changes = append(d.changes, Change{Field: path, Was: shown(was), Is: shown(is)})
	}
}

// lists compares two lists whose elements have names of their own.
func (d *differ) lists(path string, was, is reflect.Value) {
	old, now := elements(was), elements(is)
	for _, k := range keys(old, now) {
		at := path + "[" + k + "]"
		o, had := old[k]
		n, has := now[k]
		switch {
		case had && has:
			d.values(at, o, n)
		case has:
			d.changes = append(d.changes, Change{Field: at, Is: "added"})
		default:
			d.changes = append(d.changes, Change{Field: at, Was: "removed"})
		}
	}
}

// elements maps the names of a list's elements to the elements.
func elements(list reflect.Value) map[string]reflect.Value {
	out := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		out[elementName(list.Index(i))] = list.Index(i)
	}
	return out
}

func elementName(v reflect.Value) string {
	if c, ok := v.Interface().(Call); ok {
		return c.Method + " " + c.Path
	}
	if v.Kind() == reflect.Struct {
		return v.FieldByName("Name").String()
	}
	return v.String()
}

// keys returns the names in either map, sorted.
func keys(a, b map[string]reflect.Value) []string {
	out := make([]string, 0, len(a))
	for k := range a {
		out = append(out, k)
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// shown writes a value as documents do, and an empty text in quotes.
func shown(v reflect.Value) string {
	if t, ok := v.Interface().(Duration); ok {
		b, _ := t.MarshalText()
		return string(b)
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}

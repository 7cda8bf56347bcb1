package document

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Field is the path of the field. A list element is given by its Name, or a
	// call by its method and path: Callers[reading-room].Priority.
	Field string
	// Was is the old value; empty if the list element was added.
	Was string
	// Is is the new value; empty if the list element was removed.
	Is string
}

// String returns the change on one line, with a sign in front: + for added, -
// for removed, ~ for changed.
func (c Change) String() string {
	switch {
	case c.Was == "":
		return "+ " + c.Field + " " + c.Is
	case c.Is == "":
		return "- " + c.Field + " " + c.Was
	}
	return fmt.Sprintf("~ %s %s -> %s", c.Field, c.Was, c.Is)
}

// Diff returns the differences between two parsed documents, by field.
func Diff(before, after *Document) []Change {
	d := &differ{}
	d.diffStructs("", reflect.ValueOf(*before), reflect.ValueOf(*after))
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) diffStructs(path string, before, after reflect.Value) {
	for i := range before.NumField() {
		f := before.Type().Field(i)
		if !f.IsExported() {
			continue
		}
		d.diffValues(strings.TrimPrefix(path+"."+f.Name, "."), before.Field(i), after.Field(i))
	}
}

func (d *differ) diffValues(path string, before, after reflect.Value) {
	switch {
	case before.Kind() == reflect.Struct:
		d.diffStructs(path, before, after)
	case before.Kind() == reflect.Slice:
		d.diffLists(path, before, after)
	case before.Kind() == reflect.Pointer && (before.IsNil() || after.IsNil()):
		d.diffOptional(path, before, after)
	case before.Kind() == reflect.Pointer:
		d.diffValues(path, before.Elem(), after.Elem())
	case !before.Equal(after):
		d.changes = append(d.changes, Change{Field: path, Was: formatValue(before), Is: formatValue(after)})
	}
}

// diffOptional compares two optional values of which at least one is not set.
func (d *differ) diffOptional(path string, before, after reflect.Value) {
	switch {
	case !before.IsNil():
		d.changes = append(d.changes, Change{Field: path, Was: formatValue(before.Elem())})
	case !after.IsNil():
		d.changes = append(d.changes, Change{Field: path, Is: formatValue(after.Elem())})
	}
}

// diffLists compares two lists by the names of their elements, see elementName.
func (d *differ) diffLists(path string, before, after reflect.Value) {
	oldElements, newElements := elements(before), elements(after)
	for _, k := range sortedNames(oldElements, newElements) {
		element := path + "[" + k + "]"
		oldValue, inOld := oldElements[k]
		newValue, inNew := newElements[k]
		switch {
		case inOld && inNew:
			d.diffValues(element, oldValue, newValue)
		case inNew:
			d.changes = append(d.changes, Change{Field: element, Is: "added"})
		default:
			d.changes = append(d.changes, Change{Field: element, Was: "removed"})
		}
	}
}

// elements returns the elements of a list by name.
func elements(list reflect.Value) map[string]reflect.Value {
	out := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		out[elementName(list.Index(i))] = list.Index(i)
	}
	return out
}

// elementName returns the name of a list element: method and path of a call, the
// Name of any other struct, or the text itself.
func elementName(v reflect.Value) string {
	if c, ok := v.Interface().(Call); ok {
		return c.Method + " " + c.Path
	}
	if v.Kind() == reflect.Struct {
		return v.FieldByName("Name").String()
	}
	return v.String()
}

// sortedNames returns the keys of both maps, sorted.
func sortedNames(a, b map[string]reflect.Value) []string {
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

// isKeyHash reports whether a text has the form of the hash of a key, of which only the
// start is shown.
func isKeyHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == keyHashBytes
}

// formatValue formats a value of a field. Texts are in quotes, so that an empty
// one is visible.
func formatValue(v reflect.Value) string {
	if t, ok := v.Interface().(Duration); ok {
		b, _ := t.MarshalText()
		return string(b)
	}
	if v.Kind() == reflect.String {
		if isKeyHash(v.String()) {
			return fmt.Sprintf("%.12q...", v.String())
		}
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}

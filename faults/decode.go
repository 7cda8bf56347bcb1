package faults

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// MaxDepth is the deepest nesting that is read where no type bounds it.
const MaxDepth = 16

// Decode fills in v, a pointer to a struct, from one JSON object. Names of
// fields are matched exactly; unknown and repeated fields, wrong types and
// text after the end are faults. Fields without faults are filled in.
func Decode(b []byte, v any) []Fault {
	r := &reader{dec: json.NewDecoder(bytes.NewReader(b)), fields: map[reflect.Type]map[string]int{}}
	r.dec.UseNumber()
	err := r.value("", reflect.ValueOf(v).Elem(), 1)
	if err == nil {
		err = r.end()
	}
	var many *manyError
	if err != nil && !errors.As(err, &many) {
		r.faults.Add("JSON", r.broken(err), "one JSON object")
	}
	return r.faults.All
}

// reader walks the tokens of a file along the value that they fill in.
type reader struct {
	dec    *json.Decoder
	faults List
	// fields caches the indices of the fields of the struct types met.
	fields map[reflect.Type]map[string]int
}

// manyError ends the reading after too many faults.
type manyError struct{}

// Error says why reading ended.
func (e *manyError) Error() string {
	return "too many faults"
}

// DepthError reports nesting that is too deep to be read.
type DepthError struct{}

// Error names the limit.
func (e *DepthError) Error() string {
	return fmt.Sprintf("more than %d levels of nesting", MaxDepth)
}

func (r *reader) add(path, value, expected string) error {
	r.faults.Add(at(path), value, expected)
	if len(r.faults.All) >= MaxFaults {
		return &manyError{}
	}
	return nil
}

// at names the top of the file, whose path is empty.
func at(path string) string {
	if path == "" {
		return "JSON"
	}
	return path
}

// broken describes an error of the tokenizer with its place.
func (r *reader) broken(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "an early end"
	}
	return fmt.Sprintf("%v at byte %d", err, r.dec.InputOffset())
}

// end checks that nothing follows the object.
func (r *reader) end() error {
	if _, err := r.dec.Token(); !errors.Is(err, io.EOF) {
		return r.add("", "more text after the end", "one JSON object")
	}
	return nil
}

// value reads one value into v.
func (r *reader) value(path string, v reflect.Value, depth int) error {
	tok, err := r.dec.Token()
	if err != nil {
		return err
	}
	d, opens := tok.(json.Delim)
	switch {
	case opens && d == '{' && v.Kind() == reflect.Struct && !isText(v):
		return r.object(path, v, depth)
	case opens && d == '[' && v.Kind() == reflect.Slice:
		return r.list(path, v, depth)
	}
	if !opens && set(v, tok) {
		return nil
	}
	if err := r.add(path, kindOf(tok), expectation(v.Type())); err != nil || !opens {
		return err
	}
	return r.skip(depth)
}

// object reads the fields of an object up to its closing brace.
func (r *reader) object(path string, v reflect.Value, depth int) error {
	known, seen := r.fieldsOf(v.Type()), map[string]bool{}
	for r.dec.More() {
		tok, err := r.dec.Token()
		if err != nil {
			return err
		}
		name, _ := tok.(string)
		field := strings.TrimPrefix(path+"."+name, ".")
		i, ok := known[name]
		switch {
		case !ok:
			err = r.refuse(field, "an unknown field", "one of "+names(v.Type()), depth)
		case seen[name]:
			err = r.refuse(field, "the field twice", "the field once", depth)
		default:
			err = r.value(field, v.Field(i), depth+1)
		}
		if err != nil {
			return err
		}
		seen[name] = true
	}
	_, err := r.dec.Token()
	return err
}

// refuse notes a fault and reads past the field's value.
func (r *reader) refuse(field, value, expected string, depth int) error {
	if err := r.add(field, value, expected); err != nil {
		return err
	}
	tok, err := r.dec.Token()
	if err != nil {
		return err
	}
	if _, opens := tok.(json.Delim); opens {
		return r.skip(depth + 1)
	}
	return nil
}

// list reads the elements of a list up to its closing bracket.
func (r *reader) list(path string, v reflect.Value, depth int) error {
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	for i := 0; r.dec.More(); i++ {
		e := reflect.New(v.Type().Elem()).Elem()
		if err := r.value(path+"["+strconv.Itoa(i)+"]", e, depth+1); err != nil {
			return err
		}
		v.Set(reflect.Append(v, e))
	}
	_, err := r.dec.Token()
	return err
}

// skip reads up to the end of an object or list that was opened.
func (r *reader) skip(depth int) error {
	for open := 1; open > 0; {
		tok, err := r.dec.Token()
		if err != nil {
			return err
		}
		switch tok {
		case json.Delim('{'), json.Delim('['):
			open++
		case json.Delim('}'), json.Delim(']'):
			open--
		}
		if open+depth > MaxDepth+1 {
			return &DepthError{}
		}
	}
	return nil
}

func (r *reader) fieldsOf(t reflect.Type) map[string]int {
	if known, ok := r.fields[t]; ok {
		return known
	}
	known := map[string]int{}
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			known[t.Field(i).Name] = i
		}
	}
	r.fields[t] = known
	return known
}

// names lists the fields of a struct type for people.
func names(t reflect.Type) string {
	var out []string
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			out = append(out, t.Field(i).Name)
		}
	}
	return strings.Join(out, ", ")
}

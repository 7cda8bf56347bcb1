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

// MaxDepth is the deepest nesting that Decode accepts in a value that it
// skips. In all other values, the Go type bounds the nesting.
const MaxDepth = 16

// Decode fills in v, a pointer to a struct, from one JSON object and returns
// the faults that it found. Field names must match exactly, including case.
// Unknown and repeated fields, wrong types and text after the end of the
// object are faults. Fields without faults are filled in.
func Decode(b []byte, v any) []Fault {
	d := &decoder{dec: json.NewDecoder(bytes.NewReader(b)), fields: map[reflect.Type]map[string]int{}}
	d.dec.UseNumber()
	err := d.decodeValue("", reflect.ValueOf(v).Elem(), 1)
	if err == nil {
		err = d.checkEnd()
	}
	var tooMany *tooManyFaultsError
	if err != nil && !errors.As(err, &tooMany) {
		d.faults.Add("JSON", d.describeSyntaxError(err), "one JSON object")
	}
	return d.faults.All
}

// decoder reads the tokens of a file into a Go value.
type decoder struct {
	dec    *json.Decoder
	faults List
	// fields caches the field indices by name for each struct type.
	fields map[reflect.Type]map[string]int
}

// tooManyFaultsError makes the decoder stop after MaxFaults faults.
type tooManyFaultsError struct{}

// Error implements error.
func (e *tooManyFaultsError) Error() string {
	return "too many faults"
}

// DepthError reports a skipped value whose nesting, counted from the top-level
// object, exceeds MaxDepth.
type DepthError struct{}

// Error states the limit.
func (e *DepthError) Error() string {
	return fmt.Sprintf("more than %d levels of nesting", MaxDepth)
}

// addFault records a fault. It returns a *tooManyFaultsError once MaxFaults
// faults are recorded.
func (d *decoder) addFault(path, value, expected string) error {
	d.faults.Add(pathOrRoot(path), value, expected)
	if len(d.faults.All) >= MaxFaults {
		return &tooManyFaultsError{}
	}
	return nil
}

// pathOrRoot returns the path of a field, or "JSON" for the top-level object,
// whose path is empty.
func pathOrRoot(path string) string {
	if path == "" {
		return "JSON"
	}
	return path
}

// describeSyntaxError describes an error of the tokenizer and its byte offset.
func (d *decoder) describeSyntaxError(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "an early end"
	}
	return fmt.Sprintf("%v at byte %d", err, d.dec.InputOffset())
}

// checkEnd checks that nothing follows the top-level object.
func (d *decoder) checkEnd() error {
	if _, err := d.dec.Token(); !errors.Is(err, io.EOF) {
		return d.addFault("", "more text after the end", "one JSON object")
	}
	return nil
}

// decodeValue reads one value into v. A value that does not fit the type of v is
// recorded as a fault and skipped.
func (d *decoder) decodeValue(path string, v reflect.Value, depth int) error {
	tok, err := d.dec.Token()
	if err != nil {
		return err
	}
	if v.Kind() == reflect.Pointer {
		// A pointer is a field that may be left out.
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	delim, isDelim := tok.(json.Delim)
	switch {
	case isDelim && delim == '{' && v.Kind() == reflect.Struct && !unmarshalsText(v):
		return d.decodeObject(path, v, depth)
	case isDelim && delim == '[' && v.Kind() == reflect.Slice:
		return d.decodeList(path, v, depth)
	}
	if !isDelim && setValue(v, tok) {
		return nil
	}
	if err := d.addFault(path, describeToken(tok), expectedFor(v.Type())); err != nil || !isDelim {
		return err
	}
	return d.skipNested(depth)
}

// decodeObject reads the fields of an object into v, including the closing
// brace.
func (d *decoder) decodeObject(path string, v reflect.Value, depth int) error {
	indices, seen := d.fieldIndices(v.Type()), map[string]bool{}
	for d.dec.More() {
		tok, err := d.dec.Token()
		if err != nil {
			return err
		}
		name, _ := tok.(string)
		field := strings.TrimPrefix(path+"."+name, ".")
		i, ok := indices[name]
		switch {
		case !ok:
			err = d.rejectField(field, "an unknown field", "one of "+fieldNames(v.Type()), depth)
		case seen[name]:
			err = d.rejectField(field, "the field twice", "the field once", depth)
		default:
			err = d.decodeValue(field, v.Field(i), depth+1)
		}
		if err != nil {
			return err
		}
		seen[name] = true
	}
	_, err := d.dec.Token()
	return err
}

// rejectField records a fault and skips the value of the field.
func (d *decoder) rejectField(field, value, expected string, depth int) error {
	if err := d.addFault(field, value, expected); err != nil {
		return err
	}
	tok, err := d.dec.Token()
	if err != nil {
		return err
	}
	if _, isDelim := tok.(json.Delim); isDelim {
		return d.skipNested(depth + 1)
	}
	return nil
}

// decodeList reads the elements of a list into v, including the closing
// bracket.
func (d *decoder) decodeList(path string, v reflect.Value, depth int) error {
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	for i := 0; d.dec.More(); i++ {
		e := reflect.New(v.Type().Elem()).Elem()
		if err := d.decodeValue(path+"["+strconv.Itoa(i)+"]", e, depth+1); err != nil {
			return err
		}
		v.Set(reflect.Append(v, e))
	}
	_, err := d.dec.Token()
	return err
}

// skipNested skips the rest of an object or list whose opening delimiter was
// read; depth is the nesting of that object or list. It returns a *DepthError
// when the nesting inside exceeds MaxDepth.
func (d *decoder) skipNested(depth int) error {
	for openCount := 1; openCount > 0; {
		tok, err := d.dec.Token()
		if err != nil {
			return err
		}
		switch tok {
		case json.Delim('{'), json.Delim('['):
			openCount++
		case json.Delim('}'), json.Delim(']'):
			openCount--
		}
		if openCount+depth > MaxDepth+1 {
			return &DepthError{}
		}
	}
	return nil
}

// fieldIndices maps the names of the exported fields of a struct type to their
// indices.
func (d *decoder) fieldIndices(t reflect.Type) map[string]int {
	if indices, ok := d.fields[t]; ok {
		return indices
	}
	indices := map[string]int{}
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			indices[t.Field(i).Name] = i
		}
	}
	d.fields[t] = indices
	return indices
}

// fieldNames lists the exported fields of a struct type for a message.
func fieldNames(t reflect.Type) string {
	var out []string
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			out = append(out, t.Field(i).Name)
		}
	}
	return strings.Join(out, ", ")
}

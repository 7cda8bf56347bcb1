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
	r := &decoder{dec: json.NewDecoder(bytes.NewReader(b)), fields: map[reflect.Type]map[string]int{}}
	r.dec.UseNumber()
	err := r.decodeValue("", reflect.ValueOf(v).Elem(), 1)
	if err == nil {
		err = r.checkEnd()
	}
	var many *tooManyFaultsError
	if err != nil && !errors.As(err, &many) {
		r.faults.Add("JSON", r.describeSyntaxError(err), "one JSON object")
	}
	return r.faults.All
}

// decoder walks the tokens of a file along the value that they fill in.
type decoder struct {
	dec    *json.Decoder
	faults List
	// fields caches the indices of the fields of the struct types met.
	fields map[reflect.Type]map[string]int
}

// tooManyFaultsError ends the reading after too many faults.
type tooManyFaultsError struct{}

// Error says why reading ended.
func (e *tooManyFaultsError) Error() string {
	return "too many faults"
}

// DepthError reports nesting that is too deep to be read.
type DepthError struct{}

// Error names the limit.
func (e *DepthError) Error() string {
	return fmt.Sprintf("more than %d levels of nesting", MaxDepth)
}

func (r *decoder) addFault(path, value, expected string) error {
	r.faults.Add(pathOrRoot(path), value, expected)
	if len(r.faults.All) >= MaxFaults {
		return &tooManyFaultsError{}
	}
	return nil
}

// pathOrRoot names the top of the file, whose path is empty.
func pathOrRoot(path string) string {
	if path == "" {
		return "JSON"
	}
	return path
}

// describeSyntaxError describes an error of the tokenizer with its place.
func (r *decoder) describeSyntaxError(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "an early end"
	}
	return fmt.Sprintf("%v at byte %d", err, r.dec.InputOffset())
}

// checkEnd checks that nothing follows the object.
func (r *decoder) checkEnd() error {
	if _, err := r.dec.Token(); !errors.Is(err, io.EOF) {
		return r.addFault("", "more text after the end", "one JSON object")
	}
	return nil
}

// decodeValue reads one decodeValue into v.
func (r *decoder) decodeValue(path string, v reflect.Value, depth int) error {
	tok, err := r.dec.Token()
	if err != nil {
		return err
	}
	d, opens := tok.(json.Delim)
	switch {
	case opens && d == '{' && v.Kind() == reflect.Struct && !unmarshalsText(v):
		return r.decodeObject(path, v, depth)
	case opens && d == '[' && v.Kind() == reflect.Slice:
		return r.decodeList(path, v, depth)
	}
	if !opens && setValue(v, tok) {
		return nil
	}
	if err := r.addFault(path, describeToken(tok), expectedFor(v.Type())); err != nil || !opens {
		return err
	}
	return r.skipNested(depth)
}

// decodeObject reads the fields of an decodeObject up to its closing brace.
func (r *decoder) decodeObject(path string, v reflect.Value, depth int) error {
	known, seen := r.fieldIndices(v.Type()), map[string]bool{}
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
			err = r.rejectField(field, "an unknown field", "one of "+fieldNames(v.Type()), depth)
		case seen[name]:
			err = r.rejectField(field, "the field twice", "the field once", depth)
		default:
			err = r.decodeValue(field, v.Field(i), depth+1)
		}
		if err != nil {
			return err
		}
		seen[name] = true
	}
	_, err := r.dec.Token()
	return err
}

// rejectField notes a fault and reads past the field's value.
func (r *decoder) rejectField(field, value, expected string, depth int) error {
	if err := r.addFault(field, value, expected); err != nil {
		return err
	}
	tok, err := r.dec.Token()
	if err != nil {
		return err
	}
	if _, opens := tok.(json.Delim); opens {
		return r.skipNested(depth + 1)
	}
	return nil
}

// decodeList reads the elements of a decodeList up to its closing bracket.
func (r *decoder) decodeList(path string, v reflect.Value, depth int) error {
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	for i := 0; r.dec.More(); i++ {
		e := reflect.New(v.Type().Elem()).Elem()
		if err := r.decodeValue(path+"["+strconv.Itoa(i)+"]", e, depth+1); err != nil {
			return err
		}
		v.Set(reflect.Append(v, e))
	}
	_, err := r.dec.Token()
	return err
}

// skipNested reads up to the end of an object or list that was opened.
func (r *decoder) skipNested(depth int) error {
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

func (r *decoder) fieldIndices(t reflect.Type) map[string]int {
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

// fieldNames lists the fields of a struct type for people.
func fieldNames(t reflect.Type) string {
	var out []string
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			out = append(out, t.Field(i).Name)
		}
	}
	return strings.Join(out, ", ")
}

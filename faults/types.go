package faults

import (
	"encoding"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
)

// Expecter is implemented by types that parse themselves from a JSON string
// and describe the values that they accept.
type Expecter interface {
	encoding.TextUnmarshaler
	// Expected describes the accepted values as the end of a sentence that
	// starts with "expected".
	Expected() string
}

// unmarshalsText reports whether a value implements encoding.TextUnmarshaler.
func unmarshalsText(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

// setValue sets a value from a token. It returns false when the token does not
// fit the type of the value.
func setValue(v reflect.Value, tok json.Token) bool {
	switch t := tok.(type) {
	case string:
		if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
			return u.UnmarshalText([]byte(t)) == nil
		}
		if v.Kind() != reflect.String {
			return false
		}
		v.SetString(t)
		return true
	case bool:
		if v.Kind() != reflect.Bool {
			return false
		}
		v.SetBool(t)
		return true
	case json.Number:
		return !unmarshalsText(v) && setNumber(v, string(t))
	}
	return false
}

// setNumber sets a numeric value. It returns false when the number does not fit
// the type of the value.
func setNumber(v reflect.Value, s string) bool {
	switch v.Kind() {
	case reflect.Float64:
		f, err := strconv.ParseFloat(s, v.Type().Bits())
		v.SetFloat(f)
		return err == nil
	case reflect.Uint32, reflect.Uint64:
		u, err := strconv.ParseUint(s, 10, v.Type().Bits())
		v.SetUint(u)
		return err == nil
	case reflect.Int, reflect.Int32, reflect.Int64:
		i, err := strconv.ParseInt(s, 10, v.Type().Bits())
		v.SetInt(i)
		return err == nil
	}
	return false
}

// expectedFor describes the values that a type accepts.
func expectedFor(t reflect.Type) string {
	if x, ok := reflect.New(t).Interface().(Expecter); ok {
		return x.Expected()
	}
	if t == reflect.TypeFor[netip.AddrPort]() {
		return "an IP number and port, such as 127.0.0.1:7100"
	}
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint32, reflect.Uint64:
		return "a whole number from 0"
	}
	return "a whole number"
}

// describeToken describes the token that was found in place of a valid value.
func describeToken(tok json.Token) string {
	switch v := tok.(type) {
	case nil:
		return "null"
	case string:
		return quoteShort(v)
	case json.Delim:
		if v == '{' {
			return "an object"
		}
		return "a list"
	}
	return fmt.Sprintf("%v", tok)
}

package goldentest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"
)

var (
	rawMessageType = reflect.TypeFor[json.RawMessage]()
	timeType       = reflect.TypeFor[time.Time]()
)

// Filled returns a value whose exported fields are all set, numbers and strings to values that differ from each other: also those of
// nested values, one element of each slice and map, and what pointers lead to. A pointer to a type that it stands in stays nil, as does a
// field that JSON leaves out.
func Filled[T any](t testing.TB) T {
	t.Helper()
	return filled[T](t, "text-%d")
}

func filled[T any](t testing.TB, textFormat string) T {
	t.Helper()
	var value T
	f := filler{t: t, textFormat: textFormat}
	f.fill(reflect.ValueOf(&value).Elem(), nil)
	return value
}

// filler sets values to numbers in the order of their fields.
type filler struct {
	t          testing.TB
	textFormat string // of a string, for its number
	last       int    // the number that was used last
}

func (f *filler) next() int {
	f.last++
	return f.last
}

// fill sets a value. within are the struct types that it stands in.
func (f *filler) fill(v reflect.Value, within []reflect.Type) {
	f.t.Helper()
	switch {
	case v.Type() == rawMessageType:
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.next()))
	case v.Type() == timeType:
		v.Set(reflect.ValueOf(time.Unix(int64(f.next()), 0).UTC()))
	case v.Kind() == reflect.Struct:
		f.fillStruct(v, append(slices.Clip(within), v.Type()))
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8:
		v.SetBytes(fmt.Appendf(nil, "bytes-%d", f.next()))
	case v.Kind() == reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0), within)
	case v.Kind() == reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), within)
		}
	case v.Kind() == reflect.Map:
		f.fillMap(v, within)
	case v.Kind() == reflect.Pointer:
		if !slices.Contains(within, v.Type().Elem()) {
			v.Set(reflect.New(v.Type().Elem()))
			f.fill(v.Elem(), within)
		}
	default:
		f.fillBasic(v)
	}
}

func (f *filler) fillStruct(v reflect.Value, within []reflect.Type) {
	f.t.Helper()
	for i := range v.NumField() {
		if encodedField(v.Type().Field(i)) {
			f.fill(v.Field(i), within)
		}
	}
}

func (f *filler) fillMap(v reflect.Value, within []reflect.Type) {
	f.t.Helper()
	key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	f.fill(key, within)
	f.fill(element, within)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, element)
}

func (f *filler) fillBasic(v reflect.Value) {
	f.t.Helper()
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprintf(f.textFormat, f.next()))
	case v.CanFloat():
		v.SetFloat(float64(f.next()) + 0.5)
	case v.CanInt():
		v.SetInt(int64(f.next()))
	case v.CanUint():
		v.SetUint(uint64(f.next()))
	default:
		f.t.Fatalf("a %s can't be filled", v.Type())
	}
}

// encodedField reports whether JSON holds a field.
func encodedField(field reflect.StructField) bool {
	return field.IsExported() && field.Tag.Get("json") != "-"
}

// unsetFields returns the paths of the encoded fields below a value that have their zero value. within are the struct types that it
// stands in.
func unsetFields(v reflect.Value, path string, within []reflect.Type) (unset []string) {
	cyclic := v.Kind() == reflect.Pointer && slices.Contains(within, v.Type().Elem())
	switch {
	case v.IsZero() && cyclic:
		return nil
	case v.IsZero() && (v.Type() == timeType || v.Kind() != reflect.Struct):
		return []string{path}
	case v.Type() == timeType:
		return nil
	}
	switch v.Kind() {
	case reflect.Pointer:
		return unsetFields(v.Elem(), path, within)
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			unset = append(unset, unsetFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i), within)...)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			unset = append(unset, unsetFields(v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key), within)...)
		}
	case reflect.Struct:
		return unsetStructFields(v, path, append(slices.Clip(within), v.Type()))
	}
	return unset
}

func unsetStructFields(v reflect.Value, path string, within []reflect.Type) (unset []string) {
	for i := range v.NumField() {
		if field := v.Type().Field(i); encodedField(field) {
			unset = append(unset, unsetFields(v.Field(i), path+"."+field.Name, within)...)
		}
	}
	return unset
}

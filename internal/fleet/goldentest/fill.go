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

// Filled returns a value whose exported fields are all set, numbers and strings to values that differ from each other: those of
// nested values, one element of each slice and map, and what pointers lead to, too. A pointer to a type that it stands in stays nil.
func Filled[T any](t testing.TB) T {
	t.Helper()
	var value T
	f := filler{t: t}
	f.fill(reflect.ValueOf(&value).Elem(), nil)
	return value
}

// filler sets values in the order of their fields.
type filler struct {
	t    testing.TB
	last int // the number that was used last
}

func (f *filler) next() int {
	f.last++
	return f.last
}

// fill sets a value. within are the struct types that it stands in.
func (f *filler) fill(v reflect.Value, within []reflect.Type) {
	f.t.Helper()
	switch v.Type() {
	case rawMessageType:
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.next()))
		return
	case timeType:
		v.Set(reflect.ValueOf(time.Date(2026, time.December, 2, 17, 0, f.next(), 0, time.UTC)))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.next()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes(fmt.Appendf(nil, "bytes-%d", f.next()))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0), within)
	case reflect.Map:
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key, within)
		f.fill(element, within)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, element)
	case reflect.Pointer:
		if !slices.Contains(within, v.Type().Elem()) {
			v.Set(reflect.New(v.Type().Elem()))
			f.fill(v.Elem(), within)
		}
	case reflect.Struct:
		within = append(slices.Clip(within), v.Type())
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i), within)
			}
		}
	default:
		f.t.Fatalf("a %s can't be filled", v.Type())
	}
}

// unsetFields names the exported fields below a value that have their zero value. within are the struct types that it stands in.
func unsetFields(v reflect.Value, path string, within []reflect.Type) (unset []string) {
	if v.Type() == timeType || v.Kind() != reflect.Struct && v.IsZero() {
		if v.IsZero() && !(v.Kind() == reflect.Pointer && slices.Contains(within, v.Type().Elem())) {
			unset = append(unset, path)
		}
		return unset
	}
	switch v.Kind() {
	case reflect.Pointer:
		return unsetFields(v.Elem(), path, within)
	case reflect.Slice:
		for i := range v.Len() {
			unset = append(unset, unsetFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i), within)...)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			unset = append(unset, unsetFields(v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key), within)...)
		}
	case reflect.Struct:
		within = append(slices.Clip(within), v.Type())
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				unset = append(unset, unsetFields(v.Field(i), path+"."+field.Name, within)...)
			}
		}
	}
	return unset
}

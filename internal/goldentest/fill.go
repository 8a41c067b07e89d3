package goldentest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"
)

// CheckJSON holds the JSON form of *v to a file: v is filled with a value of its own in every exported field, and must come back from
// its text as it was. So no key can be renamed, and none left out, in either direction.
func CheckJSON[T any](t *testing.T, name string) {
	t.Helper()
	text, filled := FilledJSON[T](t)
	Check(t, name, text)
	var back T
	if err := json.Unmarshal(text, &back); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(filled, back) {
		t.Errorf("%s: it does not come back from its own text", name)
	}
}

// FilledJSON is the indented JSON of a T with a value of its own in every exported field, for types that are only written.
func FilledJSON[T any](t *testing.T) ([]byte, T) {
	t.Helper()
	var v T
	n := 0
	fill(reflect.ValueOf(&v).Elem(), &n)
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n'), v
}

// fill gives each leaf the next number, in its own type.
func fill(v reflect.Value, n *int) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		*n++
		v.Set(reflect.ValueOf(time.Unix(int64(*n), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		fillFields(v, n)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		*n++
		v.SetString(fmt.Sprint("text ", *n))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		*n++
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		*n++
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		*n++
		v.SetFloat(float64(*n) + 0.5)
	}
}

// fillFields fills the fields of a struct that its JSON form holds.
func fillFields(v reflect.Value, n *int) {
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("json") != "-" {
			fill(v.Field(i), n)
		}
	}
}

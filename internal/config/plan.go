package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
)

// ReadPlan reads a data file of ours, a JSON object, into a struct whose tags are its keys and whose numbers must all be above 0. An
// error names file, line and key; at gives the same places to an error of the caller's, whose text begins with its key.
func ReadPlan(path string, into any) (at func(error) error, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	at = func(err error) error { return located(path, text, err) }
	if err := strict(text, into); err != nil {
		if json.Valid(text) { // the decoder does not tell where an unknown key lies
			for _, key := range slices.Sorted(maps.Keys(shapeOf(text))) {
				if tags := tagsOf("", reflect.TypeOf(into).Elem()); !strings.HasSuffix(key, "[]") && !slices.Contains(tags, key) {
					return at, at(fmt.Errorf("%s: there is no such key", key))
				}
			}
		}
		return at, at(err)
	}
	if err := above("", reflect.ValueOf(into).Elem()); err != nil {
		return at, at(err)
	}
	return at, nil
}

// tagsOf are the keys of a type, by their paths as shape has them.
func tagsOf(path string, t reflect.Type) (out []string) {
	for f := range t.Fields() {
		key := strings.TrimPrefix(path+"."+f.Tag.Get("json"), ".")
		out = append(out, key)
		if f.Type.Kind() == reflect.Struct {
			out = append(out, tagsOf(key, f.Type)...)
		}
	}
	return out
}

// above finds the first number that is not above zero, or is missing, and names its key by its tag.
func above(key string, v reflect.Value) (err error) {
	switch v.Kind() {
	case reflect.Int, reflect.Float64:
		if v.IsZero() || v.CanInt() && v.Int() < 0 || v.CanFloat() && v.Float() < 0 {
			return fmt.Errorf("%s: missing, or not above 0: %v", key, v)
		}
	case reflect.Slice:
		for i := 0; i < v.Len() && err == nil; i++ {
			err = above(fmt.Sprintf("%s[%d]", key, i), v.Index(i))
		}
	case reflect.Struct:
		for i := 0; i < v.NumField() && err == nil; i++ {
			err = above(strings.TrimPrefix(key+"."+v.Type().Field(i).Tag.Get("json"), "."), v.Field(i))
		}
	}
	return err
}

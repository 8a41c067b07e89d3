package capacity

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"

	"threadsail/internal/jsonfile"
)

// readPlan reads the operators' plan, whose keys are the tags of Plan and whose numbers must all be above 0. An error names file, line
// and key; locate gives the same places to an error of the caller's, whose text begins with its key.
func readPlan(path string) (p Plan, locate func(error) error, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return p, nil, err
	}
	locate = func(err error) error { return jsonfile.Locate(path, text, err) }
	if err := jsonfile.Decode(text, &p); err != nil {
		if key := unknownKey(text); key != "" { // the decoder does not tell where an unknown key lies
			err = fmt.Errorf("%s: there is no such key", key)
		}
		return p, locate, locate(err)
	}
	if err := positive("", reflect.ValueOf(p)); err != nil {
		return p, locate, locate(err)
	}
	return p, locate, nil
}

// unknownKey returns the first key of a plan's text, by its path, that Plan does not have; empty: it has all of them, or the text is no
// JSON.
func unknownKey(text []byte) string {
	if !json.Valid(text) {
		return ""
	}
	known := keysOf("", reflect.TypeFor[Plan]())
	for _, key := range slices.Sorted(maps.Keys(jsonfile.ShapeOf(text))) {
		if !strings.HasSuffix(key, "[]") && !slices.Contains(known, key) {
			return key
		}
	}
	return ""
}

// keysOf returns the keys of a type, by their paths as jsonfile.Shape has them.
func keysOf(path string, t reflect.Type) (keys []string) {
	for f := range t.Fields() {
		key := strings.TrimPrefix(path+"."+f.Tag.Get("json"), ".")
		keys = append(keys, key)
		if f.Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(key, f.Type)...)
		}
	}
	return keys
}

// positive returns an error that names, by its tag, the key of the first number that is missing or not above 0.
func positive(key string, v reflect.Value) error {
	switch v.Kind() {
	case reflect.Int, reflect.Float64:
		if v.IsZero() || v.CanInt() && v.Int() < 0 || v.CanFloat() && v.Float() < 0 {
			return fmt.Errorf("%s: missing, or not above 0: %v", key, v)
		}
	case reflect.Slice:
		for i := range v.Len() {
			if err := positive(fmt.Sprintf("%s[%d]", key, i), v.Index(i)); err != nil {
				return err
			}
		}
	case reflect.Struct:
		for i := range v.NumField() {
			name := strings.TrimPrefix(key+"."+v.Type().Field(i).Tag.Get("json"), ".")
			if err := positive(name, v.Field(i)); err != nil {
				return err
			}
		}
	}
	return nil
}

package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"threadsail/internal/capacity"
)

// LoadCapacity reads DIR/plan.json and the records in DIR/runs, and fits the slopes of the runs that the plan names. An error names
// the file, and the line and the key where there is one.
func LoadCapacity(dir string) (p capacity.Plan, found capacity.Recorded, err error) {
	path := filepath.Join(dir, "plan.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return p, found, err
	}
	if err := strict(text, &p); err != nil {
		if json.Valid(text) { // the decoder does not tell where an unknown key lies
			for _, key := range slices.Sorted(maps.Keys(shapeOf(text))) {
				if tags := tagsOf("", reflect.TypeOf(p)); !strings.HasSuffix(key, "[]") && !slices.Contains(tags, key) {
					return p, found, located(path, text, fmt.Errorf("%s: there is no such key", key))
				}
			}
		}
		return p, found, located(path, text, err)
	}
	if err := above("", reflect.ValueOf(p)); err != nil {
		return p, found, located(path, text, err)
	}
	if len(p.Regions) == 0 {
		return p, found, located(path, text, fmt.Errorf("regions: missing or empty"))
	}
	runs, err := capacity.Load(filepath.Join(dir, "runs"))
	if err != nil {
		return p, found, err
	}
	if found, err = capacity.Fit(runs, p.Runs, p.LeftOut, p.Alike); err != nil {
		return p, found, located(path, text, err)
	}
	known := map[string]bool{}
	for k := range found.Slopes {
		known[k.String()] = true
	}
	for i, key := range p.Measured {
		if !known[key] {
			return p, found, located(path, text, fmt.Errorf("measured[%d]: no record that runs names has the slope %q", i, key))
		}
	}
	return p, found, nil
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

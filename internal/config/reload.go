package config

import (
	"fmt"
	"slices"
	"strings"

	"threadsail/internal/jsonfile"
)

// optionalKeys stand in settings only where they say something: without one its default is meant.
var optionalKeys = map[string]bool{"settings.contract.onlyDrainingBinds": true, "settings.lanes[].aimStretch": true}

// missingKey is an error that names the first key of the file in force which the next one lacks. What all elements of an array have in
// the one, all must have in the other. The list of known servers may be of any length.
func missingKey(inForce, next jsonfile.Shape) error {
	var missing []string
	for path, count := range inForce {
		if strings.HasSuffix(path, "[]") || strings.HasPrefix(path, "known.") || optionalKeys[path] {
			continue
		}
		elements, nextElements := 1, 1
		if i := strings.LastIndex(path, "[]"); i >= 0 {
			array := path[:i+2]
			elements, nextElements = inForce[array], next[array]
		}
		if count >= elements && next[path] < nextElements {
			missing = append(missing, path)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return fmt.Errorf("%s: missing", slices.Min(missing))
}

package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// shape counts the keys of a JSON text by their paths. The elements of an array share one path, which ends in "[]". A key
// whose value is null is none.
type shape map[string]int

// shapeOf walks over a text that is known to be JSON.
func shapeOf(text []byte) shape {
	s := shape{}
	s.walk(json.NewDecoder(bytes.NewReader(text)), "")
	return s
}

// walk takes one value off and tells whether it is more than null.
func (s shape) walk(dec *json.Decoder, path string) bool {
	t, _ := dec.Token()
	switch t {
	case json.Delim('{'):
		for dec.More() {
			k, _ := dec.Token()
			name, _ := k.(string)
			if key := strings.TrimPrefix(path+"."+name, "."); s.walk(dec, key) {
				s[key]++
			}
		}
		_, _ = dec.Token()
	case json.Delim('['):
		for dec.More() {
			s[path+"[]"]++
			s.walk(dec, path+"[]")
		}
		_, _ = dec.Token()
	}
	return t != nil
}

// given are the keys that stand in settings only where they say something: without one its default is meant.
var given = map[string]bool{"settings.contract.onlyDrainingBinds": true, "settings.lanes[].aimStretch": true}

// within tells which key of s another text lacks. What all elements of an array have here, all must have there. The list
// of known servers may be of any length.
func (s shape) within(other shape) error {
	var missing []string
	for path, n := range s {
		if strings.HasSuffix(path, "[]") || strings.HasPrefix(path, "known.") || given[path] {
			continue
		}
		mine, others := 1, 1
		if i := strings.LastIndex(path, "[]"); i >= 0 {
			mine, others = s[path[:i+2]], other[path[:i+2]]
		}
		if n >= mine && other[path] < others {
			missing = append(missing, path)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	sort.Strings(missing)
	return fmt.Errorf("%s: missing", missing[0])
}

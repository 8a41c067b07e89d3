package jsonfile

import (
	"bytes"
	"encoding/json"
	"strings"
)

// Shape counts the keys of a JSON text by their paths, such as "settings.lanes[].name". The elements of an array share one path, which
// ends in "[]". A key whose value is null is not counted.
type Shape map[string]int

// ShapeOf returns the shape of a text that is known to be JSON.
func ShapeOf(text []byte) Shape {
	s := Shape{}
	s.add(json.NewDecoder(bytes.NewReader(text)), "")
	return s
}

// add counts the keys of the decoder's next value, and tells whether that value is not null.
func (s Shape) add(dec *json.Decoder, path string) bool {
	token, _ := dec.Token()
	switch token {
	case json.Delim('{'):
		for dec.More() {
			name, _ := dec.Token()
			key, _ := name.(string)
			key = strings.TrimPrefix(path+"."+key, ".")
			if s.add(dec, key) {
				s[key]++
			}
		}
		_, _ = dec.Token()
	case json.Delim('['):
		for dec.More() {
			s[path+"[]"]++
			s.add(dec, path+"[]")
		}
		_, _ = dec.Token()
	}
	return token != nil
}

package goldentest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// span is where a key and its value stand in a JSON text; an element of an array has no key.
type span struct {
	path            string
	key, value, end int // the offsets of their first bytes, and behind the value
}

// Mistakes lists, for every key of a JSON text, what load says once its value has the wrong type, and once the key is misspelt. What
// load takes all the same is listed as taken.
func Mistakes(t *testing.T, text []byte, load func(text []byte) error) []byte {
	t.Helper()
	if err := load(text); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	for _, s := range spans(text, 0, "") {
		value := string(text[s.value:s.end])
		fmt.Fprintf(&out, "%s = %s: %v\n", s.path, misfit(value), said(load, text, s.value, s.end, misfit(value)))
		if s.key < s.value {
			fmt.Fprintf(&out, "%s misspelt: %v\n", s.path, said(load, text, s.key+1, s.key+1, "zz"))
		}
	}
	return out.Bytes()
}

// said is what load says of a text with a part of it replaced.
func said(load func([]byte) error, text []byte, from, to int, by string) any {
	changed := append(append(append([]byte(nil), text[:from]...), by...), text[to:]...)
	if err := load(changed); err != nil {
		return err
	}
	return "taken"
}

// misfit is a value of another type.
func misfit(value string) string {
	if strings.HasPrefix(value, `"`) {
		return "7"
	}
	return `"misfit"`
}

// spans finds all keys and elements of a text that begins at an offset, outer ones first.
func spans(text []byte, offset int, path string) (out []span) {
	dec := json.NewDecoder(bytes.NewReader(text))
	open, _ := dec.Token()
	if open != json.Delim('{') && open != json.Delim('[') {
		return nil
	}
	for i := 0; dec.More(); i++ {
		s := span{path: fmt.Sprintf("%s[%d]", path, i)}
		keyEnd := -1
		if open == json.Delim('{') {
			key, _ := dec.Token()
			keyEnd = int(dec.InputOffset())
			name := fmt.Sprint(key)
			s.path = strings.TrimPrefix(path+"."+name, ".")
			s.key = offset + keyEnd - len(name) - 2
		}
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return out
		}
		s.end = offset + int(dec.InputOffset())
		s.value = s.end - len(raw)
		if keyEnd < 0 {
			s.key = s.value
		}
		out = append(append(out, s), spans(raw, s.value, s.path)...)
	}
	return out
}

package jsonfile

import (
	"errors"
	"testing"
)

type form struct {
	Name  string   `json:"name"`
	Inner struct{} `json:"inner"`
	Words []string `json:"words"`
}

// A mistake is told with its key, and with the line at which it stands.
func TestDecodeTellsTheLine(t *testing.T) {
	for text, want := range map[string]string{
		"{\"name\": \"a\"}":                "",
		"{\n\"name\": 7}":                  "f.json:2: name: a number does not fit",
		"{\n\n\"nome\": 7}":                `f.json:3: json: unknown field "nome"`,
		"{\n\"words\": [\n\"a\",\n7]}":     "f.json:4: words: a number does not fit",
		"{\n\"name\": \"a\"":               "f.json:2: unexpected EOF",
		"{\"name\": \"a\"}\n{}":            "f.json:2: text follows the object",
		"{\n\"inner\": {\n\"more\": 1}\n}": `f.json:3: json: unknown field "more"`,
	} {
		var f form
		err := Decode([]byte(text), &f)
		if err != nil {
			err = Locate("f.json", []byte(text), FindUnknownKey([]byte(text), err))
		}
		if want == "" && err != nil || want != "" && (err == nil || err.Error() != want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// An error without a place is told with the line of the key that it begins with, as far as the file has that key.
func TestLocateByKey(t *testing.T) {
	text := []byte("{\n\"a\": [\n{},\n{\"B\":\n1}],\n\"c\": 2}")
	for message, line := range map[string]int{"a: wrong": 2, "a[1]: wrong": 4, "a[1].b: wrong": 4, "a[1].x: wrong": 4, "c: wrong": 6, "d.e: wrong": 0} {
		var located *Error
		cause := errors.New(message)
		if err := Locate("f.json", text, cause); !errors.As(err, &located) || located.Line != line || !errors.Is(err, cause) {
			t.Errorf("%s: %v, want line %d", message, err, line)
		}
	}
	if err := LocateFrom("f.json", text, errors.New("d: wrong")); err.Error() != "f.json:1: d: wrong" {
		t.Error(err)
	}
}

func TestEnumValue(t *testing.T) {
	words := map[string]int{"one": 1}
	if got, err := EnumValue("key", "one", words); got != 1 || err != nil {
		t.Error(got, err)
	}
	if _, err := EnumValue("key", "two", words); err == nil || err.Error() != `key: unknown word "two"` {
		t.Error(err)
	}
}

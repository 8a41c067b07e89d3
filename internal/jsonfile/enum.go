package jsonfile

import "fmt"

// EnumValue returns what the text at a key stands for. If it is none of values, the error names the key and the text.
func EnumValue[T any](key, text string, values map[string]T) (T, error) {
	value, ok := values[text]
	if !ok {
		return value, fmt.Errorf("%s: unknown word %q", key, text)
	}
	return value, nil
}

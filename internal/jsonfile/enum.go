package jsonfile

import "fmt"

// EnumValue returns what a word stands for. An error names the key and the word, if it is none of words.
func EnumValue[T any](key, word string, words map[string]T) (T, error) {
	value, ok := words[word]
	if !ok {
		return value, fmt.Errorf("%s: unknown word %q", key, word)
	}
	return value, nil
}

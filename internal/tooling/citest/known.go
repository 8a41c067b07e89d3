package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// maxKnown bounds the list of tests that may fail: a longer list would hide what is broken.
const maxKnown = 5

// knownFields is the number of fields of a line: the test, the cause of its failure and the issue that tracks it.
const knownFields = 3

// testID names a test or a subtest by its package's import path and its name.
type testID struct {
	pkg  string
	name string
}

func (t testID) String() string { return t.pkg + " " + t.name }

// within says whether t is the other test or one of its subtests.
func (t testID) within(other testID) bool {
	return t.pkg == other.pkg && (t.name == other.name || strings.HasPrefix(t.name, other.name+"/"))
}

// knownFailure is a line of the list.
type knownFailure struct {
	test  testID
	cause string
	issue string
}

// readKnown reads the list of tests that may fail. A missing file is an empty list.
func readKnown(file string) ([]knownFailure, error) {
	content, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	known, err := parseKnown(content)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", file, err)
	}
	return known, nil
}

// parseKnown parses lines of the form "IMPORT/PATH TestName/subtest | cause | issue". Empty lines and lines that begin
// with # are comments.
func parseKnown(content []byte) ([]knownFailure, error) {
	var known []knownFailure
	scanner := bufio.NewScanner(bytes.NewReader(content))
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		failure, err := parseKnownLine(line)
		if err != nil {
			return nil, fmt.Errorf("%d: %w", number, err)
		}
		known = append(known, failure)
		if len(known) > maxKnown {
			return nil, fmt.Errorf("%d: more than %d tests", number, maxKnown)
		}
	}
	return known, scanner.Err()
}

func parseKnownLine(line string) (knownFailure, error) {
	fields := strings.Split(line, "|")
	if len(fields) != knownFields {
		return knownFailure{}, errors.New("want: IMPORT/PATH TestName | cause | issue")
	}
	for i, field := range fields {
		fields[i] = strings.TrimSpace(field)
		if fields[i] == "" {
			return knownFailure{}, errors.New("the test, the cause or the issue is empty")
		}
	}
	pkg, name, found := strings.Cut(fields[0], " ")
	if !found || strings.Contains(name, " ") {
		return knownFailure{}, fmt.Errorf("%q is not an import path and a test's name", fields[0])
	}
	return knownFailure{test: testID{pkg, name}, cause: fields[1], issue: fields[2]}, nil
}

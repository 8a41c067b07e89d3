package discovery

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
)

// Bounds of what is read.
const (
	maxHeadBytes = 16 << 10
	maxListBytes = 1 << 20 // some 4,000 servers; a pooler may have 16 MB for everything
)

// WatchRequest returns the request that opens a watch from a revision on; 0: for the whole list.
func WatchRequest(host string, since uint64) []byte {
	path := "/api/targets?follow=1"
	if since > 0 {
		path += "&since=" + strconv.FormatUint(since, 10)
	}
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n")
}

// Stream turns the bytes of a watch into its lists. The zero Stream is ready. It is not safe for use by several goroutines.
type Stream struct {
	body       bodyReader
	scanner    objectScanner
	text       []byte // of the list that has begun and is not complete
	emptyLines int
}

// InList tells whether a list has begun and is not complete.
func (s *Stream) InList() bool { return s.scanner.depth > 0 }

// EmptyLines returns how many lines have ended outside of lists. The line end behind a list counts as one.
func (s *Stream) EmptyLines() int { return s.emptyLines }

// Feed reads bytes and returns the lists that are complete. After an error the watch is over; lists before the error count.
func (s *Stream) Feed(b []byte) ([]List, error) {
	headed, err := s.body.add(b)
	if err != nil || !headed {
		return nil, err
	}
	var lists []List
	for {
		text, bodyErr := s.body.next()
		lists, err = s.appendLists(lists, text)
		if err != nil || bodyErr != nil || text == nil || s.body.empty() {
			return lists, cmp.Or(err, bodyErr)
		}
	}
}

// appendLists reads a piece of the body. A list ends with its last bracket, for a line may end within it.
func (s *Stream) appendLists(lists []List, text []byte) ([]List, error) {
	begin := 0 // of the list that has begun
	for i, b := range text {
		wasOutside := !s.InList()
		if err := s.scanner.scan(b); err != nil {
			return lists, err
		}
		switch {
		case s.InList():
		case wasOutside:
			begin = i + 1
			if b == '\n' {
				s.emptyLines++
			}
		default:
			list, err := ParseList(append(s.text, text[begin:i+1]...))
			if err != nil {
				return lists, fmt.Errorf("discovery: %w", err)
			}
			lists = append(lists, list)
			s.text = s.text[:0]
			begin = i + 1
		}
	}
	s.text = append(s.text, text[begin:]...)
	if len(s.text) > maxListBytes {
		return lists, errListTooLong
	}
	return lists, nil
}

var errListTooLong = errors.New("discovery: a list is too long")

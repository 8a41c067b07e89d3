// Package discovery reads what the node list's service says: HTTP/1.1 answers, chunked, a JSON object a line.
package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"threadsail/rules"
)

// Limits of what is taken in.
const (
	maxHead = 16 << 10
	maxLine = 4 << 20
)

// Member is one entry of the list.
type Member struct {
	Name    string // the same at all poolers
	Addr    string
	Zone    string
	Group   int
	State   rules.State
	Primary bool
	Started time.Duration // Unix time; 0 is long ago
}

// List is the whole list, or what has changed.
type List struct {
	Revision uint64
	Complete bool
	Members  []Member
}

// ParseList decodes one object.
func ParseList(text []byte) (List, error) {
	var in struct {
		Revision uint64
		Complete bool
		Members  []struct {
			ID        string
			HostPort  string `json:"host_port"`
			Locality  string
			Cell      int
			Phase     string
			Recovery  string
			UpSinceMS float64 `json:"up_since_ms"`
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) && t.Field != "" {
			return List{}, fmt.Errorf("%s: a %s does not fit", t.Field, t.Value)
		}
		return List{}, err
	}
	l := List{Revision: in.Revision, Complete: in.Complete, Members: make([]Member, 0, len(in.Members))}
	for i, m := range in.Members {
		e := Member{Name: m.ID, Addr: m.HostPort, Zone: m.Locality, Group: m.Cell, Primary: m.Recovery == "off",
			Started: time.Duration(m.UpSinceMS * float64(time.Millisecond))}
		switch m.Phase {
		case "Ready":
			e.State = rules.Ready
		case "Terminating":
			e.State = rules.Draining
		case "Gone":
			e.State = rules.Gone
		default:
			return List{}, fmt.Errorf("members[%d].phase: unknown word %q", i, m.Phase)
		}
		if e.Name == "" || e.Addr == "" && e.State != rules.Gone {
			return List{}, fmt.Errorf("members[%d]: id or host_port is missing", i)
		}
		if e.Group < 0 || e.Group > 1<<16 {
			return List{}, fmt.Errorf("members[%d].cell: %d is out of range", i, e.Group)
		}
		l.Members = append(l.Members, e)
	}
	return l, nil
}

// WatchRequest is the call that opens a watch; with no revision yet, it asks for the whole list.
func WatchRequest(host string, since uint64) []byte {
	path := "/api/targets?follow=1"
	if since > 0 {
		path += "&since=" + strconv.FormatUint(since, 10)
	}
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n")
}

// Stream takes in the bytes of a watch and gives back its lists.
type Stream struct {
	buf     []byte
	headed  bool
	left    int // of the chunk under way, its line end included
	line    []byte
	scanned int
}

// Feed takes in bytes. An error means that the watch is over.
func (s *Stream) Feed(b []byte) ([]List, error) {
	s.buf = append(s.buf, b...)
	if !s.headed {
		end := bytes.Index(s.buf, []byte("\r\n\r\n"))
		if end < 0 {
			if len(s.buf) > maxHead {
				return nil, errors.New("discovery: the head of the answer is too long")
			}
			return nil, nil
		}
		if err := head(string(s.buf[:end])); err != nil {
			return nil, err
		}
		s.buf, s.headed = s.buf[end+4:], true
	}
	var out []List
	for {
		more, err := s.chunk()
		if err != nil {
			return out, err
		}
		if out, err = s.lines(out); err != nil || !more {
			return out, err
		}
	}
}

// head accepts a 200 whose body is chunked.
func head(text string) error {
	lines := strings.Split(text, "\r\n")
	status := strings.SplitN(lines[0], " ", 3)
	if len(status) < 2 || !strings.HasPrefix(status[0], "HTTP/1.") {
		return errors.New("discovery: the answer is not HTTP/1.1")
	}
	if status[1] != "200" {
		return fmt.Errorf("discovery: status %.8q", status[1])
	}
	for _, l := range lines[1:] {
		name, value, _ := strings.Cut(l, ":")
		if strings.EqualFold(name, "Transfer-Encoding") && strings.EqualFold(strings.TrimSpace(value), "chunked") {
			return nil
		}
	}
	return errors.New("discovery: the answer is not chunked")
}

// chunk moves bytes from the chunked form to the line under way; false: more must come first.
func (s *Stream) chunk() (bool, error) {
	if s.left == 0 {
		end := bytes.Index(s.buf, []byte("\r\n"))
		if end < 0 {
			if len(s.buf) > 64 {
				return false, errors.New("discovery: a chunk has no size")
			}
			return false, nil
		}
		size, _, _ := bytes.Cut(s.buf[:end], []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		if err != nil || n > maxLine {
			return false, fmt.Errorf("discovery: chunk size %.16q", size)
		}
		s.buf = s.buf[end+2:]
		if n == 0 {
			return false, errors.New("discovery: the watch has ended")
		}
		s.left = int(n) + 2
	}
	if len(s.buf) == 0 {
		return false, nil
	}
	n := min(len(s.buf), s.left)
	if text := min(n, s.left-2); text > 0 { // the last two bytes end the chunk
		s.line = append(s.line, s.buf[:text]...)
	}
	s.buf = s.buf[n:]
	s.left -= n
	return len(s.buf) > 0, nil
}

func (s *Stream) lines(out []List) ([]List, error) {
	for {
		end := bytes.IndexByte(s.line[s.scanned:], '\n')
		if end < 0 {
			if s.scanned = len(s.line); s.scanned > maxLine {
				return out, errors.New("discovery: a line is too long")
			}
			return out, nil
		}
		end += s.scanned
		text := bytes.TrimSpace(s.line[:end])
		if len(text) > 0 {
			l, err := ParseList(text)
			if err != nil {
				return out, fmt.Errorf("discovery: %w", err)
			}
			out = append(out, l)
		}
		s.line, s.scanned = append(s.line[:0], s.line[end+1:]...), 0
	}
}

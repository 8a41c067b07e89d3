// Package discovery reads what the node list's service says: HTTP/1.1 answers, chunked or not, one JSON object after the other, each
// on a line of its own or indented over many. A list counts from its last bracket on, however the answer ends after it: where a body
// has no length, a reset looks like its end.
package discovery

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"threadsail/internal/jsonfile"
	"threadsail/internal/policy"
)

// Limits of what is taken in.
const (
	maxHead = 16 << 10
	maxText = 1 << 20 // some 4,000 servers; the least pooler has 16 MB for everything
)

// Member is one entry of the list.
type Member struct {
	Name    string // the same at all poolers
	Addr    string
	Zone    string
	Group   int
	State   policy.MemberState
	Primary bool
	Started time.Duration // Unix time; 0 is long ago
}

// List is the whole list, or what has changed.
type List struct {
	Revision uint64
	Complete bool
	Members  []Member
}

// phases are the words for a member's state.
var phases = map[string]policy.MemberState{
	"Ready":       policy.Ready,
	"Terminating": policy.Draining,
	"Gone":        policy.Removed,
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
		var err error
		if e.State, err = jsonfile.EnumValue(fmt.Sprintf("members[%d].phase", i), m.Phase, phases); err != nil {
			return List{}, err
		}
		if e.Name == "" || e.Addr == "" && e.State != policy.Removed {
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
	chunked bool
	left    int    // of the chunk under way, its line end included; no end in sight where there are none
	text    []byte // the object under way
	depth   int    // open brackets; 0: no object has begun
	quoted  bool   // a string is open
	escaped bool   // and its next byte is taken as it is
	last    byte   // of the object under way, space left out
	empty   int    // lines that have ended outside of lists
}

// Begun tells that a list has begun and is not whole.
func (s *Stream) Begun() bool { return s.depth > 0 }

// Empty is how many empty lines have come. One counts that ends a list's.
func (s *Stream) Empty() int { return s.empty }

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
		if err := s.head(string(s.buf[:end])); err != nil {
			return nil, err
		}
		s.buf, s.headed = s.buf[end+4:], true
	}
	var out []List
	for {
		text, bad := s.body()
		var err error
		if out, err = s.lists(out, text); err != nil || bad != nil || len(s.buf) == 0 || text == nil {
			return out, cmp.Or(err, bad)
		}
	}
}

// head accepts a 200 whose body comes in chunks, or has no length and goes on to the end of the connection.
func (s *Stream) head(text string) error {
	lines := strings.Split(text, "\r\n")
	status := strings.SplitN(lines[0], " ", 3)
	if len(status) < 2 || !strings.HasPrefix(status[0], "HTTP/1.") {
		return errors.New("discovery: the answer is not HTTP/1.1")
	}
	if status[1] != "200" {
		return fmt.Errorf("discovery: status %.8q", status[1])
	}
	s.left = math.MaxInt
	for _, l := range lines[1:] {
		name, value, _ := strings.Cut(l, ":")
		switch {
		case strings.EqualFold(name, "Transfer-Encoding") && strings.EqualFold(strings.TrimSpace(value), "chunked"):
			s.chunked, s.left = true, 0
			return nil
		case strings.EqualFold(name, "Transfer-Encoding"), strings.EqualFold(name, "Content-Length"):
			return errors.New("discovery: the answer is no stream")
		}
	}
	return nil
}

// body takes bytes of the body off what has come; none: more must come first. Those before an error still count.
func (s *Stream) body() ([]byte, error) {
	if s.left == 0 {
		end := bytes.Index(s.buf, []byte("\r\n"))
		if end < 0 {
			if len(s.buf) > 64 {
				return nil, errors.New("discovery: a chunk has no size")
			}
			return nil, nil
		}
		size, _, _ := bytes.Cut(s.buf[:end], []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		if err != nil || n > maxText {
			return nil, fmt.Errorf("discovery: chunk size %.16q", size)
		}
		s.buf = s.buf[end+2:]
		if n == 0 {
			return nil, errors.New("discovery: the watch has ended")
		}
		s.left = int(n) + 2
	}
	n := min(len(s.buf), s.left)
	text := s.buf[:n]
	s.buf = s.buf[n:]
	s.left -= n
	if s.chunked { // the last two bytes end the chunk
		if over := min(2-s.left, n); over > 0 {
			if !strings.HasSuffix("\r\n"[:2-s.left], string(text[n-over:])) {
				return text[:n-over], errors.New("discovery: a chunk does not end where it should")
			}
			text = text[:n-over]
		}
	}
	return text, nil
}

// lists takes whole objects off the text. Where one ends is told by its brackets, for a line may end within it.
func (s *Stream) lists(out []List, text []byte) ([]List, error) {
	from := 0 // of the object under way
	for i, b := range text {
		outside := s.depth == 0
		if err := s.scan(b); err != nil {
			return out, err
		}
		switch {
		case outside && s.depth == 0: // space
			if from = i + 1; b == '\n' {
				s.empty++
			}
		case s.depth == 0:
			l, err := ParseList(append(s.text, text[from:i+1]...))
			if err != nil {
				return out, fmt.Errorf("discovery: %w", err)
			}
			out, s.text, from = append(out, l), s.text[:0], i+1
		}
	}
	if s.text = append(s.text, text[from:]...); len(s.text) > maxText {
		return out, errors.New("discovery: a list is too long")
	}
	return out, nil
}

// scan takes in one byte. What can't be part of a list is an error at once: it would hold up all that comes after it.
func (s *Stream) scan(b byte) error {
	switch {
	case s.quoted && b < ' ':
		return errors.New("discovery: a string is cut short")
	case s.escaped:
		s.escaped = false
	case s.quoted:
		s.escaped, s.quoted = b == '\\', b != '"'
	case b == ' ' || b == '\n' || b == '\r' || b == '\t':
		return nil
	case b == '{' || b == '[' && s.depth > 0:
		if s.depth > 0 && s.last != ':' && s.last != ',' && s.last != '[' {
			return errors.New("discovery: a list is cut short")
		}
		s.depth++
	case (b == '}' || b == ']') && s.depth > 0:
		s.depth--
	case b == '"' && s.depth > 0:
		s.quoted = true
	case s.depth == 0:
		return fmt.Errorf("discovery: %q where a list should begin", b)
	}
	s.last = b
	return nil
}

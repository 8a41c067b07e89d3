package pgwire

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestNext(t *testing.T) {
	for name, c := range map[string]struct {
		in   []byte
		want Message
		n    int
		err  error
	}{
		"nothing":       {},
		"half a length": {in: []byte("Q\x00\x00")},
		"half a body":   {in: []byte("Q\x00\x00\x00\x08ab")},
		"whole": {in: []byte("Q\x00\x00\x00\x06a\x00Z"), n: 7,
			want: Message{Type: 'Q', Body: []byte("a\x00"), Raw: []byte("Q\x00\x00\x00\x06a\x00")}},
		"length too small": {in: []byte("Q\x00\x00\x00\x03"), err: ErrFraming},
		"length too large": {in: []byte("Q\x7f\xff\xff\xff"), err: ErrFraming},
	} {
		m, n, err := Next(c.in, MaxQuery)
		if d := cmp.Diff(c.want, m); d != "" || n != c.n || !errors.Is(err, c.err) {
			t.Errorf("%s: %d, %v, %s", name, n, err, d)
		}
	}
}

// An impossible message of a server is found by its first bytes: nobody waits for the rest.
func TestNextAnswer(t *testing.T) {
	row := AppendRow(nil, "v", "x", "SELECT 1")
	for name, c := range map[string]struct {
		in  string
		n   int
		bad bool
	}{
		"nothing":           {},
		"a description":     {in: string(row), n: 27},
		"half of one":       {in: string(row[:20])},
		"unknown type":      {in: "y", bad: true},
		"noise":             {in: "HTTP/1.1", bad: true},
		"3 GB":              {in: "D\xb2\xd0\x5e\x00", bad: true},
		"below 0":           {in: "C\xff\xff\xff\xff", bad: true},
		"two columns":       {in: "D\x00\x00\x00\x20\x00\x02\x00\x00\x00\x01", bad: true},
		"a length too long": {in: "D\x00\x00\x00\x20\x00\x01\x00\x00\x00\x60", bad: true},
		"a long end":        {in: "Z\x00\x00\x00\x06", bad: true},
		"an end":            {in: "Z\x00\x00\x00\x05I", n: 6},
	} {
		if _, n, err := NextAnswer([]byte(c.in)); n != c.n || (err != nil) != c.bad {
			t.Errorf("%s: %d, %v", name, n, err)
		}
	}
	if m, _, _ := NextAnswer(row); !OneColumn(m.Body) || OneColumn(m.Body[:len(m.Body)-1]) || OneColumn(nil) {
		t.Error("a description of one column is not told from others")
	}
}

func TestNextStartup(t *testing.T) {
	for name, c := range map[string]struct {
		in   []byte
		code uint32
		n    int
		bad  bool
	}{
		"short":     {in: []byte("\x00\x00")},
		"half":      {in: []byte("\x00\x00\x00\x09\x00\x03\x00\x00")},
		"startup":   {in: AppendStartup(nil, "u", "d"), code: Version3, n: 27},
		"ssl":       {in: []byte("\x00\x00\x00\x08\x04\xd2\x16\x2f"), code: SSLCode, n: 8},
		"too small": {in: []byte("\x00\x00\x00\x07"), bad: true},
		"too large": {in: []byte("\x00\xff\x00\x07"), bad: true},
	} {
		code, n, err := NextStartup(c.in)
		if code != c.code || n != c.n || (err != nil) != c.bad {
			t.Errorf("%s: %d, %d, %v", name, code, n, err)
		}
	}
}

func TestValues(t *testing.T) {
	type values struct {
		Name, Value, Code, Detail, Column, Text string
		OK                                      [3]bool
	}
	var got values
	m, _, _ := Next(AppendParameter(nil, "recovery", "on"), MaxQuery)
	got.Name, got.Value, got.OK[0] = Parameter(m.Body)
	m, _, _ = Next(AppendRefusal(nil, 1500*time.Microsecond), MaxQuery)
	got.Code, got.Detail = ErrorCode(m.Body), ErrorField(m.Body, 'D')
	row := AppendRow(nil, "val", "x", "SELECT 1")
	_, n, _ := Next(row, MaxQuery)
	m, _, _ = Next(row[n:], MaxQuery)
	column, ok := Column(m.Body)
	got.Column, got.OK[1] = string(column), ok
	got.Text, got.OK[2] = Text([]byte("SELECT\x00"))
	want := values{"recovery", "on", CodeTooMany, "2", "x", "SELECT", [3]bool{true, true, true}}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	for _, bad := range []string{"", "a", "a\x00b\x00"} {
		if _, ok := Text([]byte(bad)); ok {
			t.Errorf("%q passes as one string", bad)
		}
	}
	for _, bad := range []string{"", "\x00\x00\x00\x00\x00\x01", "\x00\x01\x00\x00\x00\x09a", "\x00\x01\xff\xff\xff\xff"} {
		if _, ok := Column([]byte(bad)); ok {
			t.Errorf("%q passes as a row", bad)
		}
	}
}

func FuzzNext(f *testing.F) {
	f.Add(AppendQuery(nil, "SELECT 1"))
	f.Add(AppendRefusal(nil, time.Second))
	f.Add(AppendRow(AppendParameter(nil, "a", "b"), "v", "x", "SELECT 1"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, _ = NextStartup(b)
		if m, n, err := NextAnswer(b); err == nil && n > 0 {
			OneColumn(m.Body)
		}
		m, n, err := Next(b, MaxQuery)
		if err != nil || n == 0 {
			return
		}
		if !bytes.Equal(m.Raw, b[:n]) {
			t.Fatal("the raw message is not what was read")
		}
		Text(m.Body)
		Parameter(m.Body)
		ErrorCode(m.Body)
		Column(m.Body)
	})
}

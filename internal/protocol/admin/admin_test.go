package admin

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestNext(t *testing.T) {
	type result struct {
		Call Call
		OK   bool
		Err  error
	}
	long := strings.Repeat("x", MaxLine+1)
	for in, want := range map[string]result{
		"":                           {},
		"PIN":                        {},
		"PING\n":                     {Call: Ping, OK: true},
		"PING\r\n":                   {Call: Ping, OK: true},
		"INFO\nPING\n":               {Call: Info, OK: true},
		"ping\n":                     {OK: true},
		"PING now\n":                 {OK: true},
		"\n":                         {OK: true},
		"\x00\xff\n":                 {OK: true},
		long:                         {Err: ErrTooLong},
		long + "\n":                  {Err: ErrTooLong},
		strings.Repeat("x", MaxLine): {},
	} {
		c, ok, err := Next([]byte(in))
		if d := cmp.Diff(want, result{c, ok, err}, cmpopts.EquateErrors()); d != "" {
			t.Errorf("%.20q: %s", in, d)
		}
	}
}

// A class may be named by anything that JSON holds: its name must not forge another line.
func TestAppendFigure(t *testing.T) {
	b := AppendFigure(nil, "pending", 14)
	b = AppendFigure(b, "downstream_requests", 812, Label{"lane", "a\"b\\c\nd"}, Label{"result", "completed"})
	want := "edge_proxy_pending 14\n" +
		`edge_proxy_downstream_requests{lane="a\"b\\c\nd",result="completed"} 812` + "\n"
	if d := cmp.Diff(want, string(b)); d != "" {
		t.Error(d)
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("PING\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, ok, err := Next(b); err != nil && (ok || c != Unknown) || len(b) > MaxLine && !ok && err == nil {
			t.Errorf("%q: %v %v %v", b, c, ok, err)
		}
	})
}

package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"threadsail/internal/policy"
)

const entry = `{"id":"s-1","host_port":"10.1.0.18:6432","locality":"a","flavor":"m2","cell":3,"phase":"%s","size":1.0,` +
	`"up_since_ms":1500,"recovery":"off"}`

func line(revision int, complete bool, phase string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[`+entry+"]}\n", revision, complete, phase)
}

func list(revision uint64, complete bool, state policy.MemberState) List {
	return List{revision, complete, []Member{{"s-1", "10.1.0.18:6432", "a", 3, state, true, 1500 * time.Millisecond}}}
}

func TestParseList(t *testing.T) {
	got, err := ParseList([]byte(line(41, true, "Ready")))
	if d := cmp.Diff(list(41, true, policy.Ready), got); d != "" || err != nil {
		t.Error(err, d)
	}
	for _, bad := range []string{"", "[]", `{"members":[{"id":"x","host_port":"y","phase":"?"}]}`,
		`{"members":[{"phase":"Ready"}]}`, `{"revision":"x"}`, `{"revision":-1}`,
		`{"members":[{"id":"x","host_port":"y","phase":"Ready","cell":-1}]}`} {
		if l, err := ParseList([]byte(bad)); err == nil {
			t.Errorf("%s passes as %+v", bad, l)
		}
	}
}

const okHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// openHead is that of an answer whose body ends with its connection.
const openHead = "HTTP/1.1 200 OK\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// indented is a list as services with a taste for it write them.
func indented(line string) string {
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(line), "", "  "); err != nil {
		panic(err)
	}
	return b.String()
}

func TestStream(t *testing.T) {
	full, drain := line(41, true, "Ready"), line(42, false, "Terminating")
	one, two := list(41, true, policy.Ready), list(42, false, policy.Draining)
	odd := one
	odd.Members = []Member{one.Members[0]}
	odd.Members[0].Name = `s{"]\`
	said := strings.Replace(full, "s-1", `s{\"]\\`, 1)
	for name, c := range map[string]struct {
		in   string
		want []List
		bad  bool
	}{
		"head only":       {in: okHead},
		"two lists":       {in: okHead + chunk(full) + chunk("\n") + chunk(drain), want: []List{one, two}},
		"in one chunk":    {in: okHead + chunk(full+"\n"+drain), want: []List{one, two}},
		"indented":        {in: okHead + chunk(indented(full)+"\n") + chunk("\n") + chunk(indented(drain)), want: []List{one, two}},
		"indented, cut":   {in: okHead + chunk(indented(full)[:90]) + chunk(indented(full)[90:]+full), want: []List{one, one}},
		"indented tight":  {in: okHead + chunk(indented(full)+indented(drain)), want: []List{one, two}},
		"brackets quoted": {in: okHead + chunk(indented(said)) + chunk(said), want: []List{odd, odd}},
		"cut short":       {in: okHead + chunk(full[:30]+"\n"+full), bad: true},
		"no list":         {in: okHead + chunk("[]\n"), bad: true},
		"over chunks":     {in: okHead + chunk(full[:20]) + chunk(full[20:]), want: []List{one}},
		"ended":           {in: okHead + chunk(full) + "0\r\n\r\n", want: []List{one}, bad: true},
		"status":          {in: "HTTP/1.1 503 no\r\n\r\n", bad: true},
		"not chunked":     {in: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}\n", bad: true},
		"not http":        {in: "hello\r\n\r\n", bad: true},
		"bad chunk size":  {in: okHead + "zz\r\n", bad: true},
		"huge chunk size": {in: okHead + "7fffffff\r\n", bad: true},
		"no length":       {in: openHead + full + "\n" + indented(drain), want: []List{one, two}},
		"no length, cut":  {in: openHead + full + drain[:len(drain)-3], want: []List{one}}, // what follows looks like its end, or is a reset
		"other encoding":  {in: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + full, bad: true},
		"long chunk":      {in: okHead + fmt.Sprintf("%x\r\n%s..", len(full), full) + chunk(drain), want: []List{one}, bad: true},
		"endless list":    {in: openHead + full + `{"revision":` + strings.Repeat(" ", maxListBytes), want: []List{one}, bad: true},
		"endless head":    {in: okHead[:len(okHead)-2] + "X: " + strings.Repeat("x", maxHeadBytes), bad: true},
		"bad list":        {in: okHead + chunk("{]\n"), bad: true},
	} {
		whole := &Stream{}
		got, err := whole.Feed([]byte(c.in))
		if d := cmp.Diff(c.want, got); d != "" || (err != nil) != c.bad {
			t.Errorf("%s: %v %s", name, err, d)
		}
		var bytewise []List
		s := &Stream{}
		err = nil
		for i := 0; i < len(c.in) && err == nil; i++ {
			var more []List
			more, err = s.Feed([]byte{c.in[i]})
			bytewise = append(bytewise, more...)
		}
		if d := cmp.Diff(c.want, bytewise); d != "" || (err != nil) != c.bad {
			t.Errorf("%s, byte by byte: %v %s", name, err, d)
		}
	}
}

func FuzzStream(f *testing.F) {
	f.Add([]byte(okHead+chunk(line(41, true, "Ready"))), 7)
	f.Add([]byte(okHead+chunk(indented(line(41, true, "Ready")))), 99)
	f.Add([]byte(openHead+indented(line(41, true, "Ready"))+"\n\n"+line(42, false, "Gone")[:50]), 60)
	f.Add([]byte(okHead+"3;x\r\n\n\n\n\r\n0\r\n\r\n"), 50)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		if cut < 0 || cut > len(b) {
			cut = len(b)
		}
		whole, parts := &Stream{}, &Stream{}
		want, bad := whole.Feed(b)
		got, err := parts.Feed(b[:cut])
		if err == nil {
			var rest []List
			rest, err = parts.Feed(b[cut:])
			got = append(got, rest...)
		}
		if d := cmp.Diff(want, got); d != "" || (bad != nil) != (err != nil) || bad == nil && whole.EmptyLines() != parts.EmptyLines() {
			t.Errorf("cut at %d: %v, %v %s", cut, err, bad, d)
		}
	})
}

// A list that one pooler hands to another keeps its meaning, at the other's addresses, and changes add up to the whole.
func TestHandedOn(t *testing.T) {
	started := time.Duration(1767225600123 * float64(time.Millisecond)) // as it is parsed
	a := Member{Name: "a", Addr: "h1:1", Zone: "z", Group: 2, State: policy.Ready, Primary: true, Started: started}
	b := Member{Name: "b", Addr: "h2:1", State: policy.Draining}
	whole := List{Revision: 4, Complete: true, Members: []Member{a, b}}
	if got, err := ParseList(whole.Format()); cmp.Diff(whole, got) != "" || err != nil {
		t.Errorf("%v %v", cmp.Diff(whole, got), err)
	}
	c := Member{Name: "c", Addr: "h3:1", State: policy.Ready}
	next := whole.With(List{Revision: 5, Members: []Member{{Name: "a", State: policy.Removed}, c}})
	if d := cmp.Diff(List{Revision: 5, Complete: true, Members: []Member{b, c}}, next); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(whole, next.With(whole)); d != "" {
		t.Error(d)
	}
	here := List{Members: []Member{{Name: "a", Addr: "10.0.0.1:1"}, {Name: "b", Addr: "10.0.0.2:1"}}}
	at, known := whole.At(here)
	if !known || at.Members[0].Addr != "10.0.0.1:1" || at.Members[1].Addr != "10.0.0.2:1" || whole.Members[0].Addr != "h1:1" {
		t.Errorf("%+v %v", at, known)
	}
	if _, known := next.At(here); known {
		t.Error("a server that was never seen from here has an address")
	}
}

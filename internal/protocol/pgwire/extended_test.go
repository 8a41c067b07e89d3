package pgwire

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func body(t *testing.T, b []byte) []byte {
	t.Helper()
	m, n, err := Next(b, MaxAnswer)
	if err != nil || n != len(b) {
		t.Fatalf("%x: %d, %v", b, n, err)
	}
	return m.Body
}

// Each message reads back as what was written, and no part of it passes for the whole.
func TestExtended(t *testing.T) {
	fields := []Field{{"a", 25, -1}, {"ő", 1700, 655366}}
	values := [][]byte{[]byte("x"), nil, {}}
	for name, c := range map[string]struct {
		message []byte
		read    func([]byte) (any, error)
		want    any
	}{
		"fields":     {AppendFields(nil, fields), func(b []byte) (any, error) { return Fields(b) }, fields},
		"values":     {AppendValues(nil, values), func(b []byte) (any, error) { return Values(b, 3) }, values},
		"parameters": {AppendParameterTypes(nil, []uint32{25, 17}), func(b []byte) (any, error) { return ParameterTypes(b) }, []uint32{25, 17}},
		"parse": {AppendParse(nil, "s1", "SELECT $1"), func(b []byte) (any, error) {
			name, text, err := ParsedStatement(b)
			return []string{name, text}, err
		}, []string{"s1", "SELECT $1"}},
		"bind": {AppendBind(nil, "s1", values), func(b []byte) (any, error) {
			name, v, err := BoundValues(b)
			return []any{name, v}, err
		}, []any{"s1", values}},
		"sasl": {AppendSASLFirst(nil, ScramSHA256, "n,,n=u"), func(b []byte) (any, error) {
			name, data, err := SASLFirst(b)
			return []string{name, data}, err
		}, []string{ScramSHA256, "n,,n=u"}},
	} {
		b := body(t, c.message)
		got, err := c.read(b)
		if d := cmp.Diff(c.want, got); d != "" || err != nil {
			t.Errorf("%s: %v %s", name, err, d)
		}
		for i := range len(b) - 2 { // the last two bytes of a Bind and a Parse are not looked at
			if got, err := c.read(b[:i]); err == nil {
				t.Errorf("%s: %x passes as %v", name, b[:i], got)
			}
		}
	}
}

func TestAuth(t *testing.T) {
	for _, c := range []struct {
		kind AuthKind
		data string
		err  string
	}{
		{AuthFine, "", ""}, {AuthSASL, "SCRAM-SHA-256-PLUS\x00SCRAM-SHA-256\x00\x00", ""}, {AuthSASL, "SCRAM-SHA-1\x00\x00", "offers no"},
		{AuthContinue, "r=x,s=y,i=4096", ""}, {AuthContinue, "r=x,s=y,i=900000000", "900000000"}, {AuthContinue, "i=x", "iterations"},
		{3, "", "method 3"}, {5, "salt", "method 5"},
	} {
		_, _, err := Auth(body(t, AppendAuth(nil, c.kind, c.data)))
		if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
			t.Errorf("%d %q: %v", c.kind, c.data, err)
		}
	}
	if _, _, err := Auth([]byte{0}); err == nil {
		t.Error("a cut request passes")
	}
}

// A server that is not sound, or does not know the password, is not believed. (The stand-in's library takes the real login.)
func TestScram(t *testing.T) {
	secrets, err := NewSecrets("secret")
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range []string{"", "r=x,s=c2FsdA==,i=4096", "s=c2FsdA==,r=NONCEx,i=4096", "r=NONCE,s=c2FsdA==,i=4096", "r=NONCEx,s=,i=4096",
		"r=NONCEx,s=c2FsdA==,i=0", "r=NONCEx,s=c2FsdA==,i=99999999", "r=NONCEx,s=?,i=4096"} {
		talk, _ := secrets.Talk()
		if got, err := talk.Answer(strings.Replace(data, "NONCE", talk.nonce, 1)); err == nil {
			t.Errorf("%s is answered by %s", data, got)
		}
	}
	talk, _ := secrets.Talk()
	if _, err := talk.Answer("r=" + talk.nonce + "x,s=c2FsdA==,i=4096"); err != nil {
		t.Fatal(err)
	}
	for _, data := range []string{"", "v=", "v=AAAA", "e=other-error"} {
		if err := talk.Final(data); err == nil || talk.Valid {
			t.Errorf("%q passes for a proof", data)
		}
	}
	if _, err := NewSecrets("jelszó"); err == nil {
		t.Error("a password beyond ASCII passes")
	}
}

func FuzzExtended(f *testing.F) {
	f.Add(AppendFields(nil, []Field{{"a", 25, -1}})[5:])
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = Fields(b)
		_, _ = Values(b, 3)
		_, _ = ParameterTypes(b)
		_, _, _ = BoundValues(b)
		_, _, _ = ParsedStatement(b)
		_, _, _ = SASLFirst(b)
		_, _, _ = Auth(b)
		_, _, _ = NextReply(b)
	})
}

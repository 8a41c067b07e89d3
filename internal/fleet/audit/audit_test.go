package audit

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// record returns a record whose size depends on i.
func record(i int) Record {
	return Record{At: int64(i), Instance: "n1", Build: "b", Config: "c", Revision: uint64(i), Act: ListApplied, Server: strings.Repeat("s", i%7)}
}

// A journal truncated at any byte, as by a crash of the machine, can be opened again: only the torn record is lost, and new records
// are appended after the complete ones.
func TestOpenTornJournal(t *testing.T) {
	var whole []byte
	var ends []int
	for i := range 4 {
		whole, _ = AppendFrame(whole, record(i))
		ends = append(ends, len(whole))
	}
	path := filepath.Join(t.TempDir(), "acts")
	for cut := range len(whole) + 1 {
		if err := os.WriteFile(path, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		j, truncated, err := Open(path, 1<<20, 1)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		var want []Record
		kept := 0
		for i, end := range ends {
			if end <= cut {
				want, kept = append(want, record(i)), end
			}
		}
		if truncated != int64(cut-kept) {
			t.Errorf("cut at %d: %d bytes truncated, want %d", cut, truncated, cut-kept)
		}
		if err := errors.Join(j.Write(record(9)), j.Close()); err != nil {
			t.Fatal(err)
		}
		content, _ := os.ReadFile(path)
		got, damage := Parse(path, content)
		if d := cmp.Diff(append(want, record(9)), got); d != "" || len(damage) > 0 {
			t.Errorf("cut at %d: %s %v", cut, d, damage)
		}
	}
}

// The part of a record that a failed write leaves on a full disk is truncated before the next write, and a file that could not be opened
// after a rotation is opened by a later write.
func TestWriteAfterFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "acts")
	j, _, err := Open(path, 1<<20, 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Write(record(1)); err != nil {
		t.Fatal(err)
	}
	if _, err := j.file.WriteString("half a rec"); err != nil {
		t.Fatal(err)
	}
	j.torn = true
	if err := j.Write(record(2)); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(j.rotate(), os.Mkdir(path, 0o700)); err != nil {
		t.Fatal(err)
	}
	if err := j.Write(record(3)); err == nil {
		t.Error("Write to a directory succeeded")
	}
	if err := errors.Join(os.Remove(path), j.Write(record(4)), j.Close()); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string][]Record{path + ".1": {record(1), record(2)}, path: {record(4)}} {
		content, _ := os.ReadFile(name)
		got, damage := Parse(name, content)
		if d := cmp.Diff(want, got); d != "" || len(damage) > 0 {
			t.Errorf("%s: %s %v", name, d, damage)
		}
	}
}

// A damaged record is reported with its file and offset, and the other records are still read.
func TestDamage(t *testing.T) {
	var b []byte
	for i := range 3 {
		b, _ = AppendFrame(b, record(i))
	}
	first, _ := AppendFrame(nil, record(0))
	firstTwo, _ := AppendFrame(first, record(1))
	flipped := append([]byte(nil), b...)
	flipped[len(first)+20] ^= 1
	for _, c := range []struct {
		name    string
		content []byte
		records int
		want    string
	}{
		{"whole", b, 3, ""},
		{"torn", b[:len(b)-1], 2, fmt.Sprintf("j: at byte %d: the journal ends inside a record", len(firstTwo))},
		{"flipped", flipped, 2, fmt.Sprintf("j: at byte %d: a record's checksum", len(first))},
		{"foreign", []byte("{\"a\": 1}\n{\"b\": 2}\n"), 0, "j: at byte 0: no journal"},
		{"empty", nil, 0, ""},
	} {
		got, damage := Parse("j", c.content)
		message := ""
		if len(damage) > 0 {
			message = damage[0].Error()
		}
		if len(got) != c.records || c.want == "" && message != "" || !strings.Contains(message, c.want) {
			t.Errorf("%s: %d records, %q; want %d, %q", c.name, len(got), message, c.records, c.want)
		}
	}
	path := filepath.Join(t.TempDir(), "foreign")
	if err := os.WriteFile(path, []byte("{\"a\": 1}\n{\"b\": 2}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, 1<<20, 1); !errors.Is(err, ErrForeign) {
		t.Errorf("opening a foreign file: got error %v, want ErrForeign", err)
	}
	if content, _ := os.ReadFile(path); len(content) != 18 {
		t.Error("a foreign file was changed")
	}
}

// Full files are rotated, and the oldest rotated files are removed.
func TestRotation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "acts")
	frame, _ := AppendFrame(nil, record(0))
	j, _, err := Open(path, int64(2*len(frame)+20), 2)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 9 {
		r := record(0)
		r.At = int64(i)
		if err := j.Write(r); err != nil {
			t.Fatal(err)
		}
	}
	_ = j.Close()
	var at []int64
	for _, name := range []string{path + ".2", path + ".1", path} {
		content, err := os.ReadFile(name)
		records, damage := Parse(name, content)
		if err != nil || len(damage) > 0 {
			t.Errorf("%s: %v %v", name, err, damage)
		}
		for _, r := range records {
			at = append(at, r.At)
		}
	}
	if d := cmp.Diff([]int64{4, 5, 6, 7, 8}, at); d != "" {
		t.Error(d)
	}
}

func FuzzParse(f *testing.F) {
	b, _ := AppendFrame(nil, record(1))
	b, _ = AppendFrame(b, record(2))
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Add([]byte("text"))
	f.Fuzz(func(t *testing.T, b []byte) {
		records, damage := Parse("f", b)
		var encoded []byte
		for _, r := range records {
			next, err := AppendFrame(encoded, r)
			if err != nil {
				t.Fatal(err)
			}
			encoded = next
		}
		if got, newDamage := Parse("f", encoded); len(newDamage) > 0 || cmp.Diff(records, got, cmpopts.EquateEmpty()) != "" {
			t.Fatalf("records changed by encoding and parsing; damage: %v", newDamage)
		}
		for _, damaged := range damage {
			if damaged.Offset < 0 || damaged.Offset >= int64(len(b)) {
				t.Fatalf("damage at offset %d of %d bytes", damaged.Offset, len(b))
			}
		}
	})
}

func TestMerge(t *testing.T) {
	s := int64(time.Second)
	act := func(at int64, instance string, kind Act, change func(*Record)) Record {
		r := Record{At: at * s, Instance: instance, Build: "b1", Config: "c1", Act: kind}
		if change != nil {
			change(&r)
		}
		return r
	}
	list := func(token, seq uint64) func(*Record) { return func(r *Record) { r.Token, r.Sequence = token, seq } }
	primary := func(server string) func(*Record) { return func(r *Record) { r.Group, r.Server = 2, server } }
	config := func(digest string) func(*Record) { return func(r *Record) { r.Config = digest } }
	report := Merge([]Record{
		// The records are ordered by journal, not by time.
		act(0, "a", Started, nil), act(1, "a", ListAnnounced, list(5, 1)), act(10, "a", ListAnnounced, list(5, 2)), act(11, "a", PrimaryAdopted, primary("p")),
		act(20, "a", ConfigApplied, config("c2")), act(30, "a", ListAnnounced, list(5, 3)), act(40, "a", Ended, config("c2")),
		act(0, "b", Started, nil), act(2, "b", ListApplied, list(5, 1)), act(12, "b", ListApplied, list(5, 2)), act(12, "b", PrimaryAdopted, primary("q")),
		act(15, "b", PrimaryAdopted, primary("p")), act(22, "b", ConfigApplied, config("c2")), act(25, "b", LeaseHeld, list(9, 0)), act(26, "b", ListAnnounced, list(9, 1)),
		act(0, "c", Started, nil), act(2, "c", ListApplied, list(5, 1)), act(28, "c", ListApplied, list(9, 1)), act(50, "c", Refused, list(5, 3)),
	}, Limits{Grace: 5 * time.Second})
	want := []Straggler{
		{"c", "list", 10 * s, 28 * s, "5.1", "5.2"},
		{"c", "config", 20 * s, 0, "c1", "c2"},
	}
	// a, the old leader, acts with token 5 at 30 s, and does not apply 9.1 in the 14 s until its end.
	want = append(want, Straggler{"a", "list", 26 * s, 0, "5.3", "9.1"})
	if d := cmp.Diff(want, report.Stragglers); d != "" {
		t.Error(d)
	}
	if len(report.OldTokens) != 1 || report.OldTokens[0].Record.At != 30*s || report.OldTokens[0].Newer.Token != 9 {
		t.Errorf("acts with old tokens: %+v", report.OldTokens)
	}
	if d := cmp.Diff([]Disagreement{{Group: 2, InstanceA: "a", InstanceB: "b", PrimaryA: "p", PrimaryB: "q", From: 12 * s, To: 15 * s}}, report.Disagreements); d != "" {
		t.Error(d)
	}
	killed := Merge([]Record{act(0, "a/1", Started, nil), act(1, "b/1", Started, nil), act(5, "a/2", Started, nil)}, Limits{})
	if last := killed.VersionCounts[len(killed.VersionCounts)-1]; last.Poolers != 2 {
		t.Errorf("%d live poolers after one was killed and restarted, want 2", last.Poolers)
	}
	if n := len(report.VersionCounts); n == 0 || report.VersionCounts[n-1].Poolers != 2 || report.VersionCounts[2].Poolers != 3 {
		t.Errorf("version counts: %+v", report.VersionCounts)
	}
}

// The grace of an instance that starts after others have applied a newer list begins when the instance starts.
func TestGraceBeginsWithInstance(t *testing.T) {
	s := int64(time.Second)
	list := func(at int64, instance string, act Act, sequence uint64) Record {
		return Record{At: at * s, Instance: instance, Build: "b1", Config: "c1", Act: act, Token: 5, Sequence: sequence}
	}
	started := func(at int64, instance string) Record {
		return Record{At: at * s, Instance: instance, Build: "b1", Config: "c1", Act: Started}
	}
	report := Merge([]Record{
		started(0, "a/1"), list(1, "a/1", ListAnnounced, 1), list(10, "a/1", ListAnnounced, 2),
		started(13, "b/2"), list(17, "b/2", ListApplied, 2),
		started(14, "c/2"), list(20, "c/2", ListApplied, 2),
	}, Limits{Grace: 5 * time.Second})
	want := []Straggler{{"c/2", "list", 10 * s, 20 * s, "5.1", "5.2"}}
	if d := cmp.Diff(want, report.Stragglers); d != "" {
		t.Error(d)
	}
}

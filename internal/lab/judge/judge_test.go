package judge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestJudge(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	requests := []Request{
		{Pooler: 0, BeganAt: at(0), EndedAt: at(1), Outcome: Served},
		{Pooler: 0, BeganAt: at(1), EndedAt: at(2), Outcome: Refused},
		{Pooler: 1, BeganAt: at(1), EndedAt: at(2), Outcome: Failed},
		{Pooler: 1, BeganAt: at(4), EndedAt: at(5), Outcome: Broken, Cause: "EOF"},  // pooler 1 killed at 4.5
		{Pooler: 2, BeganAt: at(4), EndedAt: at(9), Outcome: Silent, Cause: "late"}, // pooler 2 stopped from 6 and still
		{Pooler: 0, BeganAt: at(4), EndedAt: at(5), Outcome: Broken, Cause: "EOF"},  // pooler 0 was up: lost
		{Pooler: 1, BeganAt: at(7), EndedAt: at(8), Outcome: Silent, Cause: "late"}, // after pooler 1's restart: lost
	}
	outages := []Outage{{Pooler: 1, From: at(4).Add(time.Second / 2), To: at(6)}, {Pooler: 2, From: at(6)}}
	got := Judge(requests, outages, 1)
	want := Verdict{Served: 1, Refused: 1, Failed: 1, Excused: 2, Lost: 2, Overlaps: 1}
	if d := cmp.Diff(want, got, cmpopts.IgnoreFields(Verdict{}, "Broken")); d != "" {
		t.Error(d)
	}
	if len(got.Broken) != 2 {
		t.Errorf("broken %q, want lost and overlaps", got.Broken)
	}
	if clean := Judge(requests[:3], nil, 0); len(clean.Broken) != 0 {
		t.Errorf("broken %q, want none", clean.Broken)
	}
}

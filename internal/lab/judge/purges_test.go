package judge

import (
	"testing"
	"time"
)

func TestPurges(t *testing.T) {
	due := time.Unix(1000, 0)
	at := func(s float64) time.Time { return due.Add(time.Duration(s * float64(time.Second))) }
	noted := []Noted{{0, "c", due, at(0.1)}, {1, "c", due, at(3)}, {2, "c", due, at(0.2)}, {2, "c", due, at(4)}, {3, "old", at(1), at(1)}}
	made := func(pooler int, began, when float64) Request {
		return Request{Pooler: pooler, BeganAt: at(began), MadeAt: at(when).UnixNano()}
	}
	requests := []Request{made(0, 1, 0.5), made(0, -1, -2), made(1, 0.5, -0.5), made(3, 2, 0.5), made(4, 1, -3), {Pooler: 0, BeganAt: at(1)}}
	// Poolers 0 to 2 are a site, 3 to 5 another, of which only one noted a purge of a plan that was out of force.
	out, broken := Purges(noted, requests, func(p int) int { return p / 3 }, []int{3, 3})
	if len(out) != 2 || len(broken) != 2 {
		t.Fatalf("%+v %q", out, broken)
	}
	if c := out[0]; c.Poolers != 3 || c.InTime != 2 || c.Repeated != 1 || c.Stale != 1 || c.First != 100*time.Millisecond || c.Last != 4*time.Second {
		t.Errorf("%+v", c)
	}
	if out[1].Stale != 0 {
		t.Errorf("%+v", out[1])
	}
}

package dispatch

import (
	"testing"
	"time"

	"threadsail/internal/policy"
)

// The longest send of the last seconds counts, and of the list that was heard latest for the length of a grace.
func TestSpare(t *testing.T) {
	const ms, grace = time.Millisecond, 250 * time.Millisecond
	now := 1000 * time.Second
	var s drainReserve
	for _, step := range []struct {
		after, send, late, want time.Duration
	}{
		{send: 3 * ms, want: 3 * ms},
		{send: 80 * ms, want: 80 * ms},
		{send: ms, want: 80 * ms},
		{after: sendMemory, send: 5 * ms, want: 80 * ms},
		{after: sendMemory, want: 5 * ms},
		{after: 2 * sendMemory, want: 0},
		{late: 40 * ms, want: 40 * ms},
		{after: grace / 2, late: 10 * ms, want: 40 * ms},
		{after: grace / 2, late: 10 * ms, want: 10 * ms},
		{after: grace, want: 0},
	} {
		now += step.after
		if step.send > 0 {
			s.observeSend(now, now-step.send)
		}
		if step.late > 0 {
			s.observeListDelay(now, now-step.late, grace)
		}
		if got := s.required(now); got != step.want {
			t.Errorf("after %+v %v is kept", step, got)
		}
	}
}

// drained tells whether an attempt that waits for its connection still fits right after its server was listed as draining.
func drained(c *Dispatcher, w *waiting, late time.Duration) bool {
	fits := make(chan bool)
	c.loop.Post(func() {
		c.ApplyListNotifiedAt(policy.ListDelta, []Member{{Name: "s", Addr: "s", State: policy.Draining}}, c.loop.Now()-late)
		fits <- w.StillAllowed()
	})
	return <-fits
}

// A drain that may have counted as told for as long as its grace leaves none of it, and sends that take as long as the
// grace lasts don't begin in it.
func TestGraceIsSpared(t *testing.T) {
	for name, c := range map[string]struct {
		late, send time.Duration
		want       bool
	}{
		"told now":        {want: true},
		"told long ago":   {late: 150 * time.Millisecond},
		"sends take long": {send: 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			core, b := start(t)
			if c.want { // however late this machine is
				set := core.Settings()
				set.DrainGracePeriod = time.Minute
				retuned := make(chan error)
				core.loop.Post(func() { retuned <- core.Retune(set, core.admission.maxOpen, core.probeTimeout) })
				if err := <-retuned; err != nil {
					t.Fatal(err)
				}
			}
			_, first := submit(core, b, 2*time.Second)
			if c.send > 0 {
				time.Sleep(c.send) // between the choice and the last byte
				core.loop.Post(first.Sent)
			}
			_, w := submit(core, b, 2*time.Second)
			if got := drained(core, w, c.late); got != c.want {
				t.Errorf("the attempt fits: %v", got)
			}
		})
	}
}

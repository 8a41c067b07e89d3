package dispatch

import (
	"testing"
	"time"

	"threadsail/internal/policy"
)

// The longest send of the last seconds counts, and for the length of a grace period the longest delay of a list.
func TestDrainReserve(t *testing.T) {
	const ms, grace = time.Millisecond, 250 * time.Millisecond
	now := 1000 * time.Second
	var s drainReserve
	for _, step := range []struct {
		after, send, late, want time.Duration
	}{
		{send: 3 * ms, want: 3 * ms},
		{send: 80 * ms, want: 80 * ms},
		{send: ms, want: 80 * ms},
		{after: sendWindow, send: 5 * ms, want: 80 * ms},
		{after: sendWindow, want: 5 * ms},
		{after: 2 * sendWindow, want: 0},
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

// allowedAfterDrain reports whether an attempt that waits for its connection is still allowed right after its server was
// listed as draining.
func allowedAfterDrain(d *Dispatcher, w *fakeCall, late time.Duration) bool {
	fits := make(chan bool)
	d.loop.Post(func() {
		d.ApplyListNotifiedAt(policy.ListDelta, []Member{{Name: "s", Address: "s", State: policy.Draining}}, d.loop.Now()-late)
		fits <- w.StillAllowed()
	})
	return <-fits
}

// A drain that may have been announced a grace period ago leaves none of it, and sends that take as long as the grace
// period do not begin in it.
func TestGracePeriodIsReserved(t *testing.T) {
	for name, c := range map[string]struct {
		late, send time.Duration
		want       bool
	}{
		"announced now":      {want: true},
		"announced long ago": {late: 150 * time.Millisecond},
		"sends take long":    {send: 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			d, b := startDispatcher(t)
			if c.want { // however late this machine is
				set := d.Settings()
				set.DrainGracePeriod = time.Minute
				retuned := make(chan error)
				d.loop.Post(func() { retuned <- d.UpdateSettings(set, d.admission.maxOpen, d.probeTimeout) })
				if err := <-retuned; err != nil {
					t.Fatal(err)
				}
			}
			_, first := submit(d, b, 2*time.Second)
			if c.send > 0 {
				time.Sleep(c.send) // between the choice and the last byte
				d.loop.Post(first.Sent)
			}
			_, w := submit(d, b, 2*time.Second)
			if got := allowedAfterDrain(d, w, c.late); got != c.want {
				t.Errorf("the attempt is allowed: %v", got)
			}
		})
	}
}

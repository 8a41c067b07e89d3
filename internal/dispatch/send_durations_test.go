package dispatch

import (
	"testing"
	"time"

	"threadsail/internal/policy"
)

// The longest recent send is that of the current and the previous window.
func TestSendDurations(t *testing.T) {
	const ms = time.Millisecond
	now := 1000 * time.Second
	var durations sendDurations
	for _, step := range []struct {
		after, send, want time.Duration
	}{
		{send: 3 * ms, want: 3 * ms},
		{send: 80 * ms, want: 80 * ms},
		{send: ms, want: 80 * ms},
		{after: sendWindow, send: 5 * ms, want: 80 * ms},
		{after: sendWindow, want: 5 * ms},
		{after: 2 * sendWindow, want: 0},
	} {
		now += step.after
		if step.send > 0 {
			durations.observe(now, now-step.send)
		}
		if got := durations.longest(now); got != step.want {
			t.Errorf("after %+v: longest %v, want %v", step, got, step.want)
		}
	}
}

// allowedAfterDrain lists the server as draining, announced listDelay ago, and reports whether an attempt that waits for its
// connection is still allowed.
func allowedAfterDrain(d *Dispatcher, call *fakeCall, listDelay time.Duration) bool {
	allowed := make(chan bool)
	d.loop.Post(func() {
		d.ApplyListNotifiedAt(policy.ListDelta, []Member{{Name: "s", Address: "s", State: policy.Draining}}, d.loop.Now()-listDelay)
		allowed <- call.StillAllowed()
	})
	return <-allowed
}

// If a drain may have been announced a whole grace period ago, no attempt may be sent. If sends have recently taken as long as
// the grace period, none may start within it.
func TestGracePeriodIsReserved(t *testing.T) {
	for name, test := range map[string]struct {
		listDelay, send time.Duration
		want            bool
	}{
		"announced now":      {want: true},
		"announced long ago": {listDelay: 150 * time.Millisecond},
		"sends take long":    {send: 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			d, backend := startDispatcher(t)
			if test.want { // a long grace period, so that a slow test machine doesn't exceed it
				settings := d.Settings()
				settings.DrainGracePeriod = time.Minute
				updated := make(chan error)
				d.loop.Post(func() { updated <- d.UpdateSettings(settings, d.admission.maxOpen, d.probeTimeout) })
				if err := <-updated; err != nil {
					t.Fatal(err)
				}
			}
			_, first := submit(d, backend, 2*time.Second)
			if test.send > 0 {
				time.Sleep(test.send) // time between the choice of the server and the last byte
				d.loop.Post(first.Sent)
			}
			_, call := submit(d, backend, 2*time.Second)
			if got := allowedAfterDrain(d, call, test.listDelay); got != test.want {
				t.Errorf("the attempt is allowed: %v, want %v", got, test.want)
			}
		})
	}
}

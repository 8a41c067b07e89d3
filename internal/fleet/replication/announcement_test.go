package replication

import (
	"testing"
	"time"
)

// An announcement is as old as the older of the two clocks says, whatever the clock here does.
func TestConfirmationTime(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ confirmedAt, age, want time.Duration }{
		{999 * time.Second, time.Second, time.Second},
		{990 * time.Second, time.Second, 10 * time.Second},     // delayed
		{2000 * time.Second, 3 * time.Second, 3 * time.Second}, // the clock here is behind
		{2000 * time.Second, -time.Second, 0},
	} {
		if got := now.Sub(ConfirmationTime(now, int64(c.confirmedAt), c.age)); got != c.want {
			t.Errorf("%+v: it is %v old", c, got)
		}
	}
}

package replication

import (
	"testing"
	"time"
)

// ConfirmationTime uses the larger of the sender's age and the difference of the wall clocks, whether the message was delayed or the
// receiver's clock is slow.
func TestConfirmationTime(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct{ confirmedAt, age, want time.Duration }{
		{999 * time.Second, time.Second, time.Second},
		{990 * time.Second, time.Second, 10 * time.Second},     // the message was delayed
		{2000 * time.Second, 3 * time.Second, 3 * time.Second}, // the receiver's clock is slow
		{2000 * time.Second, -time.Second, 0},
	} {
		if got := now.Sub(ConfirmationTime(now, int64(test.confirmedAt), test.age)); got != test.want {
			t.Errorf("%+v: got an age of %v", test, got)
		}
	}
}

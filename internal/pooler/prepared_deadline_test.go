package pooler_test

import (
	"sync/atomic"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/protocol/comment"
)

// A prepared statement must not tell a server the deadline of its PREPARE when less of it is left: a server would go on with a statement
// for which nobody waits.
func TestPreparedStatementTellsTheTimeLeft(t *testing.T) {
	const (
		firstAttempt = 400 * time.Millisecond
		slack        = 150 * time.Millisecond // by which a server may be told more than is left
	)
	for name, oldServers := range map[string]bool{"mysql": true, "mysql to postgres": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := standin.NewMixedFleet(t, true, func(int) bool { return oldServers }, standin.AllowLateHost, "p", "r")
			var attempts atomic.Int32
			for _, server := range f.Servers {
				server.Do(func(standin.Seen) standin.Act {
					if attempts.Add(1) > 1 {
						return standin.Answer
					}
					time.Sleep(firstAttempt)
					return standin.Fault
				})
			}
			client := dial(t, poolerProcess(t, f)).(*standin.MySQL)
			statement := prepared(t, client, "SELECT val FROM state WHERE uid = ? /* id=e1,c=any,d=1900,cluster=0 */")
			sent := time.Now()
			expectServed(t, standin.Execute(statement, "u1"))
			told := 0
			for _, server := range f.Servers {
				for _, seen := range server.Seen() {
					parsed, err := comment.Parse(seen.Text)
					if left := sent.Add(1900 * time.Millisecond).Sub(seen.At); err != nil || parsed.Patience > left+slack {
						t.Errorf("a server was told %v where %v are left, %v", parsed.Patience, left, err)
					}
					told++
				}
			}
			if told < 2 {
				t.Errorf("%d attempts were made, want a second one", told)
			}
		})
	}
}

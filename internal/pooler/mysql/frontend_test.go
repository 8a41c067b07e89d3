package mysql

import "testing"

// While two processes share a socket, a KILL may reach the one that does not have the client. It must meet no other client's thread ID there.
func TestThreadIDsOfProcessesDiffer(t *testing.T) {
	_, _, first := connectSession(t)
	_, _, second := connectSession(t)
	if first.threadID == second.threadID {
		t.Errorf("the first clients of two frontends both have the thread ID %d", first.threadID)
	}
}

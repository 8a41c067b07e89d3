package transport

import (
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// A connection that nobody has accepted shows, so that its listener is not closed over it.
func TestPendingConnectionsShow(t *testing.T) {
	std, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	polled, err := netpoll.ConvertListener(std)
	if err != nil {
		t.Fatal(err)
	}
	ln := &Listener{listener: &ownListener{polled, std}}
	defer ln.Close()
	if ln.Pending() {
		t.Error("one shows before any has come")
	}
	c, err := net.Dial("tcp", ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for late := time.Now().Add(20 * time.Second); !ln.Pending(); { // the handshake's last packet may be on its way
		if time.Now().After(late) {
			t.Fatal("one that waits does not show")
		}
	}
	accepted, err := polled.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if ln.Pending() {
		t.Error("one that is accepted still shows")
	}
}

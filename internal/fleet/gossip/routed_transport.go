package gossip

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// routedTransport is a transport that reaches peers at their configured addresses instead of those that they advertise.
type routedTransport struct {
	*memberlist.NetTransport
	addresses map[string]string // by name of the peer
}

// newRoutedTransport returns a routedTransport over t.
func newRoutedTransport(t *memberlist.NetTransport, peers []Peer) *routedTransport {
	addresses := make(map[string]string, len(peers))
	for _, peer := range peers {
		addresses[peer.Name] = peer.Addr
	}
	return &routedTransport{NetTransport: t, addresses: addresses}
}

// resolve replaces the address of a peer with the configured one.
func (t *routedTransport) resolve(a memberlist.Address) memberlist.Address {
	if addr, ok := t.addresses[a.Name]; ok {
		a.Addr = addr
	}
	return a
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *routedTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.NetTransport.WriteToAddress(b, t.resolve(a))
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *routedTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialAddressTimeout(t.resolve(a), timeout)
}

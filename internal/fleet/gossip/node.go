// Package gossip keeps a pooler's view of which poolers of the fleet are alive, with their versions, and carries messages
// between them, by hashicorp/memberlist (SWIM). It decides nothing: what a message means is the caller's affair.
//
// A pooler names some others in the operators' file, each at the address at which it is reached from here; the rest come by
// gossip, at the addresses that they advertise. Where the file names a pooler that address is used for it, whatever it
// advertises: hosts behind other addresses, tunnels, a laboratory's relays.
//
// A Node owns its listeners and two goroutines, which end with Close. memberlist calls the node's delegate, and through it
// Options.OnMessage and the handlers of a Bus, on goroutines of its own: they must not block. Every exported method is safe
// for use by several goroutines.
package gossip

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"threadsail/internal/fleet/traffic"
)

// Peer is a pooler by its name and the address at which it is reached from here, TCP and UDP.
type Peer struct{ Name, Addr string }

// Member is a pooler that is considered alive.
type Member struct {
	Name string
	Meta Meta
}

// Options are a node's settings.
type Options struct {
	Name      string
	Listen    string // host:port, TCP and UDP
	Advertise string // host:port that others reach the node at; empty: as Listen
	Peers     []Peer
	// OnMessage takes a message of another pooler that is not of the Bus. It is called on memberlist's goroutines and must not
	// block; the bytes are its own.
	OnMessage func(message []byte)
	Log       zerolog.Logger
	Traffic   *traffic.Counter // counts the traffic of the node's sockets; nil: nothing does
}

const (
	rejoinInterval       = 5 * time.Second  // named poolers that are not considered alive are called again: a healed partition
	pushPullInterval     = 10 * time.Second // complete views are exchanged with one other pooler
	probeInterval        = time.Second
	probeTimeout         = 500 * time.Millisecond
	tcpTimeout           = 2 * time.Second
	gossipInterval       = 200 * time.Millisecond // a message reaches hundreds in four rounds or so; more often, hundreds on one machine starve it
	leaveTimeout         = 200 * time.Millisecond
	retransmitMultiplier = 3 // times log10 of the fleet: how often a message is passed on
)

// Node is one pooler's part in the gossip.
type Node struct {
	options    Options
	memberlist *memberlist.Memberlist
	// runningMemberlist is memberlist, for its own goroutines that run before Create returns it.
	runningMemberlist atomic.Pointer[memberlist.Memberlist]
	broadcasts        *memberlist.TransmitLimitedQueue
	bus               *Bus
	shutdown          chan struct{}  // closed by Close
	goroutines        sync.WaitGroup // all that the node has started

	mu          sync.Mutex // guards the fields below
	meta        Meta
	metaChanged bool                        // meta has not been published yet
	alive       map[string]*memberlist.Node // copies: memberlist's own change while they are read
}

// ErrUnknownMember says that a pooler is not considered alive.
var ErrUnknownMember = errors.New("gossip: no such pooler is alive")

// Start listens and begins to join the fleet; it does not wait for the others. Errors are of the addresses. The caller owes
// Close.
func Start(o Options, meta Meta) (*Node, error) {
	n := &Node{options: o, meta: meta, alive: map[string]*memberlist.Node{}, shutdown: make(chan struct{})}
	n.bus = newBus(n)
	n.broadcasts = &memberlist.TransmitLimitedQueue{RetransmitMult: retransmitMultiplier, NumNodes: n.memberCount}
	config, err := n.memberlistConfig()
	if err != nil {
		return nil, err
	}
	if n.memberlist, err = memberlist.Create(config); err != nil {
		_ = config.Transport.Shutdown()
		return nil, fmt.Errorf("gossip: start: %w", err)
	}
	n.runningMemberlist.Store(n.memberlist)
	n.goroutines.Go(n.maintain)
	n.goroutines.Go(n.bus.broadcastPending)
	return n, nil
}

// memberlistConfig opens the transport and returns memberlist's settings with it.
func (n *Node) memberlistConfig() (*memberlist.Config, error) {
	host, port, err := hostPort(n.options.Listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: listen: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name = n.options.Name
	c.Logger = nil
	c.LogOutput = logWriter{n.options.Log}
	c.BindAddr = host
	c.PushPullInterval = pushPullInterval
	c.TCPTimeout = tcpTimeout
	c.GossipInterval = gossipInterval
	c.EnableCompression = false // of packets of some hundred bytes, for more processor time than sending them takes
	c.ProbeInterval = probeInterval
	c.ProbeTimeout = probeTimeout
	c.Delegate = (*delegate)(n)
	c.Events = (*delegate)(n)
	c.DNSConfigPath = ""
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host},
		BindPort:  port,
		Logger:    newLogger(c.LogOutput),
	})
	if err != nil {
		return nil, fmt.Errorf("gossip: listen: %w", err)
	}
	c.BindPort = transport.GetAutoBindPort()
	c.AdvertiseAddr, c.AdvertisePort = host, c.BindPort
	if n.options.Advertise != "" {
		if c.AdvertiseAddr, c.AdvertisePort, err = hostPort(n.options.Advertise); err != nil {
			_ = transport.Shutdown()
			return nil, fmt.Errorf("gossip: advertise: %w", err)
		}
	}
	c.Transport = newCountingTransport(newRoutedTransport(transport, n.options.Peers), n.options.Traffic)
	return c, nil
}

// memberCount is how many poolers are considered alive, as memberlist counts them.
func (n *Node) memberCount() int {
	if running := n.runningMemberlist.Load(); running != nil {
		return running.NumMembers()
	}
	return 1
}

// Bus is the node's bus.Bus.
func (n *Node) Bus() *Bus { return n.bus }

// Members are the poolers considered alive, this one among them, by name.
func (n *Node) Members() []Member {
	var members []Member
	for _, node := range n.nodes() {
		m := Member{Name: node.Name}
		_ = json.Unmarshal(node.Meta, &m.Meta) // that of another build may be unreadable: its name is what counts
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

func (n *Node) nodes() []*memberlist.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.alive))
}

// Broadcast sends a message to all poolers, nearly surely but not surely: a datagram to each that is considered alive, and
// gossip for those that are not known here or lost it. Gossip alone is late just when it matters: memberlist sends its own
// messages about members that come and go first. A newer message of one topic replaces an older one that is still being passed
// on. A broadcast takes some 10 µs a member, far more on a busy machine; nothing is sent from deadline on. complete says that
// the deadline was not reached.
func (n *Node) Broadcast(topic string, message []byte, deadline time.Time) (complete bool) {
	if !time.Now().Before(deadline) {
		return false
	}
	n.broadcasts.QueueBroadcast(broadcast{topic, message})
	for _, node := range n.nodes() {
		if !time.Now().Before(deadline) {
			return false
		}
		if node.Name != n.options.Name {
			_ = n.memberlist.SendBestEffort(node, message)
		}
	}
	return true
}

// Send sends a message to one pooler over TCP. It waits for the network, some seconds at most.
func (n *Node) Send(name string, message []byte) error {
	node := n.node(name)
	if node == nil {
		return fmt.Errorf("%w: %s", ErrUnknownMember, name)
	}
	return n.memberlist.SendReliable(node, message)
}

// SendBestEffort sends one pooler a datagram, which may be lost.
func (n *Node) SendBestEffort(name string, message []byte) {
	if node := n.node(name); node != nil {
		_ = n.memberlist.SendBestEffort(node, message)
	}
}

// node is the pooler of a name; nil: it is not considered alive.
func (n *Node) node(name string) *memberlist.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.alive[name]
}

// Close tells the fleet that this pooler leaves, and ends the node.
func (n *Node) Close() {
	close(n.shutdown)
	n.goroutines.Wait()
	_ = n.memberlist.Leave(leaveTimeout)
	_ = n.memberlist.Shutdown()
}

// maintain joins named poolers that are not considered alive, and publishes this pooler's meta, until Close.
func (n *Node) maintain() {
	join := time.NewTimer(0)
	defer join.Stop()
	meta := time.NewTicker(metaCheckInterval)
	defer meta.Stop()
	var publishedAt time.Time
	for {
		select {
		case <-n.shutdown:
			return
		case <-join.C:
			n.joinPeers()
			join.Reset(rejoinInterval)
		case <-meta.C:
			if n.takeMetaChange(publishedAt) {
				publishedAt = time.Now()
				n.publishMeta()
			}
		}
	}
}

// joinPeers calls each named pooler that is not considered alive, on a goroutine of its own: a silent one must not delay the
// others. The goroutines end with the calls, after tcpTimeout at the latest.
func (n *Node) joinPeers() {
	for _, peer := range n.options.Peers {
		if peer.Name == n.options.Name || n.node(peer.Name) != nil {
			continue
		}
		n.goroutines.Go(func() { _, _ = n.memberlist.Join([]string{peer.Name + "/" + peer.Addr}) })
	}
}

func hostPort(addr string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, err
	}
	if net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("%q is no IP address", host)
	}
	port, err = strconv.Atoi(text)
	return host, port, err
}

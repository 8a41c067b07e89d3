// Package gossip maintains a pooler's view of the poolers that are alive, with their versions, and carries messages between
// them. It uses hashicorp/memberlist, which implements SWIM. The package does not interpret the messages.
//
// The fleet's configuration file names some peers of a pooler, each with the address at which this pooler reaches it. A pooler
// learns of the other poolers by gossip, with the addresses that they advertise. The address in the file takes precedence over
// the advertised one, for hosts behind address translation, tunnels or the relays of tests.
//
// A Node owns its listeners and two goroutines, which end with Close. memberlist calls the node's delegate, and through it
// Options.OnMessage and the handlers of a Bus, on its own goroutines; these callbacks must not block. Every exported method is
// safe for concurrent use.
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

// Peer is a pooler with the address, for TCP and UDP, at which this pooler reaches it.
type Peer struct{ Name, Addr string }

// Member is a pooler that is considered alive.
type Member struct {
	Name string
	Meta Meta
}

// Options are the settings of a Node.
type Options struct {
	Name      string
	Listen    string // host:port, TCP and UDP
	Advertise string // host:port at which others reach the node; empty if the same as Listen
	Peers     []Peer
	// OnMessage handles a message of another pooler that was not sent with a Bus. It is called on memberlist's goroutines, must
	// not block, and owns the message.
	OnMessage func(message []byte)
	Log       zerolog.Logger
	Traffic   *traffic.Counter // counts the traffic of the node's sockets, if not nil
}

const (
	rejoinInterval       = 5 * time.Second  // between attempts to join peers that are not considered alive, as after a partition
	pushPullInterval     = 10 * time.Second // between exchanges of the complete view with one other pooler
	probeInterval        = time.Second
	probeTimeout         = 500 * time.Millisecond
	tcpTimeout           = 2 * time.Second
	gossipInterval       = 200 * time.Millisecond // a message reaches hundreds of poolers in about four rounds; with a shorter interval, hundreds on one machine starve it
	leaveTimeout         = 200 * time.Millisecond
	retransmitMultiplier = 3 // a message is sent this many times log10 of the number of poolers
)

// Node is a pooler as a member of the gossip cluster.
type Node struct {
	options    Options
	memberlist *memberlist.Memberlist
	// runningMemberlist is memberlist, for use on memberlist's own goroutines: these run before Create has returned it. It is
	// nil until then.
	runningMemberlist atomic.Pointer[memberlist.Memberlist]
	broadcasts        *memberlist.TransmitLimitedQueue
	bus               *Bus
	shutdown          chan struct{}  // closed by Close
	goroutines        sync.WaitGroup // goroutines started by the node

	mu          sync.Mutex // guards the fields below
	meta        Meta
	metaChanged bool                        // meta has changed since it was last published
	alive       map[string]*memberlist.Node // by name; copies, because memberlist changes its own nodes while they are read
}

// ErrUnknownMember is the error of a message to a pooler that is not considered alive.
var ErrUnknownMember = errors.New("gossip: no such pooler is alive")

// Start opens the listeners and begins to join the fleet, without waiting for other poolers. It returns an error if an address
// can't be used. The caller must call Close.
func Start(options Options, meta Meta) (*Node, error) {
	n := &Node{options: options, meta: meta, alive: map[string]*memberlist.Node{}, shutdown: make(chan struct{})}
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

// memberlistConfig opens the transport and returns the settings of memberlist, which include it.
func (n *Node) memberlistConfig() (*memberlist.Config, error) {
	host, port, err := hostPort(n.options.Listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: listen: %w", err)
	}
	config := memberlist.DefaultLANConfig()
	config.Name = n.options.Name
	config.Logger = nil
	config.LogOutput = logWriter{n.options.Log}
	config.BindAddr = host
	config.PushPullInterval = pushPullInterval
	config.TCPTimeout = tcpTimeout
	config.GossipInterval = gossipInterval
	config.EnableCompression = false // compressing packets of a few hundred bytes takes more CPU time than sending them
	config.ProbeInterval = probeInterval
	config.ProbeTimeout = probeTimeout
	config.Delegate = (*delegate)(n)
	config.Events = (*delegate)(n)
	config.DNSConfigPath = ""
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host},
		BindPort:  port,
		Logger:    newLogger(config.LogOutput),
	})
	if err != nil {
		return nil, fmt.Errorf("gossip: listen: %w", err)
	}
	config.BindPort = transport.GetAutoBindPort()
	config.AdvertiseAddr, config.AdvertisePort = host, config.BindPort
	if n.options.Advertise != "" {
		if config.AdvertiseAddr, config.AdvertisePort, err = hostPort(n.options.Advertise); err != nil {
			_ = transport.Shutdown()
			return nil, fmt.Errorf("gossip: advertise: %w", err)
		}
	}
	config.Transport = newCountingTransport(newRoutedTransport(transport, n.options.Peers), n.options.Traffic)
	return config, nil
}

// memberCount returns the number of poolers that memberlist considers alive.
func (n *Node) memberCount() int {
	if running := n.runningMemberlist.Load(); running != nil {
		return running.NumMembers()
	}
	return 1
}

// Bus returns the bus of the node.
func (n *Node) Bus() *Bus { return n.bus }

// Members returns the poolers considered alive, including this one, sorted by name.
func (n *Node) Members() []Member {
	var members []Member
	for _, node := range n.nodes() {
		member := Member{Name: node.Name}
		_ = json.Unmarshal(node.Meta, &member.Meta) // the meta of another build may be unreadable; the name is still valid
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// nodes returns the poolers considered alive, including this one, in no particular order.
func (n *Node) nodes() []*memberlist.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.alive))
}

// Broadcast sends a message to all other poolers. It sends a datagram to each pooler that is considered alive, and queues the
// message for gossip, which reaches poolers that are not known here or lost the datagram. Delivery is very likely but not
// guaranteed. Gossip alone would be too slow when many poolers join or leave, because memberlist first sends its own messages
// about them. A newer message replaces an older one of the same topic that is still being gossiped. A broadcast takes about
// 10 µs for each member, and far more on a busy machine. It sends no datagrams after the deadline; complete reports whether all
// were sent before.
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

// Send sends a message to one pooler over TCP. It blocks on the network for a few seconds at most. It returns ErrUnknownMember
// if the pooler is not considered alive.
func (n *Node) Send(name string, message []byte) error {
	node := n.node(name)
	if node == nil {
		return fmt.Errorf("%w: %s", ErrUnknownMember, name)
	}
	return n.memberlist.SendReliable(node, message)
}

// SendBestEffort sends a message to one pooler as a datagram, which may be lost. It is dropped if the pooler is not considered
// alive.
func (n *Node) SendBestEffort(name string, message []byte) {
	if node := n.node(name); node != nil {
		_ = n.memberlist.SendBestEffort(node, message)
	}
}

// node returns the pooler with a name, or nil if it is not considered alive.
func (n *Node) node(name string) *memberlist.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.alive[name]
}

// Close announces that this pooler leaves the fleet, and stops the node.
func (n *Node) Close() {
	close(n.shutdown)
	n.goroutines.Wait()
	_ = n.memberlist.Leave(leaveTimeout)
	_ = n.memberlist.Shutdown()
}

// maintain joins the peers that are not considered alive and publishes changes of this pooler's meta, until Close.
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

// joinPeers joins each peer that is not considered alive, on a separate goroutine, because a peer that does not answer must not
// delay the others. The goroutines end after tcpTimeout at the latest.
func (n *Node) joinPeers() {
	for _, peer := range n.options.Peers {
		if peer.Name == n.options.Name || n.node(peer.Name) != nil {
			continue
		}
		n.goroutines.Go(func() { _, _ = n.memberlist.Join([]string{peer.Name + "/" + peer.Addr}) })
	}
}

// hostPort splits an address into an IP address and a port.
func hostPort(addr string) (host string, port int, err error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, err
	}
	if net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("%q is not an IP address", host)
	}
	port, err = strconv.Atoi(portText)
	return host, port, err
}

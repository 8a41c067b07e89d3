// Package peers tells which poolers of the fleet are alive, with their versions, and carries their words to each other, by
// hashicorp/memberlist (SWIM). It decides nothing: what a word means is the caller's affair.
//
// A pooler names some others in the operators' file, each at the address at which it is reached from here; the rest come
// by gossip, at the addresses they advertise. Where the file names a pooler that address is used for it, whatever it
// advertises: hosts behind other addresses, tunnels, a laboratory's relays.
package gossip

import (
	"bytes"
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

	"threadsail/internal/fleet/traffic"
)

// Peer is a pooler by its name and the address at which it is reached from here, TCP and UDP.
type Peer struct{ Name, Addr string }

// Meta is what a pooler tells of itself. Its JSON must stay within memberlist's 512 bytes.
type Meta struct {
	Build    string `json:"build,omitempty"`  // version of the program
	Config   string `json:"config,omitempty"` // digest of its configuration
	Token    uint64 `json:"token,omitempty"`  // of the list in force, as duty.Word
	Sequence uint64 `json:"seq,omitempty"`
}

// Member is a pooler that is held to be alive.
type Member struct {
	Name string
	Meta Meta
}

// Options of a member.
type Options struct {
	Name      string
	Listen    string // host:port, TCP and UDP
	Advertise string // host:port that others reach it at; empty: as Listen
	Peers     []Peer
	// OnMessage takes a message of another pooler that is not of the Bus. It is called on memberlist's goroutines and must not wait; the bytes are its own.
	OnMessage func(text []byte)
	Log       func(string) // nil: nowhere
	// Traffic counts what goes and comes at the member's sockets; nil: nothing does.
	Traffic *traffic.Counter
}

const (
	rejoinInterval       = 5 * time.Second  // named poolers that are not held to be alive are called again: a healed cut
	pushPullInterval     = 10 * time.Second // whole views are exchanged with one other pooler
	probeInterval        = time.Second
	probeTimeout         = 500 * time.Millisecond
	tcpTimeout           = 2 * time.Second
	gossipInterval       = 200 * time.Millisecond // a word reaches hundreds in four rounds or so; more often, hundreds on one machine starve it
	leaveTimeout         = 200 * time.Millisecond
	metaCheckInterval    = 2 * time.Second        // looks for news of the member's own versions
	metaUpdateSpacing    = 200 * time.Millisecond // times the fleet's size: between two of those, each of which all pass on to all
	retransmitMultiplier = 3                      // times log10 of the fleet: how often a word is passed on
)

// Node is one pooler's membership.
type Node struct {
	options           Options
	memberlist        *memberlist.Memberlist
	runningMemberlist atomic.Pointer[memberlist.Memberlist] // list, for goroutines of its own that run before it is returned
	broadcasts        *memberlist.TransmitLimitedQueue
	bus               *Bus
	shutdown          chan struct{}
	goroutines        sync.WaitGroup

	mu          sync.Mutex
	meta        Meta
	metaChanged bool                        // the meta has changed and is not told yet
	alive       map[string]*memberlist.Node // copies: memberlist's own change while they are read
}

// ErrUnknownMember tells that a pooler is not held to be alive.
var ErrUnknownMember = errors.New("peers: no such pooler is alive")

// Start listens and begins to join the fleet; it does not wait for the others. Errors are of the addresses.
func Start(o Options, meta Meta) (*Node, error) {
	host, port, err := hostPort(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	p := &Node{options: o, meta: meta, alive: map[string]*memberlist.Node{}, shutdown: make(chan struct{})}
	p.bus = newBus(p)
	c := memberlist.DefaultLANConfig()
	c.Logger = nil
	c.LogOutput = logWriter(p.log)
	c.Name, c.BindAddr, c.BindPort = o.Name, host, port
	c.PushPullInterval, c.TCPTimeout = pushPullInterval, tcpTimeout
	c.GossipInterval = gossipInterval
	c.EnableCompression = false // of packets of some hundred bytes, for more processor time than sending them takes
	c.ProbeInterval, c.ProbeTimeout = probeInterval, probeTimeout
	c.Delegate, c.Events, c.DNSConfigPath = (*delegate)(p), (*delegate)(p), ""
	nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port,
		Logger: newLogger(c.LogOutput)})
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	c.BindPort = nt.GetAutoBindPort()
	c.AdvertiseAddr, c.AdvertisePort = host, c.BindPort
	if o.Advertise != "" {
		if c.AdvertiseAddr, c.AdvertisePort, err = hostPort(o.Advertise); err != nil {
			_ = nt.Shutdown()
			return nil, fmt.Errorf("peers: advertise: %w", err)
		}
	}
	via := map[string]string{}
	for _, peer := range o.Peers {
		via[peer.Name] = peer.Addr
	}
	c.Transport = newCountingTransport(&routedTransport{NetTransport: nt, addresses: via}, o.Traffic)
	p.broadcasts = &memberlist.TransmitLimitedQueue{RetransmitMult: retransmitMultiplier, NumNodes: func() int {
		if list := p.runningMemberlist.Load(); list != nil {
			return list.NumMembers()
		}
		return 1
	}}
	if p.memberlist, err = memberlist.Create(c); err != nil {
		_ = c.Transport.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.runningMemberlist.Store(p.memberlist)
	p.goroutines.Go(p.maintain)
	p.goroutines.Go(p.bus.broadcastPending)
	return p, nil
}

// Members are the poolers held to be alive, this one among them, by name.
func (p *Node) Members() []Member {
	var out []Member
	for _, n := range p.nodes() {
		m := Member{Name: n.Name}
		_ = json.Unmarshal(n.Meta, &m.Meta) // of another build: its name is what counts
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (p *Node) nodes() []*memberlist.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.alive))
}

// Broadcast passes a word on to all, nearly surely but not surely: a datagram to each that is held to be alive, and gossip for
// those that are not known here or lost it. Gossip alone is late just when it matters: memberlist puts its own news of
// members that come and go first. A newer word of one topic takes the place of an older one that is still being passed on.
// It takes some 10 us a member, far more on a busy machine; nothing is sent from until on. all tells that it was not reached.
func (p *Node) Broadcast(topic string, text []byte, until time.Time) (all bool) {
	if !time.Now().Before(until) {
		return false
	}
	p.broadcasts.QueueBroadcast(broadcast{topic, text})
	for _, n := range p.nodes() {
		if !time.Now().Before(until) {
			return false
		}
		if n.Name != p.options.Name {
			_ = p.memberlist.SendBestEffort(n, text)
		}
	}
	return true
}

// Send gives one pooler a message over TCP. It waits for the network, some seconds at most.
func (p *Node) Send(name string, text []byte) error {
	for _, n := range p.nodes() {
		if n.Name == name {
			return p.memberlist.SendReliable(n, text)
		}
	}
	return fmt.Errorf("%w: %s", ErrUnknownMember, name)
}

// SendBestEffort gives one pooler a datagram, which may be lost.
func (p *Node) SendBestEffort(name string, text []byte) {
	p.mu.Lock()
	n := p.alive[name]
	p.mu.Unlock()
	if n != nil {
		_ = p.memberlist.SendBestEffort(n, text)
	}
}

// SetMeta changes what this pooler tells of itself. The fleet hears of it within some seconds.
func (p *Node) SetMeta(meta Meta) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.metaChanged = p.metaChanged || p.meta != meta
	p.meta = meta
}

// Close tells the fleet that this pooler leaves, and ends.
func (p *Node) Close() {
	close(p.shutdown)
	p.goroutines.Wait()
	_ = p.memberlist.Leave(leaveTimeout)
	_ = p.memberlist.Shutdown()
}

// maintain joins named poolers that are not alive here, and tells of this one's news.
func (p *Node) maintain() {
	join, news := time.NewTimer(0), time.NewTicker(metaCheckInterval)
	defer join.Stop()
	defer news.Stop()
	var told time.Time // this member's news
	for {
		select {
		case <-p.shutdown:
			return
		case <-join.C:
			alive := p.nodes()
			for _, peer := range p.options.Peers {
				if peer.Name == p.options.Name || slices.ContainsFunc(alive, func(n *memberlist.Node) bool { return n.Name == peer.Name }) {
					continue
				}
				p.goroutines.Go(func() { _, _ = p.memberlist.Join([]string{peer.Name + "/" + peer.Addr}) }) // a silent one must not delay the others
			}
			join.Reset(rejoinInterval)
		case <-news.C:
			p.mu.Lock()
			due := p.metaChanged && time.Since(told) >= time.Duration(len(p.alive))*metaUpdateSpacing
			if due {
				p.metaChanged, told = false, time.Now()
			}
			p.mu.Unlock()
			if due {
				p.publishMeta()
			}
		}
	}
}

// publishMeta has the member's news passed on. That is not waited for: where memberlist defends this member's life at the same moment it
// drops the news without a word, and would never end the wait. Then it is news still.
func (p *Node) publishMeta() {
	_ = p.memberlist.UpdateNode(time.Nanosecond) // its error is that it was not waited for
	text := (*delegate)(p).NodeMeta(memberlist.MetaMaxSize)
	p.mu.Lock()
	defer p.mu.Unlock()
	if own := p.alive[p.options.Name]; own != nil && !bytes.Equal(own.Meta, text) { // as it came back by NotifyUpdate
		p.metaChanged = true
	}
}

func (p *Node) log(line string) {
	if p.options.Log != nil {
		p.options.Log(line)
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

// broadcast is a message on its way through the fleet.
type broadcast struct {
	topic   string
	payload []byte
}

func (w broadcast) Invalidates(o memberlist.Broadcast) bool {
	old, ok := o.(broadcast)
	return ok && old.topic == w.topic
}
func (w broadcast) Message() []byte { return w.payload }
func (broadcast) Finished()         {}

// delegate is what memberlist asks of a Peers.
type delegate Node

func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, err := json.Marshal(d.meta)
	if err != nil || len(text) > limit {
		return nil
	}
	return text
}

func (d *delegate) NotifyMsg(b []byte) {
	switch {
	case len(b) == 0:
	case b[0] == busMessageMarker:
		d.bus.deliver(slices.Clone(b))
	default:
		d.options.OnMessage(slices.Clone(b))
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.broadcasts.GetBroadcasts(overhead, limit)
}
func (d *delegate) LocalState(bool) []byte        { return nil }
func (d *delegate) MergeRemoteState([]byte, bool) {}

// NotifyJoin, NotifyUpdate and NotifyLeave come under memberlist's own lock.
func (d *delegate) NotifyJoin(n *memberlist.Node) {
	same := *n
	same.Meta = slices.Clone(n.Meta)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.alive[n.Name] = &same
}

func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.alive, n.Name)
}

// routedTransport reaches named poolers at the addresses known here.
type routedTransport struct {
	*memberlist.NetTransport
	addresses map[string]string
}

func (r *routedTransport) resolve(a memberlist.Address) memberlist.Address {
	if addr, ok := r.addresses[a.Name]; ok {
		a.Addr = addr
	}
	return a
}

func (r *routedTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return r.NetTransport.WriteToAddress(b, r.resolve(a))
}

func (r *routedTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return r.NetTransport.DialAddressTimeout(r.resolve(a), timeout)
}

package lab

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"threadsail/internal/lab/scenario"

	"threadsail/internal/config"
	"threadsail/internal/lab/relay"
	"threadsail/internal/lab/standin"
)

// Ports at which a laboratory's poolers speak with each other: none that an outgoing connection can take.
const (
	GossipPort  = 7946
	StewardPort = 7950
	StreamPort  = 7952
)

const (
	firstBlock = 64
	blocks     = 128
	aBlock     = 250 // addresses of a third octet
)

var laboratories atomic.Int32

// Block is loopback addresses, one for each pooler, that no other laboratory of this machine has.
type Block struct {
	octet   int
	claimed net.Listener
}

// ClaimBlock takes a block of addresses until the host's end.
func ClaimBlock(h standin.Host) (b Block) {
	var err error
	for range blocks {
		b.octet = firstBlock + (os.Getpid()+int(laboratories.Add(1)))%blocks
		if b.claimed, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", b.octet, GossipPort)); err == nil {
			h.Cleanup(func() { _ = b.claimed.Close() })
			return b
		}
	}
	h.Fatal(err)
	return b
}

// Addr is pooler i's address, with a port.
func (b Block) Addr(i, port int) string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", b.octet, 1+i/aBlock, 1+i%aBlock), fmt.Sprint(port))
}

// peerNet is the links between poolers; the zero peerNet has none.
type peerNet struct {
	block Block
	links map[[2]int][]*relay.Link // from pooler i to pooler j
	files []map[string]any         // of the fleet, by pooler
}

// join writes each member's file of the fleet, with a relay on each link to another if the scenario wants them.
func (n *peerNet) join(h standin.Host, s scenario.Scenario, members []*standin.Member, p purges, sh *shards) {
	fleet := s.Fleet
	if fleet.Voters == 0 {
		return
	}
	n.block = ClaimBlock(h)
	n.links = map[[2]int][]*relay.Link{}
	name := func(i int) string { return fmt.Sprint("n", i+1) }
	to := func(i, j, port int) string {
		addr := n.block.Addr(j, port)
		if i == j || !fleet.Relays {
			return addr
		}
		l, err := relay.ListenBoth(addr, s.Seed^uint64(i<<16|j))
		if err != nil {
			h.Fatal(err)
		}
		h.Cleanup(l.Close)
		n.links[[2]int{i, j}] = append(n.links[[2]int{i, j}], l)
		return l.Addr()
	}
	region := func(i int) string {
		if fleet.Regions == 0 {
			return ""
		}
		return fmt.Sprint("region", i%fleet.Regions)
	}
	for i, m := range members {
		var peers, stewards []config.Peer
		var streams config.DistributionConfig
		gossips := fleet.Distributors == 0 || i < fleet.Distributors
		for j := range members {
			if j < fleet.Distributors {
				streams.Distributors = append(streams.Distributors, config.Distributor{Name: name(j), Addr: to(i, j, StreamPort), Region: region(j)})
			}
			if j < fleet.Voters {
				stewards = append(stewards, config.Peer{Name: name(j), Addr: to(i, j, StewardPort)})
			}
			if i != j && gossips && (fleet.Relays && (fleet.Distributors == 0 || j < fleet.Distributors) || j < fleet.Voters) {
				peers = append(peers, config.Peer{Name: name(j), Addr: to(i, j, GossipPort)})
			}
		}
		file := map[string]any{"enabled": true, "name": name(i), "listen": n.block.Addr(i, GossipPort), "peers": peers, "stewards": stewards,
			"term_ms": fleet.Term.Milliseconds(), "drift_ms": fleet.ClockDrift().Milliseconds(), "election_ms": fleet.ElectionTimeout().Milliseconds(),
			"shared_addresses": fleet.SharedAddresses, "least_build": fleet.MinBuild, "journal": map[string]any{"file": n.journal(m)},
			"shared": config.ReplicaConfig{Dir: n.copyDir(m)}}
		if fleet.Distributors > 0 {
			if streams.Region = region(i); gossips {
				streams.Listen = n.block.Addr(i, StreamPort)
			}
			file["distribution"] = streams
		}
		if i < fleet.Voters {
			file["steward"] = config.VoterConfig{Listen: n.block.Addr(i, StewardPort), Dir: filepath.Join(m.Dir(), "steward")}
		}
		if fleet.Outliers {
			file["verdicts"] = map[string]any{"enabled": true}
		}
		if fleet.Limits.Revision > 0 {
			file["limits"] = fleet.Limits
		}
		if fleet.Zones > 0 {
			m.Zone(i%fleet.Zones, fleet.Zones)
		}
		p.into(file, i)
		sh.into(file, i, s.Groups, fleet.Term)
		n.files = append(n.files, file)
		m.File("PROXY_FLEET", file)
	}
}

// journal is where a member keeps its acts.
func (n *peerNet) journal(m *standin.Member) string { return filepath.Join(m.Dir(), "acts") }

// copyDir is where a member keeps its copy of the fleet's documents.
func (n *peerNet) copyDir(m *standin.Member) string { return filepath.Join(m.Dir(), "shared") }

// journals are those of all members, after the run.
func (n *peerNet) journals(members []*standin.Member) (out []string) {
	if n.links != nil {
		for _, m := range members {
			out = append(out, n.journal(m))
		}
	}
	return out
}

// oneWay loses what the poolers of a set say to all others, or what these say to them.
func (n *peerNet) oneWay(poolers []int, said bool) {
	for ends, links := range n.links {
		calls, called := slices.Contains(poolers, ends[0]), slices.Contains(poolers, ends[1])
		if calls == called {
			continue
		}
		for _, l := range links {
			l.Set(relay.Fault{Drop: true, OneWay: called == said, Unheard: calls == said})
		}
	}
}

// set puts a fault on the links between the poolers of a set and all others; or, within, on those inside the set too.
func (n *peerNet) set(poolers []int, fault relay.Fault, within bool) {
	in := map[int]bool{}
	for _, i := range poolers {
		in[i] = true
	}
	for ends, links := range n.links {
		if in[ends[0]] != in[ends[1]] || within && in[ends[0]] {
			for _, l := range links {
				l.Set(fault)
			}
		}
	}
}

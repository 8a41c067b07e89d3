package distribution

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"threadsail/internal/fleet/replication"
)

// TestMain reduces the number of random cases and fixes the seed unless flags say otherwise, because each case simulates minutes of a whole
// fleet. It fails if a goroutine outlives the tests.
func TestMain(m *testing.M) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "40", "rapid.seed": "1"} {
		if !explicit[name] {
			_ = flag.Set(name, value)
		}
	}
	goleak.VerifyTestMain(m)
}

const (
	testHeartbeat = time.Second
	// recoveryLimit is the time within which a pooler that can reach a distributor has the newest version after any fault.
	recoveryLimit = 6 * time.Second
	// deliveryLimit is the time within which a change reaches all poolers of a cluster without faults.
	deliveryLimit = 20 * time.Millisecond
	// zones is the number of zones over which the distributors and poolers of a cluster are spread.
	zones = 10
)

// cluster is a set of distributors and poolers on one simulated network, in a synctest bubble. The test writes the log that the
// distributors follow.
type cluster struct {
	t            *testing.T
	network      *network
	endpoints    []Endpoint                      // all distributors, running or not
	distributors map[string]*Distributor         // running distributors, by name
	published    map[string]*replication.Replica // replicas of the running distributors
	poolers      map[string]*Subscriber
	replicas     map[string]*replication.Replica // replicas of the poolers
	documents    map[string]replication.Document // documents of the log's newest version
	version      uint64                          // newest version of the log
	isolated     map[string]bool                 // distributors that can't reach the log
	tallies      map[string]*frameTally          // frames of the distributors and poolers, by name

	mu       sync.Mutex // guards the fields below
	written  map[uint64]writtenVersion
	logLines []string
}

// writtenVersion is a version of the log.
type writtenVersion struct {
	at        time.Time
	documents map[string]replication.Document
}

// newCluster starts the distributors d0, d1, ..., spread over the zones, which are spread over the regions r0, r1, ....
func newCluster(t *testing.T, distributors, regions int) *cluster {
	c := &cluster{t: t, network: newNetwork(), distributors: map[string]*Distributor{}, published: map[string]*replication.Replica{},
		poolers: map[string]*Subscriber{}, replicas: map[string]*replication.Replica{}, documents: map[string]replication.Document{},
		isolated: map[string]bool{}, tallies: map[string]*frameTally{}, written: map[uint64]writtenVersion{}}
	for i := range distributors {
		name := fmt.Sprint("d", i)
		c.endpoints = append(c.endpoints, Endpoint{Name: name, Addr: name, Region: regionOf(i, regions)})
	}
	c.startMissingDistributors()
	return c
}

// newSettledCluster starts a cluster with documents, and waits until all poolers are up to date. It returns between two heartbeats.
func newSettledCluster(t *testing.T, distributors, regions, poolers int) *cluster {
	c := newCluster(t, distributors, regions)
	for i := range 40 {
		key := fmt.Sprint("p/", i)
		c.documents[key] = replication.Document{Key: key, Version: 1, Value: make([]byte, 500)}
	}
	c.write("p/first", "1")
	time.Sleep(3 * testHeartbeat)
	for i := range poolers {
		c.startPooler(i, poolers, regionOf(i, regions))
	}
	time.Sleep(testHeartbeat / 2)
	c.passHeartbeats(5)
	c.requireNewest(0, "the start")
	return c
}

// regionOf returns the region of distributor or pooler i.
func regionOf(i, regions int) string { return fmt.Sprint("r", i%zones%regions) }

// close stops all poolers and distributors, and waits until the network has delivered everything in flight.
func (c *cluster) close() {
	c.network.heal()
	for _, pooler := range c.poolers {
		pooler.Close()
	}
	for _, distributor := range c.distributors {
		distributor.Close()
	}
	time.Sleep(time.Minute)
}

// startDistributor starts a distributor whose replica holds the log's newest version, without history.
func (c *cluster) startDistributor(endpoint Endpoint) {
	replica := replication.NewReplica(replication.Snapshot{})
	if c.version > 0 {
		replica.Install(replication.Snapshot{Version: c.version, Documents: maps.Clone(c.documents)})
	}
	c.published[endpoint.Name] = replica
	c.distributors[endpoint.Name] = NewDistributor(c.network.listen(endpoint.Name), DistributorOptions{Name: endpoint.Name, Region: endpoint.Region,
		Distributors: c.endpoints, Resources: []Resource{{Name: "shared", Replica: replica}}, HeartbeatInterval: testHeartbeat,
		Dial: c.network.dialer(endpoint.Name), Counter: c.tally(endpoint.Name), Log: c.log})
}

// startMissingDistributors starts all distributors that are not running.
func (c *cluster) startMissingDistributors() {
	for _, endpoint := range c.endpoints {
		if c.distributors[endpoint.Name] == nil {
			c.startDistributor(endpoint)
		}
	}
}

func (c *cluster) stopDistributor(name string) {
	c.distributors[name].Close()
	delete(c.distributors, name)
	delete(c.published, name)
}

func (c *cluster) endpoint(name string) Endpoint {
	return c.endpoints[slices.IndexFunc(c.endpoints, func(e Endpoint) bool { return e.Name == name })]
}

// startPooler starts pooler i of total with an empty replica. Its jitter fraction is i/total.
func (c *cluster) startPooler(i, total int, region string) (name string) {
	name = fmt.Sprint("n", i)
	c.replicas[name] = replication.NewReplica(replication.Snapshot{})
	c.subscribe(name, region, float64(i)/float64(total))
	return name
}

func (c *cluster) subscribe(name, region string, jitter float64) {
	c.poolers[name] = Subscribe(SubscriberOptions{Name: name, Region: region, Distributors: c.endpoints,
		Resources: []Resource{{Name: "shared", Replica: c.replicas[name]}}, HeartbeatInterval: testHeartbeat, JitterFraction: jitter,
		Dial: c.network.dialer(name), Counter: c.tally(name), Log: c.log})
}

// restartPooler restarts a pooler with its replica or with an empty one.
func (c *cluster) restartPooler(name string, keepsReplica bool) {
	options := c.poolers[name].options
	c.poolers[name].Close()
	var snapshot replication.Snapshot
	if keepsReplica {
		snapshot = c.replicas[name].Snapshot()
	}
	c.replicas[name] = replication.NewReplica(snapshot)
	c.subscribe(name, options.Region, options.JitterFraction)
}

func (c *cluster) removePooler(name string) {
	c.poolers[name].Close()
	delete(c.poolers, name)
	delete(c.replicas, name)
}

// write writes a document, or deletes it if the value is empty. The distributors that reach the log receive the change at once.
func (c *cluster) write(key, value string) {
	c.version += 3
	c.documents = maps.Clone(c.documents)
	if value == "" {
		delete(c.documents, key)
	} else {
		c.documents[key] = replication.Document{Key: key, Version: c.version, Value: []byte(value)}
	}
	c.mu.Lock()
	c.written[c.version] = writtenVersion{time.Now(), c.documents}
	c.mu.Unlock()
	c.confirm()
}

// confirm makes all distributors that reach the log hold and confirm its newest version.
func (c *cluster) confirm() {
	for name, replica := range c.published {
		if !c.isolated[name] {
			replica.Install(replication.Snapshot{Version: c.version, Documents: c.documents})
			replica.Confirm(c.version, time.Now())
		}
	}
}

// passHeartbeats waits for n heartbeats, and confirms the newest version at each.
func (c *cluster) passHeartbeats(n int) {
	for range n {
		c.confirm()
		time.Sleep(testHeartbeat)
	}
	synctest.Wait()
}

// requireNewest waits for the given time, and fails unless all poolers except the given ones have the newest version then.
func (c *cluster) requireNewest(after time.Duration, what string, except ...string) {
	c.t.Helper()
	time.Sleep(after)
	synctest.Wait()
	lagging := 0
	for name, replica := range c.replicas {
		if replica.Version() == c.version || slices.Contains(except, name) {
			continue
		}
		if lagging++; lagging <= 3 {
			c.t.Errorf("%s: %s at %q has version %d after %v, want %d", what, name, c.poolers[name].Distributor(), replica.Version(), after, c.version)
		}
	}
	if lagging > 0 {
		c.t.Errorf("%s: %d poolers lag", what, lagging)
	}
}

func (c *cluster) poolerNames() []string      { return slices.Sorted(maps.Keys(c.replicas)) }
func (c *cluster) distributorNames() []string { return slices.Sorted(maps.Keys(c.published)) }

// zone returns the names of the poolers and distributors inside a zone and of those outside.
func (c *cluster) zone(zone int) (inside, outside []string) {
	for _, name := range append(c.poolerNames(), c.distributorNames()...) {
		var i int
		_, _ = fmt.Sscan(name[1:], &i)
		if i%zones == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	return inside, outside
}

// log records a log line of a distributor or pooler.
func (c *cluster) log(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logLines = append(c.logLines, line)
}

// countLogged returns the number of log lines that contain text.
func (c *cluster) countLogged(text string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, line := range c.logLines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

package distribution

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// The bounds of TestCost: an announcement of one resource is up to 128 bytes, a heartbeat without news 2, with a report up to 128, a call
// up to 256; a document takes 4/3 of its value and up to 128 bytes.
const (
	maxHelloCost, maxReportCost = 256, 128
	idleHeartbeatCost           = 2
	changedValue                = 1000 // bytes of the value that is changed
	restHeartbeats              = 60   // over which rest is measured
	allDocumentsCost            = 40*(500*4/3+128) + changedValue*4/3 + 3*128
)

// costs is what a pooler's stream carries, in bytes.
type costs struct {
	rest         float64 // for a heartbeat
	change       float64 // for a change of changedValue
	restart      float64 // for a restart with its replica
	restartEmpty float64 // and with none
}

// costMeter measures what a settled cluster's streams and links carry.
type costMeter struct {
	*cluster
	poolers, distributors []string
	links                 float64
}

func newCostMeter(c *cluster) *costMeter {
	distributors := c.distributorNames()
	return &costMeter{c, c.poolerNames(), distributors, float64(len(distributors) * (len(distributors) - 1))}
}

// measured is traffic while something was done.
type measured struct {
	pooler, link  traffic // of the mean pooler's stream and link
	byDistributor map[string]traffic
}

// during measures what is carried while something is done.
func (m *costMeter) during(do func()) measured {
	poolersBefore := m.trafficOf(m.poolers...)
	distributorBefore := map[string]traffic{}
	for _, name := range m.distributors {
		distributorBefore[name] = m.trafficOf(name)
	}
	do()
	synctest.Wait()
	streams, links := m.trafficSince(poolersBefore, m.poolers...), traffic{}
	byDistributor := map[string]traffic{}
	for name, before := range distributorBefore {
		byDistributor[name] = m.trafficSince(before, name)
		links = links.plus(byDistributor[name], 1)
	}
	links = links.plus(streams.reversed(), -1) // the rest of what the distributors carry
	return measured{streams.times(1 / float64(len(m.poolers))), links.times(1 / m.links), byDistributor}
}

func (m *costMeter) log(what string, t traffic) {
	m.t.Logf("%d poolers, %d distributors, %s:%v", len(m.poolers), len(m.distributors), what, t)
}

// rest measures heartbeats at rest, and returns those of a pooler and of a link.
func (m *costMeter) rest() (heartbeat, linkHeartbeat traffic) {
	rest := m.during(func() { m.passHeartbeats(restHeartbeats) })
	heartbeat, linkHeartbeat = rest.pooler.times(1./restHeartbeats), rest.link.times(1./restHeartbeats)
	m.log("a pooler's heartbeat at rest", heartbeat)
	m.log("a link's heartbeat at rest", linkHeartbeat)
	if sum := heartbeat.sum(""); math.Abs(sum.frames-2) > 0.001 || sum.bytes > 128+idleHeartbeatCost {
		m.t.Errorf("got a pooler's heartbeat of %v frames, %v bytes, want 2 frames of at most %d bytes", sum.frames, sum.bytes, 128+idleHeartbeatCost)
	}
	for name, carried := range rest.byDistributor {
		m.checkDistributor(name, carried, rest)
	}
	return heartbeat, linkHeartbeat
}

// checkDistributor fails unless a distributor carries what its streams and its links carry.
func (m *costMeter) checkDistributor(name string, carried traffic, rest measured) {
	m.t.Helper()
	streams, links := float64(m.cluster.distributors[name].StreamCount()), float64(len(m.distributors)-1)
	for direction, reverse := range map[string]string{"out": "in", "in": "out"} {
		got := carried.sum(direction).bytes
		want := streams*rest.pooler.sum(reverse).bytes + links*rest.link.sum("out").bytes
		if math.Abs(got-want) > want/10 {
			m.t.Errorf("%s, %s: got %.0f bytes with %v streams and %v links, want %.0f", name, direction, got, streams, links, want)
		}
	}
}

// change measures a change, and returns what it takes of a pooler's stream beyond rest.
func (m *costMeter) change(heartbeat, linkHeartbeat traffic) traffic {
	changed := m.during(func() {
		m.write("p/big", strings.Repeat("x", changedValue))
		m.passHeartbeats(2)
	})
	change := changed.pooler.plus(heartbeat, -2)
	m.log("a change of 1,000 bytes, a pooler, beyond rest", change)
	m.log("a change, a link, beyond rest", changed.link.plus(linkHeartbeat, -2))
	deltas, announcements := change["in delta"].frames, change["in word"].frames
	if math.Abs(deltas-1) > 0.001 || math.Abs(announcements-1) > 0.001 || change.sum("").bytes > changedValue*4/3+3*128 {
		m.t.Errorf("got %v for a change", change)
	}
	return change
}

// restart measures the restart of a pooler, and returns what it takes of its stream beyond rest.
func (m *costMeter) restart(keepsReplica bool, heartbeat, linkHeartbeat traffic) traffic {
	restarted, others := m.poolers[0], m.poolers[1:]
	before, othersBefore := m.trafficOf(restarted), m.trafficOf(others...)
	during := m.during(func() {
		m.restartPooler(restarted, keepsReplica)
		time.Sleep(testHeartbeat / 4)
		m.passHeartbeats(3)
		m.confirm()
		time.Sleep(3 * testHeartbeat / 4)
	})
	own := m.trafficSince(before, restarted).plus(heartbeat, -4)
	rest := m.trafficSince(othersBefore, others...).plus(heartbeat, -4*float64(len(others)))
	m.log(fmt.Sprintf("a restart, keeps its replica %v, itself, beyond rest", keepsReplica), own)
	m.log("a restart, all other poolers together, beyond rest", rest)
	m.log("a restart, a link, beyond rest", during.link.plus(linkHeartbeat, -4))
	limit, snapshots := maxHelloCost+3*maxReportCost, 0.
	if !keepsReplica {
		limit, snapshots = limit+allDocumentsCost, 1
	}
	elsewhere := rest.sum("")
	if own.sum("").bytes > float64(limit) || own["in whole"].frames != snapshots || math.Abs(elsewhere.frames) > 0.001 || math.Abs(elsewhere.bytes) > float64(len(m.poolers)) {
		m.t.Errorf("a restart that keeps its replica %v costs itself %v, all others %v", keepsReplica, own, rest)
	}
	if got, most := during.link["out holds"].frames*m.links, 2.5*float64(len(m.distributors)-1); got > most {
		m.t.Errorf("a restart costs %v holdings on the links, want at most %v", got, most)
	}
	m.requireNewest(0, "a restart")
	return own
}

// measureCosts measures a cluster of three regions.
func measureCosts(t *testing.T, distributors, poolers int) (measured costs) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t, distributors, 3, poolers)
		defer c.close()
		m := newCostMeter(c)
		heartbeat, linkHeartbeat := m.rest()
		measured = costs{
			rest:         heartbeat.sum("").bytes,
			change:       m.change(heartbeat, linkHeartbeat).sum("").bytes,
			restart:      m.restart(true, heartbeat, linkHeartbeat).sum("").bytes,
			restartEmpty: m.restart(false, heartbeat, linkHeartbeat).sum("").bytes,
		}
	})
	return measured
}

// What a pooler's stream carries at rest, for a change and for a restart does not grow with the fleet; what a distributor carries is that
// of its streams and of its links.
func TestCost(t *testing.T) {
	t.Parallel()
	small, medium, large := measureCosts(t, 3, 50), measureCosts(t, 6, 200), measureCosts(t, 18, 800)
	for _, smaller := range []costs{small, medium} {
		for what, bytes := range map[string]struct{ smaller, large float64 }{
			"rest": {smaller.rest, large.rest}, "a change": {smaller.change, large.change},
			"a restart with its replica": {smaller.restart, large.restart}, "a restart with none": {smaller.restartEmpty, large.restartEmpty},
		} {
			if bytes.large > 1.1*bytes.smaller {
				t.Errorf("%s: got %.1f bytes a pooler in the large fleet, %.1f in a smaller one", what, bytes.large, bytes.smaller)
			}
		}
	}
}

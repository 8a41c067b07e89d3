package distribution

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// The limits of TestCost, in bytes: an announcement of one resource takes up to 128, a heartbeat without a report 2, a heartbeat with a
// report up to 128, and a hello up to 256. A document takes 4/3 of its value and up to 128 in addition.
const (
	maxHelloBytes, maxReportBytes = 256, 128
	idleHeartbeatBytes            = 2
	changedValueBytes             = 1000 // length of the value that is changed, in bytes
	idleHeartbeats                = 60   // number of heartbeats over which idle traffic is measured
	allDocumentsBytes             = 40*(500*4/3+128) + changedValueBytes*4/3 + 3*128
)

// costs is the traffic of a pooler's stream, in bytes.
type costs struct {
	idle         float64 // per heartbeat without changes
	change       float64 // for a change of a value of changedValue bytes
	restart      float64 // for a restart of the pooler with its replica
	restartEmpty float64 // for a restart of the pooler with an empty replica
}

// costMeter measures the traffic of the streams and links of a settled cluster.
type costMeter struct {
	*cluster
	poolers, distributors []string
	links                 float64 // number of links
}

func newCostMeter(c *cluster) *costMeter {
	distributors := c.distributorNames()
	return &costMeter{c, c.poolerNames(), distributors, float64(len(distributors) * (len(distributors) - 1))}
}

// measurement is the traffic of a period.
type measurement struct {
	pooler, link  traffic // mean per stream of a pooler, and per link
	byDistributor map[string]traffic
}

// measureDuring measures the traffic while action runs.
func (m *costMeter) measureDuring(action func()) measurement {
	poolersBefore := m.trafficOf(m.poolers...)
	distributorBefore := map[string]traffic{}
	for _, name := range m.distributors {
		distributorBefore[name] = m.trafficOf(name)
	}
	action()
	synctest.Wait()
	streams, links := m.trafficSince(poolersBefore, m.poolers...), traffic{}
	byDistributor := map[string]traffic{}
	for name, before := range distributorBefore {
		byDistributor[name] = m.trafficSince(before, name)
		links = links.plus(byDistributor[name], 1)
	}
	links = links.plus(streams.reversed(), -1) // what remains of the traffic of the distributors
	return measurement{streams.times(1 / float64(len(m.poolers))), links.times(1 / m.links), byDistributor}
}

func (m *costMeter) log(what string, t traffic) {
	m.t.Logf("%d poolers, %d distributors, %s:%v", len(m.poolers), len(m.distributors), what, t)
}

// measureIdle measures the idle traffic, and returns the mean per heartbeat of a pooler's stream and of a link.
func (m *costMeter) measureIdle() (heartbeat, linkHeartbeat traffic) {
	idle := m.measureDuring(func() { m.passHeartbeats(idleHeartbeats) })
	heartbeat, linkHeartbeat = idle.pooler.times(1./idleHeartbeats), idle.link.times(1./idleHeartbeats)
	m.log("a pooler's idle heartbeat", heartbeat)
	m.log("a link's idle heartbeat", linkHeartbeat)
	if sum := heartbeat.sum(""); math.Abs(sum.frames-2) > 0.001 || sum.bytes > 128+idleHeartbeatBytes {
		m.t.Errorf("got a pooler's heartbeat of %v frames, %v bytes, want 2 frames of at most %d bytes", sum.frames, sum.bytes, 128+idleHeartbeatBytes)
	}
	for name, carried := range idle.byDistributor {
		m.checkDistributor(name, carried, idle)
	}
	return heartbeat, linkHeartbeat
}

// checkDistributor fails unless a distributor's traffic is that of its streams and links.
func (m *costMeter) checkDistributor(name string, carried traffic, idle measurement) {
	m.t.Helper()
	streams, links := float64(m.cluster.distributors[name].StreamCount()), float64(len(m.distributors)-1)
	for direction, reverse := range map[string]string{"out": "in", "in": "out"} {
		got := carried.sum(direction).bytes
		want := streams*idle.pooler.sum(reverse).bytes + links*idle.link.sum("out").bytes
		if math.Abs(got-want) > want/10 {
			m.t.Errorf("%s, %s: got %.0f bytes with %v streams and %v links, want %.0f", name, direction, got, streams, links, want)
		}
	}
}

// measureChange measures the change of a document, and returns the traffic of a pooler's stream beyond that of the heartbeats.
func (m *costMeter) measureChange(heartbeat, linkHeartbeat traffic) traffic {
	changed := m.measureDuring(func() {
		m.write("p/big", strings.Repeat("x", changedValueBytes))
		m.passHeartbeats(2)
	})
	change := changed.pooler.plus(heartbeat, -2)
	m.log("a change of 1,000 bytes, a pooler, beyond heartbeats", change)
	m.log("a change, a link, beyond heartbeats", changed.link.plus(linkHeartbeat, -2))
	deltas, announcements := change["in delta"].frames, change["in word"].frames
	if math.Abs(deltas-1) > 0.001 || math.Abs(announcements-1) > 0.001 || change.sum("").bytes > changedValueBytes*4/3+3*128 {
		m.t.Errorf("got %v for a change", change)
	}
	return change
}

// measureRestart measures the restart of a pooler, and returns the traffic of its streams beyond that of the heartbeats.
func (m *costMeter) measureRestart(keepsReplica bool, heartbeat, linkHeartbeat traffic) traffic {
	restarted, others := m.poolers[0], m.poolers[1:]
	before, othersBefore := m.trafficOf(restarted), m.trafficOf(others...)
	during := m.measureDuring(func() {
		m.restartPooler(restarted, keepsReplica)
		time.Sleep(testHeartbeat / 4)
		m.passHeartbeats(3)
		m.confirm()
		time.Sleep(3 * testHeartbeat / 4)
	})
	own := m.trafficSince(before, restarted).plus(heartbeat, -4)
	othersTraffic := m.trafficSince(othersBefore, others...).plus(heartbeat, -4*float64(len(others)))
	m.log(fmt.Sprintf("a restart, keeps its replica %v, the restarted pooler, beyond heartbeats", keepsReplica), own)
	m.log("a restart, all other poolers together, beyond heartbeats", othersTraffic)
	m.log("a restart, a link, beyond heartbeats", during.link.plus(linkHeartbeat, -4))
	limit, snapshots := maxHelloBytes+3*maxReportBytes, 0.
	if !keepsReplica {
		limit, snapshots = limit+allDocumentsBytes, 1
	}
	elsewhere := othersTraffic.sum("")
	if own.sum("").bytes > float64(limit) || own["in whole"].frames != snapshots || math.Abs(elsewhere.frames) > 0.001 || math.Abs(elsewhere.bytes) > float64(len(m.poolers)) {
		m.t.Errorf("restart that keeps its replica %v: got %v for the restarted pooler, %v for all others", keepsReplica, own, othersTraffic)
	}
	if got, most := during.link["out holds"].frames*m.links, 2.5*float64(len(m.distributors)-1); got > most {
		m.t.Errorf("a restart costs %v holdings on the links, want at most %v", got, most)
	}
	m.requireNewest(0, "a restart")
	return own
}

// measureCosts returns the costs of a cluster of three regions.
func measureCosts(t *testing.T, distributors, poolers int) (measured costs) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t, distributors, 3, poolers)
		defer c.close()
		m := newCostMeter(c)
		heartbeat, linkHeartbeat := m.measureIdle()
		measured = costs{
			idle:         heartbeat.sum("").bytes,
			change:       m.measureChange(heartbeat, linkHeartbeat).sum("").bytes,
			restart:      m.measureRestart(true, heartbeat, linkHeartbeat).sum("").bytes,
			restartEmpty: m.measureRestart(false, heartbeat, linkHeartbeat).sum("").bytes,
		}
	})
	return measured
}

// The traffic of a pooler's stream without changes, for a change and for a restart does not grow with the fleet, and the traffic of a
// distributor is that of its streams and links.
func TestCost(t *testing.T) {
	t.Parallel()
	small, medium, large := measureCosts(t, 3, 50), measureCosts(t, 6, 200), measureCosts(t, 18, 800)
	for _, smaller := range []costs{small, medium} {
		for what, bytes := range map[string]struct{ smaller, large float64 }{
			"idle heartbeats": {smaller.idle, large.idle}, "a change": {smaller.change, large.change},
			"a restart with its replica": {smaller.restart, large.restart}, "a restart with an empty replica": {smaller.restartEmpty, large.restartEmpty},
		} {
			if bytes.large > 1.1*bytes.smaller {
				t.Errorf("%s: got %.1f bytes a pooler in the large fleet, %.1f in a smaller one", what, bytes.large, bytes.smaller)
			}
		}
	}
}

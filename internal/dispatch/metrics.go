package dispatch

import "slices"

// ClassCounters counts the requests of a class and their attempts since the start.
type ClassCounters struct {
	Class                    string
	Served, Rejected, Failed uint64
	Attempts                 uint64 // attempts whose request was written completely
}

func (c *ClassCounters) count(answer FinalAnswer) {
	switch {
	case answer.Served:
		c.Served++
	case answer.Rejected:
		c.Rejected++
	default:
		c.Failed++
	}
}

func (c *ClassCounters) add(other ClassCounters) {
	c.Served += other.Served
	c.Rejected += other.Rejected
	c.Failed += other.Failed
	c.Attempts += other.Attempts
}

// counterTable holds the counters of all classes of the current and earlier settings, in the order of their first appearance.
type counterTable []*ClassCounters

// forClass returns the counters of the class with a name, and adds them if there are none.
func (t *counterTable) forClass(class string) *ClassCounters {
	for _, counters := range *t {
		if counters.Class == class {
			return counters
		}
	}
	counters := &ClassCounters{Class: class}
	*t = append(*t, counters)
	return counters
}

// Metrics are the metrics of one Dispatcher, or the sums over several.
type Metrics struct {
	Classes     []ClassCounters
	Pending     int // number of admitted requests that have not ended
	Servers     int // number of servers in the list
	Unavailable int // number of servers in the list that the policy avoids
}

// Metrics returns the current metrics. A class that is no longer in the settings keeps its counters.
func (d *Dispatcher) Metrics() Metrics {
	metrics := Metrics{Pending: d.requests.pending, Servers: len(d.servers.listed)}
	for _, counters := range d.counters {
		metrics.Classes = append(metrics.Classes, *counters)
	}
	for id := range d.servers.listed {
		if d.router.Unavailable(id) {
			metrics.Unavailable++
		}
	}
	return metrics
}

// Add adds the metrics of another Dispatcher to m.
func (m *Metrics) Add(other Metrics) {
	for _, counters := range other.Classes {
		i := slices.IndexFunc(m.Classes, func(c ClassCounters) bool { return c.Class == counters.Class })
		if i < 0 {
			m.Classes = append(m.Classes, counters)
		} else {
			m.Classes[i].add(counters)
		}
	}
	m.Pending += other.Pending
	m.Servers += other.Servers
	m.Unavailable += other.Unavailable
}

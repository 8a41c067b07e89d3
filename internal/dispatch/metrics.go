package dispatch

import "slices"

// ClassCounters is what has become of a class's requests since the start.
type ClassCounters struct {
	Class                    string
	Served, Rejected, Failed uint64
	Attempts                 uint64 // whose request has gone out whole
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

// counterTable holds the counters of all classes that there have been, in the order of their first appearance.
type counterTable []*ClassCounters

// of returns the counters of a class by its name, and begins them if there are none.
func (t *counterTable) of(class string) *ClassCounters {
	for _, counters := range *t {
		if counters.Class == class {
			return counters
		}
	}
	counters := &ClassCounters{Class: class}
	*t = append(*t, counters)
	return counters
}

// Metrics is what a Dispatcher reports of itself.
type Metrics struct {
	Classes     []ClassCounters
	Pending     int // requests admitted and not ended
	Servers     int // servers in the list
	Unavailable int // of them, those that the policy avoids
}

// Metrics returns the present figures. A class that has left the settings keeps its counters.
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

// Add adds the metrics of another Dispatcher.
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

package dispatch

import "slices"

// ClassCounters is what has become of a class's requests since the start.
type ClassCounters struct {
	Class                    string
	Served, Rejected, Failed uint64
	Attempts                 uint64 // whose request has gone out whole
}

// Metrics is what a core reports.
type Metrics struct {
	Classes     []ClassCounters
	Pending     int // requests taken and not ended
	Servers     int // servers in the list
	Unavailable int // of them, those that the module avoids
}

// Metrics tells how things stand. A class that has left the settings keeps its counts.
func (c *Dispatcher) Metrics() Metrics {
	f := Metrics{Pending: c.pending, Servers: len(c.listed)}
	for _, n := range c.counters {
		f.Classes = append(f.Classes, *n)
	}
	for id := range c.listed {
		if c.router.Avoids(id) {
			f.Unavailable++
		}
	}
	return f
}

// Add joins the figures of another core to these.
func (f *Metrics) Add(other Metrics) {
	for _, n := range other.Classes {
		i := slices.IndexFunc(f.Classes, func(x ClassCounters) bool { return x.Class == n.Class })
		if i < 0 {
			f.Classes = append(f.Classes, n)
			continue
		}
		x := &f.Classes[i]
		x.Served, x.Rejected, x.Failed, x.Attempts = x.Served+n.Served, x.Rejected+n.Rejected, x.Failed+n.Failed, x.Attempts+n.Attempts
	}
	f.Pending += other.Pending
	f.Servers += other.Servers
	f.Unavailable += other.Unavailable
}

// countersOf finds a class's counts by its name, or begins them.
func (c *Dispatcher) countersOf(class string) *ClassCounters {
	for _, n := range c.counters {
		if n.Class == class {
			return n
		}
	}
	n := &ClassCounters{Class: class}
	c.counters = append(c.counters, n)
	return n
}

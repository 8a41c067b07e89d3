package policy

import "time"

const ms = time.Millisecond

// server returns the router's record of a server, nil if there is none.
func (f *fakeHost) server(id uint32) *server { return f.router.servers.byID[id] }

// clearWarmLoad forgets the load that the router has observed.
func clearWarmLoad(r *Router) {
	for i := range r.estimates.classes {
		r.estimates.classes[i].warmLoad = 0
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is an entry of discovery's list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
	Recovery string  `json:"recovery,omitempty"`
}

// Discovery lists servers.
type Discovery struct {
	Addr     string
	mu       sync.Mutex
	revision int
	members  []Member
	changes  map[int][]Member
	changed  chan struct{}
}

// NewDiscovery starts a discovery service.
func NewDiscovery(members ...Member) *Discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("%v", err)
	}
	d := &Discovery{Addr: l.Addr().String(), revision: 41, members: members, changes: map[int][]Member{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, http.HandlerFunc(d.serve)) }()
	return d
}

func (d *Discovery) list() map[string]any {
	return map[string]any{"revision": d.revision, "complete": true, "members": append([]Member{}, d.members...)}
}

// Change changes an entry of the list.
func (d *Discovery) Change(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.changes[d.revision] = []Member{m}
	for i := range d.members {
		if d.members[i].ID == m.ID {
			d.members[i] = m
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	encode := json.NewEncoder(w)
	if r.URL.Query().Get("follow") == "" {
		_ = encode.Encode(d.list())
		return
	}
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	if since < 41 || since > d.revision {
		_ = encode.Encode(d.list())
		since = d.revision
	}
	for {
		for ; since < d.revision; since++ {
			_ = encode.Encode(map[string]any{"revision": since + 1, "complete": false, "members": d.changes[since+1]})
		}
		w.(http.Flusher).Flush()
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			d.mu.Lock()
			return
		case <-time.After(2 * time.Second):
			fmt.Fprint(w, "\n")
		}
		d.mu.Lock()
	}
}

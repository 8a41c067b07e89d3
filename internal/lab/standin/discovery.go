package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

// Entry is one line of the list, in the list service's words.
type Entry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	UpSince  float64 `json:"up_since_ms"`
	Recovery string  `json:"recovery,omitempty"` // "off": a primary
}

// Discovery is the list service, or the agent on a pooler's machine to which lists are pushed. It keeps one list and tells
// its watches of changes.
type Discovery struct {
	*httptest.Server
	mu       sync.Mutex
	revision int
	entries  []Entry
	changed  chan struct{}
	watches  []time.Time // when each was opened
	since    string
	out      bool
	hush     bool
	stranded int  // so many first watches get no further word
	indented bool // lists take many lines
	turned   int
	open     map[int]time.Time // watches that are open, by number, with their beginnings
}

// NewDiscovery starts a list service.
func NewDiscovery(entries []Entry) *Discovery {
	d := &Discovery{revision: 1, entries: entries, changed: make(chan struct{}), open: map[int]time.Time{}}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	return d
}

// Change replaces the list.
func (d *Discovery) Change(entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.entries = entries
	close(d.changed)
	d.changed = make(chan struct{})
}

// Out has it answer 503 and end its watches, or answer again.
func (d *Discovery) Out(out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.out = out
	close(d.changed)
	d.changed = make(chan struct{})
}

// Hush has it say nothing to the watches that are open and those that come, or speak again.
func (d *Discovery) Hush(hush bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hush = hush
	close(d.changed)
	d.changed = make(chan struct{})
}

// Strand has the watches that are open now hear nothing more, while new ones are answered.
func (d *Discovery) Strand() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stranded = len(d.watches)
	close(d.changed)
	d.changed = make(chan struct{})
}

// Indent has lists come indented, over many lines.
func (d *Discovery) Indent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.indented = true
}

// TurnedAway tells how many calls were answered 503.
func (d *Discovery) TurnedAway() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.turned
}

// Watches tells how many watches have been opened.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.watches)
}

// WatchedAt tells when each watch was opened.
func (d *Discovery) WatchedAt() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.watches)
}

// Open is when the oldest watch that is open now began; false: none is open.
func (d *Discovery) Open() (since time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.open {
		if !ok || at.Before(since) {
			since, ok = at, true
		}
	}
	return since, ok
}

// Since is the revision that the last watch asked for changes from; empty: it asked for the whole list.
func (d *Discovery) Since() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" || r.URL.Query().Get("follow") != "1" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	if d.out {
		d.turned++
		d.mu.Unlock()
		http.Error(w, "out", http.StatusServiceUnavailable)
		return
	}
	d.watches = append(d.watches, time.Now())
	n := len(d.watches)
	d.open[n] = d.watches[n-1]
	d.since = r.URL.Query().Get("since")
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.open, n)
	}()
	for {
		d.mu.Lock()
		list := map[string]any{"revision": d.revision, "complete": true, "members": d.entries}
		line, _ := json.Marshal(list)
		if d.indented {
			line, _ = json.MarshalIndent(list, "", "  ")
		}
		changed, out, hush, stranded := d.changed, d.out, d.hush, n <= d.stranded
		d.mu.Unlock()
		if out {
			return
		}
		if stranded {
			<-r.Context().Done()
			return
		}
		if hush {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
			continue
		}
		fmt.Fprintf(w, "%s\n", line)
		w.(http.Flusher).Flush()
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-time.After(2 * time.Second):
				fmt.Fprint(w, "\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}
}

package distribution

import "encoding/json"

// mostKinds bounds how many builds and configurations a summary tells apart; the rest is counted under "".
const mostKinds = 16

// Summary is what poolers tell of themselves, summed over those of a distributor, or over all.
type Summary struct {
	Poolers int            `json:"poolers"`
	Behind  int            `json:"behind,omitempty"` // poolers whose documents are older than their distributor's
	Oldest  uint64         `json:"oldest,omitempty"` // version of the documents in force at any of them; 0: at none, or none has any
	Builds  map[string]int `json:"builds,omitempty"`
	Configs map[string]int `json:"configs,omitempty"`
}

// add counts a pooler, or the poolers of another summary.
func (s *Summary) add(o Summary) {
	if s.Poolers == 0 || o.Poolers > 0 && o.Oldest < s.Oldest {
		s.Oldest = o.Oldest
	}
	s.Poolers += o.Poolers
	s.Behind += o.Behind
	sum(&s.Builds, o.Builds)
	sum(&s.Configs, o.Configs)
}

func sum(into *map[string]int, counts map[string]int) {
	if *into == nil {
		*into = map[string]int{}
	}
	for kind, n := range counts {
		if _, known := (*into)[kind]; !known && len(*into) >= mostKinds {
			kind = ""
		}
		(*into)[kind] += n
	}
}

// own sums this distributor's poolers. The caller has the lock.
func (d *Distributor) own() (s Summary) {
	newest := uint64(0)
	if len(d.feeds) > 0 {
		newest = d.feeds[0].Copy.Version()
	}
	for _, p := range d.streams {
		if p.Distributor {
			continue
		}
		one := Summary{Poolers: 1, Builds: map[string]int{p.status.Build: 1}, Configs: map[string]int{p.status.Config: 1}}
		if newest > 0 {
			if one.Oldest = p.force[d.feeds[0].Name]; one.Oldest < newest {
				one.Behind = 1
			}
		}
		s.add(one)
	}
	return s
}

// Summary is of this distributor's poolers, and of all poolers as the distributors that are alive told last. Documents are those of the
// first feed.
func (d *Distributor) Summary() (own, all Summary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	own = d.own()
	all.add(own)
	for _, t := range d.dir.links {
		if t.live > 0 && t.sum.Poolers > 0 {
			all.add(t.sum)
		}
	}
	return own, all
}

// livesOn is what a link tells each beat: the summary, where it has changed.
func (d *Distributor) livesOn(told string) (frame []byte, now string) {
	d.mu.Lock()
	own := d.own()
	d.mu.Unlock()
	text, err := json.Marshal(own)
	if err != nil {
		panic(err) // numbers and strings
	}
	if now = string(text); now == told {
		return seal(kindLive), now
	}
	return seal(kindLive, text), now
}

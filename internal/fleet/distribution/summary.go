package distribution

import "encoding/json"

// maxSummaryKeys bounds how many builds and configurations a summary tells apart; the rest is counted under "".
const maxSummaryKeys = 16

// Summary is what poolers tell of themselves, summed over those of a distributor, or over all.
type Summary struct {
	Poolers       int            `json:"poolers"`
	Lagging       int            `json:"behind,omitempty"` // poolers whose documents are older than their distributor's
	OldestVersion uint64         `json:"oldest,omitempty"` // version of the documents in force at any of them; 0: at none, or none has any
	Builds        map[string]int `json:"builds,omitempty"`
	Configs       map[string]int `json:"configs,omitempty"`
}

// add counts a pooler, or the poolers of another summary.
func (s *Summary) add(o Summary) {
	if s.Poolers == 0 || o.Poolers > 0 && o.OldestVersion < s.OldestVersion {
		s.OldestVersion = o.OldestVersion
	}
	s.Poolers += o.Poolers
	s.Lagging += o.Lagging
	addCounts(&s.Builds, o.Builds)
	addCounts(&s.Configs, o.Configs)
}

func addCounts(into *map[string]int, counts map[string]int) {
	if *into == nil {
		*into = map[string]int{}
	}
	for kind, n := range counts {
		if _, known := (*into)[kind]; !known && len(*into) >= maxSummaryKeys {
			kind = ""
		}
		(*into)[kind] += n
	}
}

// ownSummary sums this distributor's poolers. The caller has the lock.
func (d *Distributor) ownSummary() (s Summary) {
	newest := uint64(0)
	if len(d.resources) > 0 {
		newest = d.resources[0].Replica.Version()
	}
	for _, p := range d.streams {
		if p.Distributor {
			continue
		}
		one := Summary{Poolers: 1, Builds: map[string]int{p.status.Build: 1}, Configs: map[string]int{p.status.Config: 1}}
		if newest > 0 {
			if one.OldestVersion = p.versionsInForce[d.resources[0].Name]; one.OldestVersion < newest {
				one.Lagging = 1
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
	own = d.ownSummary()
	all.add(own)
	for _, t := range d.directory.links {
		if t.openLinks > 0 && t.summary.Poolers > 0 {
			all.add(t.summary)
		}
	}
	return own, all
}

// heartbeatFrame is what a link tells each beat: the summary, where it has changed.
func (d *Distributor) heartbeatFrame(told string) (frame []byte, now string) {
	d.mu.Lock()
	own := d.ownSummary()
	d.mu.Unlock()
	text, err := json.Marshal(own)
	if err != nil {
		panic(err) // numbers and strings
	}
	if now = string(text); now == told {
		return encodeFrame(kindHeartbeat), now
	}
	return encodeFrame(kindHeartbeat, text), now
}

package outlier

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// selection is which servers are ejected now, within the limits of their groups. It is not safe for use by several goroutines.
type selection struct {
	ejected      map[string]bool
	alternatives map[string][]string // by ejected server: the members of its group that are not ejected
	probing      map[string]bool     // ejected servers that this pooler is to probe now
}

func newSelection() selection {
	return selection{ejected: map[string]bool{}, alternatives: map[string][]string{}, probing: map[string]bool{}}
}

// update selects anew, by the groups' members. self and fleet are the names of this pooler and of all.
func (s *selection) update(now time.Time, settings Settings, isEjected func(string) bool, groups map[int][]string, self string, fleet []string) {
	clear(s.ejected)
	clear(s.alternatives)
	clear(s.probing)
	for _, members := range groups {
		for _, server := range settings.selectEjected(members, isEjected) {
			s.ejected[server] = true
			s.probing[server] = settings.isProber(now, self, fleet, server)
		}
		for _, server := range members {
			if s.ejected[server] {
				s.alternatives[server] = slices.DeleteFunc(slices.Clone(members), func(m string) bool { return s.ejected[m] })
			}
		}
	}
}

// isProber reports whether a pooler is one of the few that probe an ejected server now. Who they are follows from the time and the names
// alone; poolers whose clocks or members differ may probe beside each other, or leave a turn out.
func (s Settings) isProber(now time.Time, self string, fleet []string, server string) bool {
	turn := strconv.FormatInt(now.UnixNano()/int64(probeInterval), 10)
	rank := func(pooler string) uint64 { return xxhash.Sum64String(pooler + "\x00" + server + "\x00" + turn) }
	own, before := rank(self), 0
	for _, pooler := range fleet {
		if pooler != self && rank(pooler) < own {
			before++
		}
	}
	return before < max(minProbers*s.MinObservers, int(proberShare*float64(len(fleet))))
}

package outlier

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// selection holds the servers that are currently ejected, within the limits of their groups. It is not safe for concurrent use.
type selection struct {
	ejected      map[string]bool
	alternatives map[string][]string // by ejected server: the members of its group that are not ejected
	probing      map[string]bool     // by ejected server: whether this pooler is one of its current probers
}

func newSelection() selection {
	return selection{ejected: map[string]bool{}, alternatives: map[string][]string{}, probing: map[string]bool{}}
}

// update recomputes the selection from the members of the groups. self is the name of this pooler, and fleet holds the names of all.
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

// isProber reports whether the pooler self is one of the few that currently probe an ejected server. It uses rendezvous hashing over the
// names and the current probeInterval, so no coordination is needed. Poolers with different clocks or members may select too many probers
// or too few for an interval.
func (s Settings) isProber(now time.Time, self string, fleet []string, server string) bool {
	interval := strconv.FormatInt(now.UnixNano()/int64(probeInterval), 10)
	rank := func(pooler string) uint64 { return xxhash.Sum64String(pooler + "\x00" + server + "\x00" + interval) }
	own, lowerRanked := rank(self), 0
	for _, pooler := range fleet {
		if pooler != self && rank(pooler) < own {
			lowerRanked++
		}
	}
	return lowerRanked < max(minProbers*s.MinObservers, int(proberShare*float64(len(fleet))))
}

package discoveryleader

import "time"

// Announcement is what the leader tells the fleet: the list that it handed on last. Announcements are ordered by Token, then
// Sequence.
type Announcement struct {
	Token    uint64 `json:"token"` // of the leader's lease
	Sequence uint64 `json:"seq"`   // counts the lists announced under the lease; 0: none yet
	Holder   string `json:"holder"`
	Source   string `json:"source"` // the pooler that has the list: the leader's name in the fleet
}

// Before reports whether a is older than other.
func (a Announcement) Before(other Announcement) bool {
	return a.Token < other.Token || a.Token == other.Token && a.Sequence < other.Sequence
}

// fetchSpacing spreads the fetches of a fleet after a new list, by the number of its poolers: one that serves the list serves
// some hundred a second beside its own work.
const fetchSpacing = 5 * time.Millisecond

// listState is which list the fleet has, and which one this pooler.
type listState struct {
	newest         Announcement  // the newest announcement, of another leader or of this pooler itself
	installed      Announcement  // the newest announcement that the list in force is not older than
	lastHeardAt    time.Duration // when the last announcement came that was not refused
	missingSince   time.Duration // since when the list of the newest announcement has been missing here
	addressUnknown bool          // the list of the newest announcement can't be used here
	fetchInFlight  bool
	nextFetchAt    time.Duration
}

// missing reports whether the list of the newest announcement is not in force here.
func (l *listState) missing() bool { return l.newest.Sequence > 0 && l.installed != l.newest }

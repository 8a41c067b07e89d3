package discoveryleader

import "time"

// Announcement identifies the server list that the leader has distributed last. Announcements are ordered by Token, then by
// Sequence.
type Announcement struct {
	Token    uint64 `json:"token"` // fencing token of the leader's lease
	Sequence uint64 `json:"seq"`   // number of lists announced under the lease so far; 0: none
	Holder   string `json:"holder"`
	Source   string `json:"source"` // pooler to fetch the list from: the leader's name in the fleet
}

// Before reports whether the announcement is older than other.
func (a Announcement) Before(other Announcement) bool {
	return a.Token < other.Token || a.Token == other.Token && a.Sequence < other.Sequence
}

// fetchSpacing is the average interval between two fetches of a new list, over all poolers of the fleet. The pooler that serves
// the list can serve some hundred fetches per second beside its own work.
const fetchSpacing = 5 * time.Millisecond

// listState records the newest list of the fleet and the list that is in force at this pooler.
type listState struct {
	newest         Announcement  // newest announcement, of another leader or of this pooler itself
	installed      Announcement  // newest announcement whose list is no newer than the list in force
	leaderSeenAt   time.Duration // last accepted announcement or list, start, or end of this pooler's own lease
	missingSince   time.Duration // time since which this pooler has lacked the newest list
	addressUnknown bool          // a fetched list names a server whose address this pooler does not know; no list is fetched
	fetchInFlight  bool          // a fetch has been requested and has not ended
	nextFetchAt    time.Duration // earliest time of the next fetch
}

// missing reports whether this pooler lacks the list of the newest announcement.
func (l *listState) missing() bool { return l.newest.Sequence > 0 && l.installed != l.newest }

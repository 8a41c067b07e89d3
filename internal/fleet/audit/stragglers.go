package audit

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Straggler is a pooler that acted on a version older than the fleet's newest one for longer than Limits.Grace.
type Straggler struct {
	Instance     string `json:"Instance"`
	Subject      string `json:"What"`  // "list" or "config"
	From         int64  `json:"From"`  // when any pooler first applied the newer version; Unix time in ns
	To           int64  `json:"To"`    // when this pooler applied it or an even newer one; Unix time in ns, 0 if never
	HasVersion   string `json:"Has"`   // version before WantsVersion
	WantsVersion string `json:"Wants"` // the newer version
}

// rollout holds the times at which instances first applied a version.
type rollout struct {
	version    string
	token      uint64           // of a list; unused for a configuration
	sequence   uint64           // of a list; unused for a configuration
	firstAt    int64            // first application by any instance, Unix time in ns
	byInstance map[string]int64 // first application by instance, Unix time in ns
}

// rollouts are the rollouts of all lists, or of all configurations, from the oldest version to the newest.
type rollouts []*rollout

// add adds a record of an instance that has applied a version.
func (all *rollouts) add(version string, r Record) {
	i := slices.IndexFunc(*all, func(known *rollout) bool { return known.version == version })
	if i < 0 {
		i = len(*all)
		*all = append(*all, &rollout{version: version, token: r.Token, sequence: r.Sequence, firstAt: r.At, byInstance: map[string]int64{}})
	}
	current := (*all)[i]
	if _, known := current.byInstance[r.Instance]; !known {
		current.byInstance[r.Instance] = r.At
	}
}

// firstApplied returns the time at which an instance first applied the ith version or a newer one. ok is false if it never did.
func (all rollouts) firstApplied(i int, instance string) (at int64, ok bool) {
	for _, current := range all[i:] {
		if appliedAt, applied := current.byInstance[instance]; applied && (!ok || appliedAt < at) {
			at = appliedAt
			ok = true
		}
	}
	return at, ok
}

// findStragglers returns the instances that applied a list or a configuration late, or not at all during their recorded time. Lists are
// ordered by token and sequence. Configurations are ordered by the time at which they were first applied, because digests have no order.
func findStragglers(records []Record, grace time.Duration) []Straggler {
	var lists, configs rollouts
	for _, r := range records {
		switch {
		case (r.Act == ListApplied || r.Act == ListAnnounced) && r.Token > 0:
			lists.add(listVersion(r.Token, r.Sequence), r)
		case r.Act == Started || r.Act == ConfigApplied:
			configs.add(r.Config, r)
		}
	}
	slices.SortFunc(lists, func(a, b *rollout) int {
		return cmp.Or(cmp.Compare(a.token, b.token), cmp.Compare(a.sequence, b.sequence))
	})
	spans := recordedSpans(records)
	found := append(lists.stragglers("list", spans, grace), configs.stragglers("config", spans, grace)...)
	slices.SortFunc(found, func(a, b Straggler) int {
		return cmp.Or(cmp.Compare(a.From, b.From), strings.Compare(a.Instance, b.Instance), strings.Compare(a.Subject, b.Subject))
	})
	return found
}

// stragglers returns the stragglers of each version except the first, which replaces no other. The grace period of an instance that began
// after a version was first applied starts with the instance.
func (all rollouts) stragglers(subject string, spans map[string]recordedSpan, grace time.Duration) []Straggler {
	var found []Straggler
	for i := 1; i < len(all); i++ {
		for instance, span := range spans {
			if span.first > all[i].firstAt+int64(grace) {
				continue
			}
			deadline := max(all[i].firstAt, span.first) + int64(grace)
			at, ok := all.firstApplied(i, instance)
			isLate := ok && at > deadline || !ok && span.last > deadline
			if isLate {
				found = append(found, Straggler{Instance: instance, Subject: subject, From: all[i].firstAt, To: at, HasVersion: all[i-1].version, WantsVersion: all[i].version})
			}
		}
	}
	return found
}

// recordedSpan is the time from an instance's first record to its last, in Unix ns. Nothing is known about the instance outside of it,
// whether the last record is Ended or not.
type recordedSpan struct{ first, last int64 }

// recordedSpans returns the recorded spans by instance.
func recordedSpans(records []Record) map[string]recordedSpan {
	spans := map[string]recordedSpan{}
	for _, r := range records {
		span, known := spans[r.Instance]
		if !known {
			span.first = r.At
		}
		span.last = r.At
		spans[r.Instance] = span
	}
	return spans
}

// listVersion returns the version of a list in the form TOKEN.SEQUENCE.
func listVersion(token, sequence uint64) string {
	return strconv.FormatUint(token, 10) + "." + strconv.FormatUint(sequence, 10)
}

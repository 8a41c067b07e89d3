package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// The tables of the planned size that rest on the code: bounds by its constants where no record has a measurement, and which mechanism
// carries what.

// roles lists what each role holds, its bound at the planned size, and the packages that carry it.
func (g *page) roles() Table {
	n, term := g.n, c("config.DefaultTerm")
	pull := c("gossip.pushPullInterval") * (math.Ceil(math.Log2(n)-5) + 1)
	return Table{"roles", []string{"role", "state it holds", "bound at this size, by the code", "carried by"}, [][]string{
		{"client", "one connection, one request at a time", fmt.Sprintf("%s connections a pooler; no control message reaches it", digits(float64(g.Clients)/n)), "`internal/pooler/connlimit`, `internal/transport`"},
		{"pooler", fmt.Sprintf("the list of %s databases, a replica of the documents, a gossip member for each other pooler", digits(float64(g.Databases))),
			fmt.Sprintf("list: up to %s databases (`serverlist.MaxServers`); documents: up to %s (`replication.MaxTotalSize`); the complete state of %s members is exchanged with one other each %s s (`gossip.pushPullInterval`, memberlist's scale), and with each pooler that joins",
				digits(c("serverlist.MaxServers")), quantity(c("replication.MaxTotalSize"), "B"), digits(n), digits(pull)),
			"`internal/pooler`, `internal/fleet/replication`, `internal/fleet/gossip`"},
		{"voter", "leases and all documents, its log, a connection of each client", fmt.Sprintf("%s clients at once (`consensus.maxConnections`), %s poolers with a connection or two each; at most %s voters (`config.MaxVoters`)",
			digits(c("consensus.maxConnections")), digits(n), digits(c("config.MaxVoters"))), "`internal/fleet/consensus`"},
		{"leading voter", "the same, and a datagram a pooler for each announcement", fmt.Sprintf("%s datagrams a heartbeat of %s, and as many at each change (one in %s)", digits(n-1), quantity(term/3, "s"), quantity(day/g.ConfigChanges.PerDay, "s")),
			"`internal/fleet/replication` (`Replicator.announce`), `internal/fleet/gossip` (`Bus.Broadcast`)"},
		{"discovery leader", "the watch of the discovery service, the newest list", fmt.Sprintf("%s datagrams a third of a lease's duration; complete lists to %d poolers at once (`fleet.maxListTransfers`); a pooler publishes the version of its list %s after it has it at the latest (`gossip.metaUpdateSpacing`), so nearly all request it of the leader",
			digits(n-1), int(c("fleet.maxListTransfers")), quantity(c("gossip.metaUpdateSpacing")*n, "s")), "`internal/fleet/discoveryleader`, `internal/fleet`"},
		{"distributor", "a stream of each of its poolers, the documents, the latest changes", "processor " + g.pick("distribution", "change", "distributor", "cpu").value(g.n) + ", memory " + g.pick("distribution", "change", "distributor", "rss").value(g.n) + ", bytes out " + g.pick("distribution", "change", "distributor", "bytes_out").value(g.n) + ", each of as many as were measured; a stream a pooler: see machines", "`internal/fleet/distribution`"},
		{"allocator of limits", "an account of each pooler, each key's wants and quotas", fmt.Sprintf("%s requests and as many grants a second (one a pooler each third of a lease's duration), each over a connection of its own (`gossip.Bus`); %s of them may wait (`quota.maxQueuedRequests`)",
			digits(3*n/term), digits(c("quota.maxQueuedRequests"))), "`internal/fleet/quota` (`Allocator`)"},
		{"outlier detection", "the newest report of each observer; every pooler is one", fmt.Sprintf("%s observers count (`outlier.maxObservers`) of %s; while they complain %s reports a second at each pooler of up to %s bytes: %s",
			digits(c("outlier.maxObservers")), digits(n), digits(n/c("outlier.maxReportInterval")), digits(c("outlier.maxReportSize")), quantity(n/c("outlier.maxReportInterval")*c("outlier.maxReportSize"), "B/s")), "`internal/fleet/outlier`"},
		{"coordinator of shard moves", "the map, and each pooler's acknowledgement in a move", fmt.Sprintf("in a move %s requests a second and as many answers to one; at rest none", digits(c("shardmap.requestsPerTerm")*n/term)), "`internal/fleet/shardmap` (`Coordinator`)"},
		{"discovery service, as we call it", "one watch of the leader's", fmt.Sprintf("one watch while the leader's announcements arrive; without them each of %s poolers calls for itself, spread over %s (`policy.listPollSpacing`) but no longer than until a change counts as notified", digits(n), quantity(c("policy.listPollSpacing")*n, "s")),
			"`internal/fleet/discoveryleader`, `internal/pooler` (`discovery_watcher.go`)"},
		{"database, as we load it", "connections of each pooler that sends there", fmt.Sprintf("up to one connection and more of each of %s poolers; a primary %s pings a second of all together (`policy.primaryPingInterval`)", digits(n), digits(1/c("policy.primaryPingInterval"))),
			"`internal/transport` (`Pool`), `internal/policy`"},
	}}
}

// rows lists what the page must state of the planned fleet, each with its limit, its mechanism and the size at which it gives way.
func (g *page) rows() Table {
	n, term, within := g.n, c("config.DefaultTerm"), g.ConfigChanges.Within
	clients := float64(g.Clients / g.Poolers)
	fleet := func(phase string) string { return fmt.Sprintf("%s_fleet_%d", phase, g.Poolers) }
	fetch := c("replication.minAnnouncementInterval") + c("replication.fetchSpreadPerMember")*n
	sites := c("replication.MaxDocumentSize") / n
	perRange := c("replication.MaxDocumentSize") / float64(g.Groups())
	return Table{"rows", []string{"what", "limit", "at this size", "carried today by", "gives way at", "instead"}, [][]string{
		{"a document's change in force everywhere", quantity(within, "s"),
			fmt.Sprintf("%s; bound: 50 ms and two messages by an announcement, but %s (`replication.minAnnouncementInterval` + `replication.fetchSpreadPerMember` × poolers) where the announcement is lost or what changed is over %s (`replication.maxDeltaSize`)", "the last pooler: "+g.lastInForce("gossip", "change")+" by gossip, "+g.lastInForce("distribution", "change")+" by distribution", quantity(fetch, "s"), quantity(c("replication.maxDeltaSize"), "B")),
			"announcements and fetches: `internal/fleet/replication`", digits(g.untilFetch("replication.fetchSpreadPerMember")) + " poolers", "distribution (first, built)"},
		{"a list's change in force everywhere", quantity(within, "s"), fmt.Sprintf("%s; bound: %s (`discoveryleader.fetchSpacing` × poolers) and the transfers, %d at once", NotMeasured, quantity(c("discoveryleader.fetchSpacing")*n, "s"), int(c("fleet.maxListTransfers"))),
			"announcement and complete list: `internal/fleet/discoveryleader`, `internal/fleet`", digits(math.Floor(within/c("discoveryleader.fetchSpacing"))) + " poolers", "distribution's resource of lists (first, built)"},
		{"60 changes a minute", quantity(within, "s"), fmt.Sprintf("the last pooler: %s by gossip, %s by distribution; bound of gossip on an ordinary day: %s datagrams a second from the leading voter's process, announcements each %s and changes", g.lastInForce("gossip", "changes60"), g.lastInForce("distribution", "changes60"),
			digits(n*(3/term+g.ConfigChanges.PerDay/day)), quantity(term/3, "s")), "`internal/fleet/gossip` (`Bus.Broadcast`)", "see order", "distribution (first, built)"},
		{"a change of primary over", quantity(g.PrimaryChanges.Within, "s"), NotMeasured + fmt.Sprintf("; noticed by each pooler that uses the group, by an attempt or by a ping of all poolers' %s a second; reported to the leader by a datagram; the leader's announcement goes to all. A leader that never used the group does not probe it, and each pooler repeats rounds for itself",
			digits(1/c("policy.primaryPingInterval"))), "`internal/policy` (`probe_rounds.go`), `internal/pooler` (`primary_announcements.go`)", "groups that the leader does not use", "fifth: groups assigned to watchers"},
		{"notifying the poolers of it", "poolers that use the group", fmt.Sprintf("today all: %s datagrams each, %s a day", digits(n-1), digits((n-1)*g.PrimaryChanges.PerDay)), "`fleet.Coordinator` (`AnnouncePrimary`)", "no limit found", "distribution carries it (first, built)"},
		{fmt.Sprintf("watching %s databases", digits(float64(g.Databases))), "none stated", fmt.Sprintf("primaries alone: %s pings a second for %s groups, %s a pooler, and only of groups that a pooler used in the last %s (`policy.primaryPingInterval` × poolers); replicas by the results of requests",
			digits(float64(g.Groups())/c("policy.primaryPingInterval")), digits(float64(g.Groups())), digits(float64(g.Groups())/c("policy.primaryPingInterval")/n), quantity(c("policy.primaryPingInterval")*n, "s")), "`internal/policy` (ping)", "no pooler watches an idle group", "fifth: groups assigned to watchers"},
		{"the size of a complete list", quantity(c("discovery.maxListBytes"), "B") + " (`discovery.maxListBytes`)", g.listSize(), "`internal/protocol/discovery`", "see what gives way first", "ninth: larger lists, applied by difference"},
		{"complete lists at start and at return", "the 2 KB a second", g.lists(), "`fleet.Coordinator` (`SendList`), `discovery.List`", g.listsUntil(), "distribution's resource of lists: complete at a start, deltas after it (first, built)"},
		{"complete documents at start and at return", "the 2 KB a second", fmt.Sprintf("up to %s a pooler (`replication.MaxTotalSize`), %s for all; at %s restarts a day %s a second for all", quantity(c("replication.MaxTotalSize"), "B"), quantity(c("replication.MaxTotalSize")*n, "B"),
			digits(g.Faults.RestartsPerDay), quantity(c("replication.MaxTotalSize")*g.Faults.RestartsPerDay/day, "B")), "`internal/fleet/replication` (`Replicator.catchUp`), replica on disk", "sufficient while documents are few", "distribution: deltas from the replica on disk (first, built)"},
		{"connections at a database", "not stated by the operators", fmt.Sprintf("at a primary %s if each pooler uses all groups alike, %s if it uses a tenth of them; %s busy at a time if a statement takes 5 ms (assumed). No bound limits how many poolers hold one",
			g.of(fleet("all_groups"), "derived", "connections_primary", "pooler").value(n), g.of(fleet("tenth_of_groups"), "derived", "connections_primary", "pooler").value(n), digits(g.Statements/float64(g.Databases)*0.005)),
			"`internal/transport` (`Pool`); limits bound the rate of new ones only", "by the database's own limit", "sixth: each pooler uses some replicas of a group only"},
		{fmt.Sprintf("memory of %s clients", digits(float64(g.Clients)/n)), "the pooler's own, beside control", "idle " + g.of("resting", "pooler", "rss", "client").value(clients) + ", with a request of each open " + g.of("busy", "pooler", "rss", "client").value(clients), "`internal/transport`", "–", "–"},
		{"limits: requests to one allocator", "one core of a pooler", fmt.Sprintf("%s; bound: %s requests a second; after a change of allocator all %s at once, of which %s may wait (`quota.maxQueuedRequests`)", NotMeasured, digits(3*n/term), digits(n), digits(c("quota.maxQueuedRequests"))),
			"`internal/fleet/quota`", digits(c("quota.maxQueuedRequests")) + " poolers", "third: allocation in two steps"},
		{"limits: candidates for the lease", fmt.Sprintf("%s connections at a voter", digits(c("consensus.maxConnections"))), fmt.Sprintf("%s poolers are candidates, each with a connection to the leading voter, and send a request once in a lease's duration or so", digits(n)), "`replication.Campaign`", digits(c("consensus.maxConnections")) + " poolers", "distributors alone are candidates (first, built)"},
		{"limits at each database", fmt.Sprintf("%s keys a pooler (`quota.maxBuckets`)", digits(c("quota.maxBuckets"))), fmt.Sprintf("%s databases are as many keys of each limit on connections, cold or probes; a request names %s (`quota.maxRequestedKeys`)", digits(float64(g.Databases)), digits(c("quota.maxRequestedKeys"))),
			"`internal/fleet/quota`", digits(c("quota.maxBuckets")) + " databases used by one pooler", "third"},
		{"outlier detection: reports to all", "the 2 KB a second", fmt.Sprintf("%s; bound while poolers complain: %s messages a second in the fleet, %s at each pooler", NotMeasured, digits(n*n/c("outlier.maxReportInterval")), quantity(n/c("outlier.maxReportInterval")*c("outlier.maxReportSize"), "B/s")),
			"`internal/fleet/outlier`", digits(c("outlier.maxObservers")) + " observers, " + digits(c("outlier.maxServers")) + " databases seen by one", "second: evidence aggregated by distributors"},
		{"purges: the plan", quantity(c("replication.MaxDocumentSize"), "B") + " a document (`replication.MaxDocumentSize`)", fmt.Sprintf("all sites are in one document: %s bytes each if every pooler had a site of its own; each edge compares clocks once in %s or sooner", digits(sites), quantity(c("purge.maxComparisonInterval"), "s")),
			"`internal/fleet/purge`", "by sites, whose number the operators have not stated", "seventh: a document a site"},
		{"shard maps: enrollment", fmt.Sprintf("%s documents (`replication.MaxDocuments`)", digits(c("replication.MaxDocuments"))), fmt.Sprintf("a document a pooler: %s; %s writes a day by restarts", digits(n), digits(2*g.Faults.RestartsPerDay)), "`internal/fleet/shardmap` (`shards/router/NAME`)", digits(c("replication.MaxDocuments")) + " poolers", "fourth: enrollment at distributors"},
		{"shard maps: the map", quantity(c("replication.MaxDocumentSize"), "B") + " a document", fmt.Sprintf("one document: %s bytes a group if each has one range", digits(perRange)), "`internal/fleet/shardmap` (`shards/map`)", "by ranges", "fourth: a map in several documents"},
		{"the audit's journals", "disk", fmt.Sprintf("up to %s MB a pooler (`config.defaultJournalMB`, `config.defaultMaxRotated`), %s for all; a record for each list or configuration applied: up to %s a day in the fleet; merging them: %s", digits(c("config.defaultJournalMB")*(1+c("config.defaultMaxRotated"))), quantity(c("config.defaultJournalMB")*(1+c("config.defaultMaxRotated"))*n*1e6, "B"), digits(g.ConfigChanges.PerDay*n), NotMeasured),
			"`internal/fleet/audit`", NotMeasured, "eighth: journals merged by region"},
	}}
}

// lists is what whole lists take.
func (g *page) lists() string {
	r := g.of("startup", "pooler", "list_bytes", "server")
	text := fmt.Sprintf("a complete list: %s; it goes as a whole to each pooler at each change of it", r.value(float64(g.Databases)))
	if bytes, ok := r.at(float64(g.Databases)); ok {
		day := bytes * g.ConfigChanges.PerDay / day
		text += fmt.Sprintf(": %s to each and %s to all if all changes were of lists, and %s at the return of a region", quantity(day, "B/s"), quantity(day*g.n, "B/s"),
			quantity(bytes*float64(g.InRegion(g.Poolers)), "B"))
	}
	return text
}

// first is what gives way, the smallest share of the plan first.
func (g *page) first() Table {
	type limit struct {
		what, by string
		size     float64
		text     string
		plan     float64
	}
	poolers := func(what, by string, size float64) limit {
		return limit{what, by, size, digits(size) + " poolers", g.n}
	}
	databases := func(what, by string, size float64) limit {
		return limit{what, by, size, digits(size) + " databases", float64(g.Databases)}
	}
	all := []limit{
		poolers("a document's change in force in time, where its announcement is lost or it is large", "`replication.fetchSpreadPerMember`", g.untilFetch("replication.fetchSpreadPerMember")),
		poolers("a list's change in force in time", "`discoveryleader.fetchSpacing`", math.Floor(g.ConfigChanges.Within/c("discoveryleader.fetchSpacing"))),
		poolers("requests to the limits' allocator at once", "`quota.maxQueuedRequests`", c("quota.maxQueuedRequests")),
		poolers("connections to the leading voter, with limits on", "`consensus.maxConnections`", c("consensus.maxConnections")),
		poolers("observers that outlier detection counts", "`outlier.maxObservers`", c("outlier.maxObservers")),
		poolers("documents of enrolled poolers, with shard maps on", "`replication.MaxDocuments`", c("replication.MaxDocuments")),
		databases("servers that one observer reports for outlier detection", "`outlier.maxServers`", c("outlier.maxServers")),
		databases("keys of limits at one pooler, one limit by server", "`quota.maxBuckets`", c("quota.maxBuckets")),
		databases("servers in a list", "`serverlist.MaxServers`", c("serverlist.MaxServers")),
	}
	line := func(what string, r reading, most float64, of string, plan float64) {
		if n, text, ok := r.until(most, of); ok {
			all = append(all, limit{"a pooler's budget, " + what, "line of " + r[0].Run, n, text, plan})
		}
	}
	for _, b := range g.budgets() {
		for _, phase := range []string{"rest", "change", "restart"} {
			line(b.name+", while "+phase, g.pick("gossip", phase, "pooler", b.figures...), b.limit, "poolers", g.n)
		}
		line(b.name+", by its list at rest", g.of("rest", "pooler", b.figures[0], "server"), b.limit, "databases", float64(g.Databases))
	}
	line("bytes, if each change is a complete list", g.of("startup", "pooler", "list_bytes", "server"), g.Control.Bytes*day/g.ConfigChanges.PerDay, "databases", float64(g.Databases))
	if n, text, ok := g.of("startup", "pooler", "list_bytes", "server").until(c("discovery.maxListBytes"), "databases"); ok {
		all = append(all, limit{"a complete list's text, with names as short as the laboratory's", "`discovery.maxListBytes`", n, text, float64(g.Databases)})
	}
	if r, ok := g.longNames(); ok {
		all = append(all, databases("a complete list's text, with names of 32 bytes", "`discovery.maxListBytes`, "+longNames, math.Floor(c("discovery.maxListBytes")/r.Median*float64(r.Size))))
	}
	slices.SortStableFunc(all, func(a, b limit) int { return cmp.Compare(a.size/a.plan, b.size/b.plan) })
	t := Table{Name: "first", Head: []string{"what gives way", "at", "of the plan's", "by"}}
	for _, l := range all {
		t.Rows = append(t.Rows, []string{l.what, l.text, digits(100*l.size/l.plan) + "% of " + digits(l.plan), l.by})
	}
	return t
}

// longNames is the run whose servers have names of 32 bytes.
const longNames = "pooler-long-names"

// longNames is what a list of such servers takes.
func (g *page) longNames() (Row, bool) {
	for _, run := range g.runs {
		for _, r := range run.Rows {
			if run.Name == longNames && r.Figure == "list_bytes" {
				return r, true
			}
		}
	}
	return Row{}, false
}

// listSize is how far the plan's list is from the largest that is taken.
func (g *page) listSize() string {
	text := fmt.Sprintf("a server may take %s; %s with names as short as the laboratory's", quantity(c("discovery.maxListBytes")/float64(g.Databases), "B"), g.of("startup", "pooler", "list_bytes", "server").value(float64(g.Databases)))
	if r, ok := g.longNames(); ok {
		text += fmt.Sprintf("; names of 32 bytes take %s a server (%s at %s, %s), and a longer list is rejected as a whole", quantity(r.Median/float64(r.Size), "B"), quantity(r.Median, "B"), digits(float64(r.Size)), longNames)
	}
	return text
}

// listsUntil is the largest list that may go whole to a pooler at each change within its budget.
func (g *page) listsUntil() string {
	bytes := g.Control.Bytes * day / g.ConfigChanges.PerDay
	if _, text, ok := g.of("startup", "pooler", "list_bytes", "server").until(bytes, "databases"); ok {
		return text + ", if all changes are of lists"
	}
	return "a list of " + quantity(bytes, "B") + ", if all changes are of lists"
}

// untilFetch is the largest fleet whose fetches, spread by a constant, are over in time.
func (g *page) untilFetch(each string) float64 {
	return math.Floor((g.ConfigChanges.Within - c("replication.minAnnouncementInterval")) / c(each))
}

// lastInForce is after what time the last ordinary pooler had a change in force, by the records, at the plan's size.
func (g *page) lastInForce(mechanism, phase string) string {
	return g.pick(mechanism, phase, "pooler", "in_force_last").value(g.n)
}

// excess is how many times what a phase takes beyond rest.
type excess struct {
	phase string
	times float64
}

// faults are the worst hours: what they are by numbers, and what follows from the measured phases: rest, and what a phase took beyond it
// times how much more of it there is.
func (g *page) faults() Table {
	t := Table{Name: "faults", Head: []string{"what happens", "by numbers", "worked out from", "pooler's bytes, gossip", "distribution", "pooler's processor, gossip", "distribution"}}
	change, restart := g.ConfigChanges.PerDay/day*c("scale.changeEvery"), g.Faults.RestartsPerDay/day*c("scale.restartEvery")
	minute := float64(g.Faults.RestartsAtOnce) / 60 * c("scale.restartEvery")
	lost := func(n int) float64 { return float64(n) / g.n / c("scale.lossShare") }
	for _, f := range []struct {
		what, numbers string
		from          []excess
	}{
		{"an ordinary day", fmt.Sprintf("a change each %s, a restart each %s", quantity(day/g.ConfigChanges.PerDay, "s"), quantity(day/g.Faults.RestartsPerDay, "s")), []excess{{"change", change}, {"restart", restart}}},
		{"60 changes a minute", "as might be in an incident", []excess{{"changes60", 1}}},
		{"one machine fails", fmt.Sprintf("%d of %s poolers", g.Assumed.PoolersPerHost, digits(g.n)), []excess{{"loss5", lost(g.Assumed.PoolersPerHost)}}},
		{"a rack or switch", fmt.Sprintf("%d poolers at once", g.InRack()), []excess{{"loss5", lost(g.InRack())}}},
		{"a zone", fmt.Sprintf("%d poolers (%s%%) and %d databases at once", g.InZone(g.Poolers), digits(100*float64(g.InZone(g.Poolers))/g.n), g.InZone(g.Databases)), []excess{{"loss5", lost(g.InZone(g.Poolers))}}},
		{"regions partitioned for " + quantity(g.Faults.Apart/60, "min"), fmt.Sprintf("%s poolers without the others", digits(float64(g.InRegion(g.Poolers)))), nil},
		{"and their return", fmt.Sprintf("%s changes missed, %s poolers that fetch", digits(math.Ceil(g.ConfigChanges.PerDay*g.Faults.Apart/day)), digits(float64(g.InRegion(g.Poolers)))), nil},
		{digits(g.Faults.RestartsPerDay) + " restarts in a day", quantity(g.Faults.RestartsPerDay/day, "1/s"), []excess{{"restart", restart}}},
		{fmt.Sprintf("%d restarts in a minute", g.Faults.RestartsAtOnce), quantity(float64(g.Faults.RestartsAtOnce)/60, "1/s"), []excess{{"restart", minute}}},
		{"all poolers start, as the run had them join", digits(g.n), []excess{{"join", 1}}},
	} {
		from := "no phase"
		for i, e := range f.from {
			if i == 0 {
				from = "rest"
			}
			from += fmt.Sprintf(" + %s × (%s - rest)", digits(e.times), e.phase)
		}
		row := []string{f.what, f.numbers, from}
		for _, figures := range [][]string{{"bytes_in", "bytes_out"}, {"cpu"}} {
			for _, m := range mechanisms {
				row = append(row, g.beyond(m, f.from, figures...))
			}
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// beyond is what an ordinary pooler takes with all that goes on beyond rest.
func (g *page) beyond(mechanism string, from []excess, figures ...string) string {
	rest := g.pick(mechanism, "rest", "pooler", figures...)
	base, ok := rest.at(g.n)
	v, worst := base, rest.growth()
	for _, e := range from {
		r := g.pick(mechanism, e.phase, "pooler", figures...)
		with, known := r.at(g.n)
		ok = ok && known
		v += e.times * max(with-base, 0)
		if r.growth() == Worse {
			worst = Worse
		}
	}
	switch {
	case !ok || len(from) == 0:
		return NotMeasured
	case v == base:
		return "as at rest: " + rest.value(g.n)
	case worst == Worse:
		return "at least " + quantity(v, rest[0].Unit)
	}
	return quantity(v, rest[0].Unit)
}

// regions is what each side decides, and what it refuses, while regions are apart.
func (g *page) regions() Table {
	return Table{"regions", []string{"what", "side with a majority of voters", "side without", "at the return"}, [][]string{
		{"requests, reads and writes at reachable databases", "go on", "go on", "nothing to do"},
		{"leases", "held and passed on", "those held end a drift before their duration is over; none is granted", "the side without follows the other's leaders"},
		{"documents", "written", "every write is refused or gets no answer; the replica stays and its age is reported", "the newest version by announcement or fetch"},
		{"server lists", "one call for all", fmt.Sprintf("each pooler calls the discovery service by itself: up to %s of them", digits(float64(g.InRegion(g.Poolers)))), "an announcement with a newer token, a complete list each"},
		{"limits", "allocated", "quotas end within a duration and a drift, then safe shares: the reserve, divided by all poolers", "a request of each pooler at once"},
		{"a group without a primary", "the leader repeats its rounds for this side", fmt.Sprintf("each pooler that queues writes repeats rounds by itself: up to %s of them. Poolers elect no primary: they follow the one that they reach", digits(float64(g.InRegion(g.Poolers)))), "newer evidence takes precedence"},
		{"ejection of servers", "by what is observed on this side: each region has the zones for it", "the same", "reports of both sides, within a report's lifetime"},
		{"purges by calendar", "at their instant", "at their instant; nothing from the cache once the replica is older than `confirm_ms`", "missed orders are recorded"},
		{"shard maps at rest", "nothing changes", "enrolled poolers write; one that starts accepts no writes of mapped keys", "it enrolls"},
		{"a move under way", "in `prepared` waits for the unreachable poolers, and is undone in the end; later waits for their rights' end", "in `prepared` writes go on; later none to the moving range once the right is over", "the map as it is then"},
	}}
}

// machines is what those set aside hold, and how many may fail.
func (g *page) machines() Table {
	t := Table{Name: "machines", Head: []string{"left", "when", "poolers on each, evenly", "of the descriptors, a stream each", "budget of all poolers' control, a machine", "all documents to all poolers, by the network alone",
		"a distributor's processor", "memory", "descriptors", "bytes out"}}
	count, zones := g.Machines.Count, g.Zones()
	inZone := int(math.Ceil(float64(count) / float64(zones)))
	for _, m := range []struct {
		lost int
		when string
	}{{0, "none has failed"}, {1, "one has failed"}, {inZone, "a zone is lost"}, {g.InRegion(count), "the largest region is lost or partitioned"}, {count - 3, "three are left"}} {
		left := float64(count - m.lost)
		each := math.Ceil(g.n / left)
		row := []string{fmt.Sprint(count - m.lost), m.when, digits(each), digits(100*each/float64(g.Machines.Descriptors)) + "%", quantity(each*g.Control.Bytes, "B/s"),
			quantity(g.n*c("replication.MaxTotalSize")/left/g.Machines.Bytes, "s")}
		for _, figure := range []string{"cpu", "rss", "descriptors", "bytes_out"} { // as if the fleet were so much larger before all of them
			row = append(row, g.pick("distribution", "change", "distributor", figure).value(math.Round(g.n*float64(count)/left)))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// order is what is missing, first things first.
func (g *page) order() Table {
	n := g.n
	bytes := "by bytes: " + NotMeasured
	if _, text, ok := g.pick("gossip", "rest", "pooler", "bytes_in", "bytes_out").until(g.Control.Bytes, "poolers"); ok {
		bytes = "by bytes at rest: " + text
	}
	return Table{"order", []string{"place", "mechanism", "why", "today's gives way at", "state"}, [][]string{
		{"first", "distribution: one stream a pooler, documents and lists as deltas, only the newest announcement, liveness aggregated by distributors; ordinary poolers are candidates for no lease", "a change in time, the 2 KB a second, connections at voters",
			fmt.Sprintf("by fetches' spread: %s poolers; by clients: %s; %s", digits(g.untilFetch("replication.fetchSpreadPerMember")), digits(c("consensus.maxConnections")), bytes), "built, off as shipped: `internal/fleet/distribution`; gossip is the alternative"},
		{"second", "evidence for outlier detection aggregated by distributors", fmt.Sprintf("%s reports a second in the fleet", digits(n*n/c("outlier.maxReportInterval"))), fmt.Sprintf("%s observers (`outlier.maxObservers`), %s databases of one observer (`outlier.maxServers`)", digits(c("outlier.maxObservers")), digits(c("outlier.maxServers"))), "missing"},
		{"third", "limits allocated in two steps, to distributors and by them", "one allocator receives all requests", fmt.Sprintf("%s requests that wait (`quota.maxQueuedRequests`), %s keys of a pooler (`quota.maxBuckets`)", digits(c("quota.maxQueuedRequests")), digits(c("quota.maxBuckets"))), "missing"},
		{"fourth", "enrollment of routers at distributors, the shard map in several documents", "a document a pooler", fmt.Sprintf("%s documents (`replication.MaxDocuments`)", digits(c("replication.MaxDocuments"))), "missing; shard maps are off as shipped"},
		{"fifth", "groups assigned to watchers, two or three for each, in its own region", "groups that the leader does not use are watched by no pooler, or by all", "no size: it applies to small fleets too", "missing"},
		{"sixth", "each pooler uses a few databases of a group, and few groups have all poolers", "connections at a database", "by the database's own limit; a primary holds " + g.of(fmt.Sprintf("tenth_of_groups_fleet_%d", g.Poolers), "derived", "connections_primary", "pooler").value(n) + " where each pooler uses a tenth of the groups", "half: homes by `internal/rendezvous`, not the connections"},
		{"seventh", "a document a site for purges", "one document for all", "by sites: " + NotMeasured, "missing; purges are off as shipped"},
		{"eighth", "journals merged by region", "reading all at one place", NotMeasured, "missing"},
		{"ninth", "larger lists from the discovery service, and a pooler that applies only what has changed of one", "the bound of a list; a complete list is decoded at each change of it", quantity(c("discovery.maxListBytes"), "B") + " (`discovery.maxListBytes`)", "missing"},
	}}
}

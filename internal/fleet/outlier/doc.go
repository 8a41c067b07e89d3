// Package outlier implements fleet-wide outlier detection and ejection of servers. It extends what Envoy's outlier detection does for one
// proxy to all poolers of a fleet: a single pooler sends too few requests to a server to distinguish a bad server from a bad network link,
// and would lose requests before it could.
//
// The package decides which servers the fleet ejects, and for how long. Every pooler counts the outcomes of its own attempts
// (localEvidence), broadcasts them to the other poolers while it has a complaint about a server (Report, reporter), stores the newest
// report of each observer (reportStore), aggregates the reports (aggregateServers), and decides independently using functions of the
// aggregated evidence alone (Settings.shouldEject, Settings.shouldClear). There is no leader and no consensus, and nothing is written to
// the voters' log: poolers that hold the same reports make the same decisions, and during a partition each side decides from the reports
// that it receives.
//
// The package owns a pooler's local evidence, the stored reports and the ejections, all of bounded size. The methods of Component may be
// called from any goroutine, and its dispatch.Guard methods never block on I/O. Run is the only goroutine that evaluates the evidence,
// sends reports and notifies the Host.
//
// The package does not enforce ejections, send probes, or redirect writes from a primary. The caller must supply the outcomes of attempts
// (Component.Observe, Component.LostPrimary) and the members of each group (Host.Members), and act on the Host notifications.
//
// Invariants:
//   - Fewer than Settings.MinObservers observers, or observers in fewer than Settings.MinZones zones, never eject a server, whatever they
//     report. Complaints of an observer that complains about most servers are ignored. A larger number of complaining observers does not
//     eject a server either while the good answers of other observers outweigh their complaints.
//   - At most the share Settings.MaxEjectedShare of a group's members is ejected, and never the last member.
//   - A pooler that has had good answers itself within freshEvidenceWindow, and no bad one, does not eject the server.
//   - Every ejection ends. No pooler ejects a server that has recovered for longer than Settings.MaxStaleEjection.
//   - The state is bounded: at most maxObservers reports of maxReportSize bytes, and maxServers servers.
//
// docs/verdicts.md describes the rules and derives their bounds. The topic, the settings and the journal keep the earlier name "verdict".
package outlier

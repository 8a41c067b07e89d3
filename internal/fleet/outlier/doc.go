// Package outlier detects outliers among the servers of a whole fleet and ejects them, as Envoy's outlier detection does for one
// proxy: each pooler alone sees too little of a server to tell a bad server from a bad link, and loses requests before it knows.
//
// It decides which servers the fleet ejects, and for how long. Every pooler counts the outcomes of its own attempts (localEvidence),
// reports them to the others while it has something to complain of (Report, reporter), keeps the newest report of each (reportStore),
// joins them (aggregateServers), and decides for itself by functions of the joined evidence alone (Settings.shouldEject,
// Settings.shouldClear). There is no leader, no agreement, and nothing is written to the voters' log: poolers that hold the same reports
// decide the same, and in a partition each side goes by what it sees.
//
// It owns a pooler's evidence, the reports that it holds, and its ejections, all bounded. Component may be called from any goroutine, and
// its guard's methods never wait; Run is the one goroutine that evaluates, reports and tells the Host.
//
// It does not carry ejections out, probe servers by itself, or take writes off a primary: the caller owes the outcomes of attempts
// (Component.Observe, Component.LostPrimary), the members of groups (Host.Members), and what Host is told.
//
// Invariants:
//   - Fewer observers than Settings.MinObservers, or in fewer zones than Settings.MinZones, eject no server, whatever they report. An
//     observer that complains of most servers does not count, and more of them do not count while good answers of others outweigh
//     them.
//   - Of a group's members no more than Settings.MaxEjectedShare are ejected, and never the last one.
//   - A pooler with good answers of its own that are younger than freshEvidenceSpan does not eject the server.
//   - An ejection ends. No pooler ejects a server that is good again for longer than Settings.MaxStaleEjection.
//   - The state is bounded: maxObservers reports of maxReportSize bytes, maxServers servers.
//
// docs/verdicts.md has the rules and their bounds. The topic, the settings and the journal keep the name "verdict".
package outlier

package distribution

// maxSummaryKeys is the maximum number of builds, and of configurations, that a summary counts separately. Poolers with further ones are
// counted under "".
const maxSummaryKeys = 16

// Summary aggregates the reports of poolers: those of one distributor, or those of the whole fleet.
type Summary struct {
	Poolers       int            `json:"poolers"`
	Lagging       int            `json:"behind,omitempty"`  // number of poolers whose documents are older than their distributor's
	OldestVersion uint64         `json:"oldest,omitempty"`  // oldest documents in force at any pooler; 0 if a pooler, or the fleet, has none
	Builds        map[string]int `json:"builds,omitempty"`  // number of poolers by Status.Build
	Configs       map[string]int `json:"configs,omitempty"` // number of poolers by Status.Config
}

// summaryOf returns the summary of one pooler. documents is the name of the documents' resource, and newestVersion the distributor's
// version of it; 0 means that the distributor has no documents.
func summaryOf(report heartbeat, documents string, newestVersion uint64) Summary {
	one := Summary{Poolers: 1, Builds: map[string]int{report.Status.Build: 1}, Configs: map[string]int{report.Status.Config: 1}}
	if newestVersion == 0 {
		return one
	}
	one.OldestVersion = report.Versions[documents]
	if one.OldestVersion < newestVersion {
		one.Lagging = 1
	}
	return one
}

// add merges the summary of other poolers into s.
func (s *Summary) add(other Summary) {
	if s.Poolers == 0 || other.Poolers > 0 && other.OldestVersion < s.OldestVersion {
		s.OldestVersion = other.OldestVersion
	}
	s.Poolers += other.Poolers
	s.Lagging += other.Lagging
	addCounts(&s.Builds, other.Builds)
	addCounts(&s.Configs, other.Configs)
}

// addCounts adds counts to total. Once total has maxSummaryKeys keys, further keys are counted under "".
func addCounts(total *map[string]int, counts map[string]int) {
	if *total == nil {
		*total = map[string]int{}
	}
	for key, count := range counts {
		if _, known := (*total)[key]; !known && len(*total) >= maxSummaryKeys {
			key = ""
		}
		(*total)[key] += count
	}
}

// Summary returns the summary of this distributor's poolers (own), and that of all poolers (all), which includes the summaries that the
// live distributors have reported. Versions are those of the first resource, the documents.
func (d *Distributor) Summary() (own, all Summary) {
	own = d.ownSummary()
	all.add(own)
	for _, reported := range d.registry.reportedSummaries() {
		all.add(reported)
	}
	return own, all
}

// ownSummary returns the summary of this distributor's poolers.
func (d *Distributor) ownSummary() Summary {
	if len(d.resources) == 0 {
		return d.registry.summary("", 0)
	}
	documents := d.resources[0]
	return d.registry.summary(documents.Name, documents.Replica.Version())
}

// summary returns the summary of the poolers that are connected to this distributor.
func (r *registry) summary(documents string, newestVersion uint64) (total Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.streams {
		if !s.Distributor {
			total.add(summaryOf(s.report, documents, newestVersion))
		}
	}
	return total
}

// reportedSummaries returns the summaries of the other live distributors, without those that have reported no poolers.
func (r *registry) reportedSummaries() (summaries []Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, state := range r.directory.distributors {
		if state.openLinks > 0 && state.summary.Poolers > 0 {
			summaries = append(summaries, state.summary)
		}
	}
	return summaries
}

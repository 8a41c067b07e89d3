package distribution

// maxSummaryKeys bounds how many builds and configurations a summary tells apart; further ones are counted under "".
const maxSummaryKeys = 16

// Summary adds up the reports of poolers: of one distributor's, or of all.
type Summary struct {
	Poolers       int            `json:"poolers"`
	Lagging       int            `json:"behind,omitempty"` // poolers whose documents are older than their distributor's
	OldestVersion uint64         `json:"oldest,omitempty"` // of the documents in force at any pooler; 0: one has none, or all have
	Builds        map[string]int `json:"builds,omitempty"` // poolers by Status.Build
	Configs       map[string]int `json:"configs,omitempty"`
}

// summaryOf returns the summary of one pooler, by its report on the documents and the distributor's version of them.
func summaryOf(report heartbeat, documents string, newest uint64) Summary {
	one := Summary{Poolers: 1, Builds: map[string]int{report.Status.Build: 1}, Configs: map[string]int{report.Status.Config: 1}}
	if newest == 0 {
		return one
	}
	one.OldestVersion = report.Versions[documents]
	if one.OldestVersion < newest {
		one.Lagging = 1
	}
	return one
}

// add adds other poolers to a summary.
func (s *Summary) add(other Summary) {
	if s.Poolers == 0 || other.Poolers > 0 && other.OldestVersion < s.OldestVersion {
		s.OldestVersion = other.OldestVersion
	}
	s.Poolers += other.Poolers
	s.Lagging += other.Lagging
	addCounts(&s.Builds, other.Builds)
	addCounts(&s.Configs, other.Configs)
}

// addCounts adds counts to a total of up to maxSummaryKeys keys.
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

// Summary returns the summaries of this distributor's poolers (own) and of all poolers as the live distributors have reported them. Versions are those of
// the first resource, the documents.
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

// summary returns the summary of the poolers whose streams end here.
func (r *registry) summary(documents string, newest uint64) (total Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.streams {
		if !s.Distributor {
			total.add(summaryOf(s.report, documents, newest))
		}
	}
	return total
}

// reportedSummaries returns those of the live distributors that have reported poolers.
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

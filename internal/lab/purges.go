package lab

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"threadsail/internal/lab/scenario"
	"time"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/lab/judge"
	"threadsail/internal/lab/standin"
)

// purges are what the operators' files say of purges, as the scenario's steps change them.
type purges struct {
	scenario.Purges
	revision, orders int
}

func (p purges) site(pooler int) int { return pooler % max(p.Sites, 1) }

// zones are dealt to sites in turn: with daylight saving and without.
var zones = []string{"UTC", "Europe/Budapest", "America/Jamaica"}

// into puts a pooler's part into its file of the fleet: no plan is proposed at the start.
func (p purges) into(file map[string]any, pooler int) {
	if p.Sites > 0 {
		file["purges"] = map[string]any{"site": fmt.Sprint("s", p.site(pooler)), "classes": []string{"any"}, "clock_ms": p.Guard.Milliseconds(),
			"confirm_ms": p.MaxReplicaAge.Milliseconds(), "settle_ms": p.Settle.Milliseconds(), "answers_mb": 1}
	}
}

// closes is a plan by which all sites close at an instant, each on its own clock, on every day.
func (p *purges) closes(at time.Time, files []map[string]any) {
	p.revision++
	calendars, sites := map[string]any{}, map[string]any{}
	for i := range p.Sites {
		zone, err := time.LoadLocation(zones[i%len(zones)])
		if err != nil {
			panic(err) // the laboratory needs the machine's zone data, or those of its program
		}
		every := map[string]string{}
		for d := time.Sunday; d <= time.Saturday; d++ {
			every[strings.ToLower(d.String())] = at.In(zone).Format(time.TimeOnly)
		}
		calendars[zone.String()] = map[string]any{"close": every}
		sites[fmt.Sprint("s", i)] = map[string]any{"zone": zone.String(), "calendar": zone.String()}
	}
	for _, f := range files {
		f["calendars"], f["sites"] = calendars, sites
		f["purges"].(map[string]any)["revision"] = p.revision
	}
}

// order is an order to purge all sites.
func (p *purges) order(at time.Time, files []map[string]any) {
	p.orders++
	for _, f := range files {
		part := f["purges"].(map[string]any)
		all, _ := part["orders"].([]any)
		part["orders"] = append(slices.Clone(all), map[string]any{"name": fmt.Sprint("order-", p.orders), "issued": at.UTC().Format(time.RFC3339Nano)})
	}
}

// read is a read of one of the rows, of which the first are asked for most.
func (p purges) read(rng *rand.Rand, patience time.Duration) string {
	text := standin.Read("any", patience)
	if p.Sites > 0 {
		row := int(rng.ExpFloat64() * float64(p.Rows) / 4)
		text = strings.Replace(text, "'u1'", fmt.Sprintf("'u%d'", min(row, p.Rows-1)), 1)
	}
	return text
}

// made is when a stand-in made an answer; 0: it does not say.
func (p purges) made(answer string) int64 {
	if p.Sites == 0 {
		return 0
	}
	at, _ := strconv.ParseInt(answer, 10, 64)
	return at
}

// purged fills in what came of the purges, by journals and clients.
func (r *fleetRun) purged(rep *FleetReport) {
	if r.purges.Sites == 0 {
		return
	}
	var noted []judge.Noted
	for i, name := range rep.Journals {
		text, err := os.ReadFile(name)
		if err != nil {
			rep.Broken = append(rep.Broken, err.Error())
		}
		records, _ := audit.Parse(name, text)
		for _, a := range records {
			if a.Act == audit.Purged {
				noted = append(noted, judge.Noted{Pooler: i, Purge: a.Purge, Due: time.Unix(0, a.Due), At: a.Time()})
			}
		}
	}
	sizes := make([]int, r.purges.Sites)
	for i := range r.poolers {
		sizes[r.purges.site(i)]++
	}
	var broken []string
	rep.Purges, broken = judge.Purges(noted, rep.Requests, r.purges.site, sizes)
	rep.Broken = append(rep.Broken, broken...)
	for _, q := range rep.Requests {
		if q.MadeAt > 0 {
			rep.Reads++
		}
	}
	for _, s := range r.servers.Servers {
		for _, seen := range s.Seen() {
			if strings.HasPrefix(seen.Text, "SELECT") {
				rep.ReadsAtServers++
			}
		}
	}
}

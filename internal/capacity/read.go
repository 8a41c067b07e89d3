package capacity

import (
	"fmt"
	"path/filepath"

	"threadsail/internal/config"
)

// Read reads DIR/plan.json and the records in DIR/runs, and fits the slopes of the runs that the plan names. An error names the file,
// and the line and the key where there is one.
func Read(dir string) (p Plan, found Recorded, err error) {
	at, err := config.ReadPlan(filepath.Join(dir, "plan.json"), &p)
	if err != nil {
		return p, found, err
	}
	if len(p.Regions) == 0 {
		return p, found, at(fmt.Errorf("regions: missing or empty"))
	}
	runs, err := Load(filepath.Join(dir, "runs"))
	if err != nil {
		return p, found, err
	}
	if found, err = Fit(runs, p.Runs, p.LeftOut, p.Alike); err != nil {
		return p, found, at(err)
	}
	known := map[string]bool{}
	for k := range found.Slopes {
		known[k.String()] = true
	}
	for i, key := range p.Measured {
		if !known[key] {
			return p, found, at(fmt.Errorf("measured[%d]: no record that runs names has the slope %q", i, key))
		}
	}
	return p, found, nil
}

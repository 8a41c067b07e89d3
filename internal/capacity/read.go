package capacity

import (
	"fmt"
	"path/filepath"
)

// Read reads DIR/plan.json and the records in DIR/runs, and fits the slopes of the runs that the plan names. An error names the file,
// and the line and the key where there is one.
func Read(dir string) (p Plan, found Recorded, err error) {
	p, locate, err := readPlan(filepath.Join(dir, "plan.json"))
	if err != nil {
		return p, found, err
	}
	if len(p.Regions) == 0 {
		return p, found, locate(fmt.Errorf("regions: missing or empty"))
	}
	runs, err := Load(filepath.Join(dir, "runs"))
	if err != nil {
		return p, found, err
	}
	if found, err = Fit(runs, p.Runs, p.LeftOut, p.Alike); err != nil {
		return p, found, locate(err)
	}
	known := map[string]bool{}
	for k := range found.Slopes {
		known[k.String()] = true
	}
	for i, key := range p.Measured {
		if !known[key] {
			return p, found, locate(fmt.Errorf("measured[%d]: no record that runs names has the slope %q", i, key))
		}
	}
	return p, found, nil
}

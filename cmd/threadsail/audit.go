package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"threadsail/internal/fleet/audit"
)

type auditCmd struct {
	Grace time.Duration `default:"10s" help:"How long a pooler may act on an older list or configuration than another has."`
	JSON  bool          `help:"Write the whole report as JSON, with every act."`
	Files []string      `arg:"" type:"existingfile" help:"Journals of any number of poolers, put-aside ones too."`
}

// Run merges journals. What can't be read is told with file and byte, and the rest is reported all the same.
func (c *auditCmd) Run(s streams) error {
	var records []audit.Record
	unread := 0
	for _, name := range c.Files {
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		more, problems := audit.Parse(name, text)
		records = append(records, more...)
		for _, p := range problems {
			fmt.Fprintln(s.err, p)
			unread++
		}
	}
	rep := audit.Merge(records, audit.Limits{Grace: c.Grace})
	if c.JSON {
		enc := json.NewEncoder(s.out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(rep); err != nil {
			return err
		}
	} else {
		printReport(s, rep)
	}
	if unread > 0 {
		return errors.New("some places could not be read")
	}
	return nil
}

// shown is how many of the versions' changes are shown to a person: the last ones.
const shown = 10

func printReport(s streams, rep audit.Report) {
	poolers := map[string]bool{}
	for _, r := range rep.Records {
		poolers[r.Instance] = true
	}
	fmt.Fprintf(s.out, "%d acts of %d processes; %d stragglers, %d acts by old tokens, %d disagreements about a primary\n",
		len(rep.Records), len(poolers), len(rep.Stragglers), len(rep.OldTokens), len(rep.Disagreements))
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }() // as with fmt.Print: whoever reads the report sees that it ends
	at := func(ns int64) string {
		if ns == 0 {
			return "-"
		}
		return time.Unix(0, ns).UTC().Format("15:04:05.000")
	}
	if n := len(rep.VersionCounts); n > 0 {
		fmt.Fprintf(w, "\nversions, the last %d of %d changes\nat\tpoolers\tbuilds\tconfigurations\tlists (token.number)\n", min(shown, n), n)
		for _, m := range rep.VersionCounts[max(n-shown, 0):] {
			var lists []string
			for _, token := range slices.Sorted(maps.Keys(m.Lists)) {
				for _, seq := range slices.Sorted(maps.Keys(m.Lists[token])) {
					lists = append(lists, fmt.Sprintf("%d.%d: %d", token, seq, m.Lists[token][seq]))
				}
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", at(m.At), m.Poolers, counts(m.Builds), counts(m.Configs), strings.Join(lists, ", "))
		}
	}
	if len(rep.Stragglers) > 0 {
		fmt.Fprintf(w, "\nstragglers\npooler\tbehind in\tfrom\tto\thad\tfleet had\n")
		for _, x := range rep.Stragglers {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", x.Instance, x.Subject, at(x.From), at(x.To), x.HasVersion, x.WantsVersion)
		}
	}
	if len(rep.OldTokens) > 0 {
		fmt.Fprintf(w, "\nacts by old tokens\nat\tpooler\ttoken\tnewer\tof\n")
		for _, x := range rep.OldTokens {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", at(x.Record.At), x.Record.Instance, x.Record.Token, x.Newer.Token, x.Newer.Instance)
		}
	}
	if len(rep.Disagreements) > 0 {
		fmt.Fprintf(w, "\ndisagreements about a primary\ngroup\tfrom\tto\tpooler\tprimary\tpooler\tprimary\n")
		for _, x := range rep.Disagreements {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", x.Group, at(x.From), at(x.To), x.InstanceA, x.PrimaryA, x.InstanceB, x.PrimaryB)
		}
	}
}

func counts(of map[string]int) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(of)) {
		out = append(out, fmt.Sprintf("%s: %d", k, of[k]))
	}
	return strings.Join(out, ", ")
}

package capacity

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

func row(size int, least, median, most float64) Row {
	return Row{"gossip", "rest", "pooler", "hollow", "cpu", "core", "pooler", size, 3, least, median, most}
}

func TestFit(t *testing.T) {
	for _, c := range []struct {
		rows       []Row
		growth     Growth
		base, each float64
		at         float64 // at 1000
		until      float64 // for a limit of 20; below 0: none
	}{
		{[]Row{row(100, 2, 3, 4)}, Alone, 3, 0, 3, -1},
		{[]Row{row(200, 4.9, 5, 5.1), row(100, 2.9, 3, 3.1)}, Linear, 1, 0.02, 21, 950},
		{[]Row{row(100, 2.9, 3, 3.1), row(200, 2.9, 3.1, 3.2)}, Flat, 2.9, 0.001, 3.9, 17100},
		{[]Row{row(100, 4, 5, 6), row(200, 2, 3, 4)}, Flat, 7, -0.02, 3, -1},       // a line that falls is no promise
		{[]Row{row(100, 40, 50, 60), row(200, 20, 30, 40)}, Flat, 70, -0.2, 30, 0}, // and over the limit all along
		{[]Row{row(100, 1, 2, 5), row(200, 2, 4, 6)}, Unsure, 0, 0.02, 20, 1000},
		{[]Row{row(100, 0.9, 1, 1.1), row(200, 3.9, 4, 4.1)}, Worse, -2, 0.03, 28, 733.3}, // sizes squared
	} {
		found, err := Fit([]Run{{Name: "a", Rows: c.rows}}, []string{"a"}, nil, nil)
		if err != nil || len(found.Slopes) != 1 {
			t.Fatal(err, found)
		}
		for _, s := range found.Slopes {
			at, ok := s.At(1000)
			until, bounded := s.Until(20)
			if s.Growth != c.growth || math.Abs(s.Base-c.base) > 1e-9 || math.Abs(s.Each-c.each) > 1e-9 || math.Abs(at-c.at) > 1e-9 || ok != (c.growth != Alone) {
				t.Errorf("%v: %+v, at 1000 %v %v", c.rows, s, at, ok)
			}
			if bounded != (c.until >= 0) || bounded && math.Abs(until-c.until) > 0.1 {
				t.Errorf("%v: until %v %v", c.rows, until, bounded)
			}
		}
	}
}

// Records that were one measurement in parts are one run, of one commit.
func TestParts(t *testing.T) {
	runs := []Run{{Name: "a", Commit: "x", Rows: []Row{row(100, 1, 1, 1)}}, {Name: "b", Commit: "x", Rows: []Row{row(200, 2, 2, 2)}},
		{Name: "c", Commit: "y", Rows: []Row{row(300, 3, 3, 3)}}, {Name: "d", Commit: "x", Rows: []Row{row(200, 2, 2, 2)}}}
	found, err := Fit(runs, []string{"c", "a+b"}, nil, nil)
	if s := found.Slopes[Key{"gossip", "rest", "pooler", "hollow", "cpu", "pooler"}]; err != nil || s.Each != 0.01 || s.Run != "a+b" || s.Last.Size != 200 || len(found.Runs) != 3 {
		t.Errorf("%+v, %v", found, err)
	}
	for _, bad := range []string{"a+c", "a+b+d", "a+e", ""} {
		if _, err := Fit(runs, []string{bad}, nil, nil); err == nil {
			t.Errorf("%q is fitted", bad)
		}
	}
}

// Commits that are alike may be joined, and a phase left out.
func TestAlike(t *testing.T) {
	runs := []Run{{Name: "a", Commit: "x", Rows: []Row{row(100, 1, 1, 1)}}, {Name: "c", Commit: "y", Rows: []Row{row(300, 3, 3, 3)}}}
	found, err := Fit(runs, []string{"a+c"}, nil, []string{"x", "y"})
	if s := found.Slopes[Key{"gossip", "rest", "pooler", "hollow", "cpu", "pooler"}]; err != nil || s.Sizes != 2 {
		t.Errorf("%+v, %v", found, err)
	}
	found, err = Fit(runs, []string{"a+c"}, []string{"c/rest"}, []string{"x", "y"})
	if s := found.Slopes[Key{"gossip", "rest", "pooler", "hollow", "cpu", "pooler"}]; err != nil || s.Sizes != 1 {
		t.Errorf("%+v, %v", found, err)
	}
}

// What was recorded comes to the page with its run and size, and what was not says so.
func TestTables(t *testing.T) {
	p := Plan{Poolers: 5000, Databases: 8800, Clients: 20e6, Statements: 1.5e6, Regions: []int{3, 3, 4}, Control: Budget{0.034, 128e6, 2000},
		PrimaryChanges: Changes{8, 14}, ConfigChanges: Changes{4000, 6}, Machines: Machines{18, 8, 32e9, 1.25e9, 65536},
		Faults: PlanFaults{26, 4800, 300, 1, 2, 3600}, Assumed: Assumed{4, 1, 40}}
	bytes := func(figure string, size int, v float64) Row {
		return Row{"gossip", "rest", "pooler", "hollow", figure, "B/s", "pooler", size, 3, v, v, v}
	}
	found, err := Fit([]Run{{Name: "made-up", Rows: []Row{bytes("bytes_in", 100, 100), bytes("bytes_in", 200, 200), bytes("bytes_out", 100, 100), bytes("bytes_out", 200, 200)}}}, []string{"made-up"}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	text := ""
	for _, table := range Tables(p, found) {
		for _, r := range table.Rows {
			if len(r) != len(table.Head) {
				t.Errorf("%s: %d cells under %d", table.Name, len(r), len(table.Head))
			}
		}
		text += table.Markdown()
	}
	for _, want := range []string{
		"| bytes in and out | gossip | rest | 10 kB/s at 5,000 poolers | 2 kB/s | none: 5 times the limit | 1,000 poolers | linear | 400 B/s (400 B/s to 400 B/s) at 200 | made-up |",
		"| bytes in and out | distribution | any | not measured |",
		"by bytes at rest: 1,000 poolers",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
}

func TestFill(t *testing.T) {
	tables := []Table{{"a", []string{"x", "y"}, [][]string{{"1", "2"}}}}
	const begin, end, made = "<!-- table: a -->\n", "<!-- end -->\n", "| x | y |\n| --- | --- |\n| 1 | 2 |\n"
	for _, c := range []struct{ page, want, err string }{
		{"t\n" + begin + end + "u\n", "t\n" + begin + made + end + "u\n", ""},
		{begin + "old\n" + end, begin + made + end, ""},
		{"t\n", "", "1: "},
		{"\n" + begin, "", "2: "},
		{"\n\n" + end, "", "3: "},
		{begin + begin, "", "2: "},
		{begin + end + begin + end, "", "3: "},
		{begin + end + "<!-- table: b -->\n" + end, "", `3: there is no table "b"`},
	} {
		got, err := Fill(c.page, tables)
		if got != c.want || (err == nil) != (c.err == "") || !strings.HasPrefix(fmt.Sprint(err), c.err) && err != nil {
			t.Errorf("%q: %q, %v", c.page, got, err)
		}
	}
}

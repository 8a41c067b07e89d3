package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// quantity writes a value with its unit, to three digits.
func quantity(v float64, unit string) string {
	switch unit {
	case "B", "B/s":
		return scaled(v, []string{" B", " kB", " MB", " GB", " TB"}, 1000) + strings.TrimPrefix(unit, "B")
	case "core":
		return digits(100*v) + "%"
	case "s":
		if v < 1 {
			return digits(1000*v) + " ms"
		}
		return digits(v) + " s"
	case "1/s":
		return digits(v) + "/s"
	case "1":
		return digits(v)
	}
	return digits(v) + " " + unit
}

func scaled(v float64, names []string, by float64) string {
	i := 0
	for ; math.Abs(v) >= by && i < len(names)-1; i++ {
		v /= by
	}
	return digits(v) + names[i]
}

// digits writes three of them at least, and whole numbers with a comma between thousands.
func digits(v float64) string {
	if math.Abs(v) < 1000 {
		text := strconv.FormatFloat(v, 'g', 3, 64)
		if strings.Contains(text, "e") {
			text = strconv.FormatFloat(v, 'f', -1, 64)
			if len(text) > 8 {
				text = fmt.Sprintf("%.2g", v)
			}
		}
		return text
	}
	text := strconv.FormatFloat(math.Round(v), 'f', 0, 64)
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

// Table is one of the page's, in Markdown once printed.
type Table struct {
	Name string
	Head []string
	Rows [][]string
}

// Markdown is the table, its last line ended.
func (t Table) Markdown() string {
	var b strings.Builder
	line := func(cells []string) {
		b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	line(t.Head)
	rule := make([]string, len(t.Head))
	for i := range rule {
		rule[i] = "---"
	}
	line(rule)
	for _, r := range t.Rows {
		line(r)
	}
	return b.String()
}

// Marks of a table's place in a page.
const (
	markBegin = "<!-- table: "
	markEnd   = "<!-- end -->"
)

// Fill puts tables into a page's marked places, each between "<!-- table: NAME -->" and "<!-- end -->" on lines of their own. An error
// names the line: of a place for no table, one without an end; a table without a place is one too.
func Fill(page string, tables []Table) (string, error) {
	var out strings.Builder
	placed := map[string]bool{}
	inside, begun := false, 0
	for i, line := range strings.Split(page, "\n") {
		if name, ok := strings.CutPrefix(line, markBegin); ok {
			name = strings.TrimSuffix(name, " -->")
			if inside {
				return "", fmt.Errorf("%d: %q begins inside another table", i+1, name)
			}
			inside, begun = true, i+1
			out.WriteString(line + "\n")
			found := false
			for _, t := range tables {
				if t.Name == name {
					out.WriteString(t.Markdown())
					found = true
				}
			}
			if !found || placed[name] {
				return "", fmt.Errorf("%d: there is no table %q, or it has a place already", i+1, name)
			}
			placed[name] = true
			continue
		}
		if line == markEnd {
			if !inside {
				return "", fmt.Errorf("%d: an end without a table", i+1)
			}
			inside = false
		}
		if !inside {
			out.WriteString(line + "\n")
		}
	}
	if inside {
		return "", fmt.Errorf("%d: this table has no end", begun)
	}
	for _, t := range tables {
		if !placed[t.Name] {
			return "", fmt.Errorf("1: there is no place for table %q", t.Name)
		}
	}
	return strings.TrimSuffix(out.String(), "\n"), nil
}

package inventory

import (
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"

	"threadsail/internal/serverlist"
)

// parseCSV reads rows below a header. Cells are separated as the header's are: by commas, semicolons (where the comma
// marks decimals) or tabs. Lines that begin with # and rows without content are skipped; cells beyond the header may be
// empty, as spreadsheets pad rows.
func parseCSV(text string, p *serverlist.ListError) (rows []serverlist.Row) {
	r := csv.NewReader(strings.NewReader(text))
	r.Comma, r.Comment, r.FieldsPerRecord, r.ReuseRecord = detectSeparator(text), '#', -1, true
	var head []serverlist.Field
	seen := map[serverlist.Field]bool{}
	for {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var wrong *csv.ParseError
		if errors.As(err, &wrong) { // where the next row begins is not known any more
			p.Add(wrong.Line, "row", "%v, expected a cell with a quote in it to be quoted, and its quotes doubled", wrong.Err)
			return nil
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if !slices.ContainsFunc(cells, func(c string) bool { return c != "" }) {
			continue
		}
		line, _ := r.FieldPos(0)
		if head == nil {
			head = parseHeader(cells, line, seen, p)
			continue
		}
		for len(cells) > len(head) && cells[len(cells)-1] == "" {
			cells = cells[:len(cells)-1]
		}
		if len(cells) != len(head) {
			p.Add(line, "row", "%d cells, expected %d as in the header", len(cells), len(head))
			continue
		}
		row := serverlist.Row{Line: line}
		for i, c := range cells {
			if head[i] == serverlist.FieldCount {
				continue
			}
			row.Values[head[i]] = strings.Clone(c)
			if at, _ := r.FieldPos(i); at != line {
				row.Lines[head[i]] = at
			}
		}
		rows = append(rows, row)
	}
	if head == nil {
		p.Add(1, "header", "missing, expected the names of the columns, name among them")
	} else if !seen[serverlist.FieldName] {
		p.Add(1, "header", "no column is called name")
	}
	return rows
}

// parseHeader finds out what the columns hold; Fields stands for one with neither title nor use.
func parseHeader(cells []string, line int, seen map[serverlist.Field]bool, p *serverlist.ListError) []serverlist.Field {
	for len(cells) > 1 && cells[len(cells)-1] == "" {
		cells = cells[:len(cells)-1]
	}
	head := make([]serverlist.Field, len(cells))
	for i, title := range cells {
		f, ok := fieldsByName[strings.ToLower(title)]
		switch {
		case !ok:
			p.Add(line, "header", "unknown column %.40q, expected name, host, port, zone, cluster, state, weight, wire or version", title)
			f = serverlist.FieldCount
		case seen[f]:
			p.Add(line, "header", "two columns hold the %s", f)
		}
		seen[f] = true
		head[i] = f
	}
	return head
}

// detectSeparator is the one of the three that stands most often in the first line with content.
func detectSeparator(text string) rune {
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); strings.Trim(line, ",;\t") == "" || line[0] == '#' {
			continue
		}
		best := ','
		for _, c := range ";\t" {
			if strings.Count(line, string(c)) > strings.Count(line, string(best)) {
				best = c
			}
		}
		return best
	}
	return ','
}

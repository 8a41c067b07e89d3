package inventory

import (
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"

	"threadsail/internal/serverlist"
)

// csvReader reads the rows of one CSV file.
type csvReader struct {
	reader   *csv.Reader
	problems *serverlist.ListError
	columns  []serverlist.Field // by place; FieldCount: the column is not used. nil: no header was read
	rows     []serverlist.Row
}

// parseCSV reads rows below a header. Cells are separated as those of the header are: by commas, semicolons (where the comma marks
// decimals) or tabs. Lines that begin with # and rows without content are skipped. Cells beyond the header may be empty, as spreadsheets
// pad rows.
func parseCSV(text string, problems *serverlist.ListError) []serverlist.Row {
	reader := csv.NewReader(strings.NewReader(text))
	reader.Comma = detectSeparator(text)
	reader.Comment = '#'
	reader.FieldsPerRecord = -1
	reader.ReuseRecord = true
	r := &csvReader{reader: reader, problems: problems}
	for {
		cells, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var syntax *csv.ParseError
		if errors.As(err, &syntax) { // where the next row begins is no longer known
			problems.Add(syntax.Line, "row", "%v, expected a cell with a quote in it to be quoted, and its quotes doubled", syntax.Err)
			return nil
		}
		r.read(cells)
	}
	if r.columns == nil {
		problems.Add(1, "header", "missing, expected the names of the columns, name among them")
	} else if !slices.Contains(r.columns, serverlist.FieldName) {
		problems.Add(1, "header", "no column is called name")
	}
	return r.rows
}

// read reads a header or a row.
func (r *csvReader) read(cells []string) {
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	if !slices.ContainsFunc(cells, func(cell string) bool { return cell != "" }) {
		return
	}
	line, _ := r.reader.FieldPos(0)
	if r.columns == nil {
		r.readHeader(withoutPadding(cells, 1), line)
		return
	}
	cells = withoutPadding(cells, len(r.columns))
	if len(cells) != len(r.columns) {
		r.problems.Add(line, "row", "%d cells, expected %d as in the header", len(cells), len(r.columns))
		return
	}
	r.readRow(cells, line)
}

// withoutPadding drops empty cells from the end, as long as there are more than so many cells.
func withoutPadding(cells []string, least int) []string {
	for len(cells) > least && cells[len(cells)-1] == "" {
		cells = cells[:len(cells)-1]
	}
	return cells
}

// readHeader finds out what the columns hold.
func (r *csvReader) readHeader(titles []string, line int) {
	r.columns = make([]serverlist.Field, len(titles))
	seen := map[serverlist.Field]bool{}
	for i, title := range titles {
		field, known := fieldsByName[strings.ToLower(title)]
		switch {
		case !known:
			r.problems.Add(line, "header", "unknown column %.40q, expected name, host, port, zone, cluster, state, weight, wire or version", title)
			field = serverlist.FieldCount
		case seen[field]:
			r.problems.Add(line, "header", "two columns hold the %s", field)
		}
		seen[field] = true
		r.columns[i] = field
	}
}

func (r *csvReader) readRow(cells []string, line int) {
	row := serverlist.Row{Line: line}
	for i, cell := range cells {
		field := r.columns[i]
		if field == serverlist.FieldCount {
			continue
		}
		row.Values[field] = strings.Clone(cell)
		if cellLine, _ := r.reader.FieldPos(i); cellLine != line {
			row.Lines[field] = cellLine
		}
	}
	r.rows = append(r.rows, row)
}

// detectSeparator returns which of the three separators is most frequent in the first line with content.
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

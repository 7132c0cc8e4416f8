package capacity

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Each table on a page is enclosed by two marker lines. The first one consists of beginMarker, the key of the table's
// scenario and markerSuffix; the second one is endMarker.
const (
	beginMarker  = "<!-- capacity: "
	endMarker    = "<!-- /capacity -->"
	markerSuffix = " -->"
)

// Indexes of the columns of a table.
const (
	columnRole = iota
	columnSubject
	columnFigure
	columnBudget
	columnStatus
	columnSource
	columnMechanism
)

var columns = []string{"role", "what", "figure", "budget", "status", "from", "carried by"}

// headerLines is the number of lines of a table before its rows: the names of the columns and the separator.
const headerLines = 2

// Table returns a scenario's table in Markdown, without the marker lines.
func (m Measurements) Table(scenario Scenario) string {
	var table strings.Builder
	table.WriteString("| " + strings.Join(columns, " | ") + " |\n|" + strings.Repeat(" --- |", len(columns)) + "\n")
	for _, row := range scenario.Rows {
		table.WriteString("| " + strings.Join(m.cells(row), " | ") + " |\n")
	}
	return table.String()
}

// ErrMarkers is the error for a page whose marker lines do not match the scenarios.
var ErrMarkers = errors.New("invalid table markers")

// Update returns the page with all tables replaced by recomputed ones. It returns ErrMarkers if a scenario has no
// marker lines on the page, or marker lines have no scenario or are not in pairs.
func (m Measurements) Update(page string, scenarios []Scenario) (string, error) {
	lines := strings.Split(page, "\n")
	positions, faults := findTables(lines, scenarios)
	if len(faults) > 0 {
		return "", fmt.Errorf("%w: %s", ErrMarkers, strings.Join(faults, "; "))
	}
	var updated []string
	last := 0
	for _, position := range positions {
		table := strings.Split(strings.TrimSuffix(m.Table(position.scenario), "\n"), "\n")
		updated = append(updated, lines[last:position.begin+1]...)
		updated = append(updated, table...)
		last = position.end
	}
	return strings.Join(append(updated, lines[last:]...), "\n"), nil
}

// tablePosition is the position of a scenario's table on a page.
type tablePosition struct {
	scenario   Scenario
	begin, end int // indexes of the marker lines
}

// tableFinder finds the tables between the marker lines of a page.
type tableFinder struct {
	scenarios []Scenario
	seen      map[string]bool // keys of the marker lines found
	positions []tablePosition // in the order of the page
	faults    []string
}

// findTables returns the positions of the tables on a page, and a message for each fault of its marker lines.
func findTables(lines []string, scenarios []Scenario) (positions []tablePosition, faults []string) {
	finder := &tableFinder{scenarios: scenarios, seen: map[string]bool{}}
	for i := 0; i < len(lines); i++ {
		key, ok := strings.CutPrefix(lines[i], beginMarker)
		if !ok {
			if lines[i] == endMarker {
				finder.faults = append(finder.faults, fmt.Sprintf("line %d: end marker without a begin marker", i+1))
			}
			continue
		}
		key = strings.TrimSuffix(key, markerSuffix)
		end, ok := findEnd(lines, i+1)
		if !ok {
			return finder.positions, append(finder.faults, fmt.Sprintf("table %q: has no end marker", key))
		}
		finder.add(key, i, end)
		i = end
	}
	for _, scenario := range scenarios {
		if !finder.seen[scenario.Key] {
			finder.faults = append(finder.faults, fmt.Sprintf("table %q: is not on the page", scenario.Key))
		}
	}
	return finder.positions, finder.faults
}

// findEnd returns the index of the next end marker, or false if there is none or another table begins before it.
func findEnd(lines []string, first int) (line int, ok bool) {
	for i, text := range lines[first:] {
		if text == endMarker {
			return first + i, true
		}
		if strings.HasPrefix(text, beginMarker) {
			return 0, false
		}
	}
	return 0, false
}

// add records the table with the given key between two marker lines, or a fault if the key is unknown or a duplicate.
func (f *tableFinder) add(key string, begin, end int) {
	index := slices.IndexFunc(f.scenarios, func(s Scenario) bool { return s.Key == key })
	if index < 0 {
		f.faults = append(f.faults, fmt.Sprintf("table %q: no scenario has this key", key))
	} else {
		f.positions = append(f.positions, tablePosition{f.scenarios[index], begin, end})
		if f.seen[key] {
			f.faults = append(f.faults, fmt.Sprintf("table %q: is a duplicate", key))
		}
	}
	f.seen[key] = true
}

// splitCells returns the trimmed cells of a line of a Markdown table.
func splitCells(line string) []string {
	cells := strings.Split(strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "|"), "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

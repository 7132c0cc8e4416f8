package capacity

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// A table of a page is between two lines: beginMark with its scenario's key and markTail, and endMark.
const (
	beginMarker  = "<!-- capacity: "
	endMarker    = "<!-- /capacity -->"
	markerSuffix = " -->"
)

// Columns of the tables, by index.
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

// headLines is the number of lines before a table's rows.
const headerLines = 2

// Table returns the text of a scenario's table.
func (m Measurements) Table(scenario Scenario) string {
	var table strings.Builder
	table.WriteString("| " + strings.Join(columns, " | ") + " |\n|" + strings.Repeat(" --- |", len(columns)) + "\n")
	for _, row := range scenario.Rows {
		table.WriteString("| " + strings.Join(m.cells(row), " | ") + " |\n")
	}
	return table.String()
}

// ErrMarkers is the error for a page whose marks do not match the scenarios.
var ErrMarkers = errors.New("marks of tables")

// Update returns the page with all tables written anew. It fails with ErrMarkers for a scenario without its marks and
// for marks without their scenario.
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

// tablePosition is where a scenario's table is on a page.
type tablePosition struct {
	scenario   Scenario
	begin, end int // lines of the marks
}

// tableFinder finds the tables between the marks of a page.
type tableFinder struct {
	scenarios []Scenario
	seen      map[string]bool // keys of marks
	positions []tablePosition // in the page's order
	faults    []string
}

func findTables(lines []string, scenarios []Scenario) (positions []tablePosition, faults []string) {
	finder := &tableFinder{scenarios: scenarios, seen: map[string]bool{}}
	for i := 0; i < len(lines); i++ {
		key, ok := strings.CutPrefix(lines[i], beginMarker)
		if !ok {
			if lines[i] == endMarker {
				finder.faults = append(finder.faults, fmt.Sprintf("line %d: an end without its begin", i+1))
			}
			continue
		}
		key = strings.TrimSuffix(key, markerSuffix)
		end, ok := findEnd(lines, i+1)
		if !ok {
			return finder.positions, append(finder.faults, fmt.Sprintf("table %q: has no end", key))
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

// findEnd returns the next line with an end mark, and false where another table begins before it.
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

func (f *tableFinder) add(key string, begin, end int) {
	index := slices.IndexFunc(f.scenarios, func(s Scenario) bool { return s.Key == key })
	if index < 0 {
		f.faults = append(f.faults, fmt.Sprintf("table %q: no rows are defined for it", key))
	} else {
		f.positions = append(f.positions, tablePosition{f.scenarios[index], begin, end})
		if f.seen[key] {
			f.faults = append(f.faults, fmt.Sprintf("table %q: is there twice", key))
		}
	}
	f.seen[key] = true
}

func splitCells(line string) []string {
	cells := strings.Split(strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "|"), "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

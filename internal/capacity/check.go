package capacity

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Check recomputes each row of a page's tables and returns what is wrong: a figure that differs; a budget that is
// exceeded, an extrapolation past MaxExtrapolation or a missing measurement that the row's status does not state; a
// row without its mechanism; a row that is missing or not defined. packageExists reports whether there is a package
// of that path.
func (m Measurements) Check(page string, scenarios []Scenario, packageExists func(path string) bool) (faults []string) {
	lines := strings.Split(page, "\n")
	positions, faults := findTables(lines, scenarios)
	for _, position := range positions {
		table := lines[position.begin+1 : position.end]
		faults = append(faults, m.checkTable(table, position.scenario, packageExists)...)
	}
	return faults
}

func (m Measurements) checkTable(lines []string, scenario Scenario, packageExists func(string) bool) (faults []string) {
	onPage, faults := parseRows(lines, scenario.Key)
	if len(lines) < headerLines || !slices.Equal(splitCells(lines[0]), columns) {
		faults = append(faults, scenario.Key+": the table's head is not "+strings.Join(columns, ", "))
	}
	for _, row := range scenario.Rows {
		id := rowID(row.Role, row.Subject)
		cells := onPage[id]
		delete(onPage, id)
		if cells == nil {
			faults = append(faults, fmt.Sprintf("%s, %s: is not on the page", scenario.Key, id))
			continue
		}
		for _, fault := range m.checkRow(row, cells, packageExists) {
			faults = append(faults, fmt.Sprintf("%s, %s: %s", scenario.Key, id, fault))
		}
	}
	for _, id := range sortedKeys(onPage) {
		faults = append(faults, fmt.Sprintf("%s, %s: no row is defined for it", scenario.Key, id))
	}
	return faults
}

func rowID(role, subject string) string { return role + ": " + subject }

// parseRows returns the cells of a table's rows by rowID.
func parseRows(lines []string, key string) (rows map[string][]string, faults []string) {
	rows = map[string][]string{}
	for i, line := range lines {
		if i < headerLines {
			continue
		}
		cells := splitCells(line)
		if len(cells) != len(columns) {
			faults = append(faults, fmt.Sprintf("%s, line %d: %d cells, want %d", key, i+1, len(cells), len(columns)))
			continue
		}
		id := rowID(cells[columnRole], cells[columnSubject])
		if rows[id] != nil {
			faults = append(faults, fmt.Sprintf("%s, %s: is there twice", key, id))
		}
		rows[id] = cells
	}
	return rows, faults
}

func (m Measurements) checkRow(row Row, got []string, packageExists func(string) bool) (faults []string) {
	want := m.cells(row)
	if got[columnFigure] != want[columnFigure] {
		faults = append(faults,
			fmt.Sprintf("the figure is %q, the measurements give %q", got[columnFigure], want[columnFigure]))
	}
	if got[columnBudget] != want[columnBudget] {
		faults = append(faults,
			fmt.Sprintf("the budget is %q, it was set to %q", got[columnBudget], want[columnBudget]))
	}
	faults = append(faults, checkStatus(m.Compute(row), got)...)
	if got[columnStatus] != want[columnStatus] {
		faults = append(faults, fmt.Sprintf("the status is %q, want %q", got[columnStatus], want[columnStatus]))
	}
	if got[columnSource] != want[columnSource] {
		faults = append(faults,
			fmt.Sprintf("is said to come from %q, comes from %q", got[columnSource], want[columnSource]))
	}
	return append(faults, checkMechanism(row, got[columnMechanism], want[columnMechanism], packageExists)...)
}

// checkStatus checks that a row states what has to be known of its figure. The figure on the page is compared with the
// budget beside it too, whatever the measurements are now.
func checkStatus(figure Figure, got []string) (faults []string) {
	status := got[columnStatus]
	onPage, budget := leadingNumber(got[columnFigure]), leadingNumber(got[columnBudget])
	if (figure.OverBudget || budget > 0 && onPage > budget) && !strings.Contains(status, statusOverBudget) {
		faults = append(faults, "is over its budget and does not say so")
	}
	if len(figure.Missing) > 0 && !strings.Contains(status, statusUnmeasured) {
		faults = append(faults,
			fmt.Sprintf("is unmeasured (%s) and does not say so", strings.Join(figure.Missing, ", ")))
	}
	if figure.Extrapolation > MaxExtrapolation && !strings.Contains(status, statusExtrapolated) {
		faults = append(faults, fmt.Sprintf("is extrapolated to %s times the largest size measured and does not say so",
			formatNumber(figure.Extrapolation)))
	}
	return faults
}

func checkMechanism(row Row, got, want string, packageExists func(string) bool) (faults []string) {
	if row.Mechanism == "" || len(row.Packages) == 0 || got == "" {
		faults = append(faults, "names no mechanism with its package")
	}
	if got != want {
		faults = append(faults, fmt.Sprintf("is said to be carried by %q, is by %q", got, want))
	}
	for _, path := range row.Packages {
		if (path != NotBuilt || len(row.Packages) > 1) && !packageExists(path) {
			faults = append(faults, "there is no package "+path)
		}
	}
	return faults
}

// leadingNumber returns the number that a cell begins with, or 0.
func leadingNumber(cell string) float64 {
	first, _, _ := strings.Cut(cell, " ")
	number, _ := strconv.ParseFloat(strings.ReplaceAll(first, ",", ""), 64) // 0 for what is no number
	return number
}

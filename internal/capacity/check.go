package capacity

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Check recomputes each row of the tables on a page and returns a message for each fault: a cell that differs from the
// recomputed one; a figure that is over its budget, extrapolated past MaxExtrapolation or not measured, if the row's
// status does not say so; a row without a mechanism or with a package that does not exist; a row that is missing or
// not defined. packageExists reports whether a package exists at a path relative to the module's root.
func (m Measurements) Check(page string, scenarios []Scenario, packageExists func(path string) bool) (faults []string) {
	lines := strings.Split(page, "\n")
	positions, faults := findTables(lines, scenarios)
	for _, position := range positions {
		table := lines[position.begin+1 : position.end]
		faults = append(faults, m.checkTable(table, position.scenario, packageExists)...)
	}
	return faults
}

// checkTable returns the faults of the lines of one scenario's table.
func (m Measurements) checkTable(lines []string, scenario Scenario, packageExists func(string) bool) (faults []string) {
	onPage, faults := parseRows(lines, scenario.Key)
	if len(lines) < headerLines || !slices.Equal(splitCells(lines[0]), columns) {
		faults = append(faults, scenario.Key+": the table's header is not "+strings.Join(columns, ", "))
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
		faults = append(faults, fmt.Sprintf("%s, %s: the row is not defined", scenario.Key, id))
	}
	return faults
}

// rowID identifies a row in its table.
func rowID(role, subject string) string { return role + ": " + subject }

// parseRows returns the cells of a table's rows by rowID, and the faults of rows that have a wrong number of cells or
// are duplicates. key is the key of the scenario.
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
			faults = append(faults, fmt.Sprintf("%s, %s: the row is a duplicate", key, id))
		}
		rows[id] = cells
	}
	return rows, faults
}

// checkRow returns the faults of the cells of one row on the page.
func (m Measurements) checkRow(row Row, got []string, packageExists func(string) bool) (faults []string) {
	want := m.cells(row)
	if got[columnFigure] != want[columnFigure] {
		faults = append(faults,
			fmt.Sprintf("the figure is %q, want %q by the measurements", got[columnFigure], want[columnFigure]))
	}
	if got[columnBudget] != want[columnBudget] {
		faults = append(faults,
			fmt.Sprintf("the budget is %q, want %q", got[columnBudget], want[columnBudget]))
	}
	faults = append(faults, checkStatus(m.Compute(row), got)...)
	if got[columnStatus] != want[columnStatus] {
		faults = append(faults, fmt.Sprintf("the status is %q, want %q", got[columnStatus], want[columnStatus]))
	}
	if got[columnSource] != want[columnSource] {
		faults = append(faults,
			fmt.Sprintf("the source is %q, want %q", got[columnSource], want[columnSource]))
	}
	return append(faults, checkMechanism(row, got[columnMechanism], want[columnMechanism], packageExists)...)
}

// checkStatus checks that the status of a row says if its figure is over its budget, unmeasured or extrapolated. It
// also compares the figure and the budget that are on the page with each other, independently of the current
// measurements.
func checkStatus(figure Figure, got []string) (faults []string) {
	status := got[columnStatus]
	onPage, budget := leadingNumber(got[columnFigure]), leadingNumber(got[columnBudget])
	if (figure.OverBudget || budget > 0 && onPage > budget) && !strings.Contains(status, statusOverBudget) {
		faults = append(faults, "is over its budget, but the status does not say so")
	}
	if len(figure.Missing) > 0 && !strings.Contains(status, statusUnmeasured) {
		faults = append(faults,
			fmt.Sprintf("is unmeasured (%s), but the status does not say so", strings.Join(figure.Missing, ", ")))
	}
	if figure.Extrapolation > MaxExtrapolation && !strings.Contains(status, statusExtrapolated) {
		faults = append(faults, fmt.Sprintf("is extrapolated to %s times the largest size measured, but the status does not "+
			"say so",
			formatNumber(figure.Extrapolation)))
	}
	return faults
}

// checkMechanism checks that a row has a mechanism and that its packages exist.
func checkMechanism(row Row, got, want string, packageExists func(string) bool) (faults []string) {
	if row.Mechanism == "" || len(row.Packages) == 0 || got == "" {
		faults = append(faults, "has no mechanism or no package")
	}
	if got != want {
		faults = append(faults, fmt.Sprintf("the mechanism is %q, want %q", got, want))
	}
	for _, path := range row.Packages {
		if (path != NotBuilt || len(row.Packages) > 1) && !packageExists(path) {
			faults = append(faults, fmt.Sprintf("package %s does not exist", path))
		}
	}
	return faults
}

// leadingNumber returns the number that a cell begins with, or 0 if it does not begin with a number.
func leadingNumber(cell string) float64 {
	first, _, _ := strings.Cut(cell, " ")
	number, _ := strconv.ParseFloat(strings.ReplaceAll(first, ",", ""), 64) // 0 if it is not a number
	return number
}

package capacity

import (
	"fmt"
	"strconv"
	"strings"
)

// A table of a page stands between two lines of their own: begin with its scenario's key, and end.
const (
	beginMark = "<!-- capacity: "
	endMark   = "<!-- /capacity -->"
	markTail  = " -->"
)

var columns = []string{"role", "what", "figure", "budget", "says", "from", "carried by"}

// Table is the text of a scenario's table.
func (m Measurements) Table(s Scenario) string {
	var b strings.Builder
	b.WriteString("| " + strings.Join(columns, " | ") + " |\n|" + strings.Repeat(" --- |", len(columns)) + "\n")
	for _, r := range s.Rows {
		b.WriteString("| " + strings.Join(m.cells(r), " | ") + " |\n")
	}
	return b.String()
}

func (m Measurements) cells(r Row) []string {
	f := m.Compute(r)
	return []string{r.Role, r.Subject, r.value(f), r.budget(), r.Status(f), r.Source(), r.carriedBy()}
}

func (r Row) carriedBy() string {
	s := r.Mechanism
	for _, p := range r.Packages {
		if p == NotBuilt {
			s += " " + NotBuilt
			continue
		}
		s += " `" + p + "`"
	}
	return s
}

// Update writes the tables between their marks. A scenario without its marks, or marks without their scenario, are an error.
func (m Measurements) Update(page string, scenarios []Scenario) (string, error) {
	lines := strings.Split(page, "\n")
	places, faults := findTables(lines, scenarios)
	if len(faults) > 0 {
		return "", fmt.Errorf("%s", strings.Join(faults, "; "))
	}
	var out []string
	last := 0
	for _, p := range places {
		out = append(out, lines[last:p.begin+1]...)
		out = append(out, strings.Split(strings.TrimSuffix(m.Table(p.scenario), "\n"), "\n")...)
		last = p.end
	}
	return strings.Join(append(out, lines[last:]...), "\n"), nil
}

type tablePosition struct {
	scenario   Scenario
	begin, end int // lines of the marks
}

// findTables finds the tables' places, in the page's order.
func findTables(lines []string, scenarios []Scenario) (places []tablePosition, faults []string) {
	found := map[string]bool{}
	for i := 0; i < len(lines); i++ {
		key, ok := strings.CutPrefix(lines[i], beginMark)
		if !ok {
			if lines[i] == endMark {
				faults = append(faults, fmt.Sprintf("line %d: an end without its begin", i+1))
			}
			continue
		}
		key = strings.TrimSuffix(key, markTail)
		begin := i
		for i++; i < len(lines) && lines[i] != endMark && !strings.HasPrefix(lines[i], beginMark); i++ {
		}
		if i == len(lines) || lines[i] != endMark {
			return places, append(faults, fmt.Sprintf("table %q: has no end", key))
		}
		known := false
		for _, s := range scenarios {
			if s.Key == key {
				known = true
				places = append(places, tablePosition{s, begin, i})
			}
		}
		switch {
		case !known:
			faults = append(faults, fmt.Sprintf("table %q: no rows are defined for it", key))
		case found[key]:
			faults = append(faults, fmt.Sprintf("table %q: is there twice", key))
		}
		found[key] = true
	}
	for _, s := range scenarios {
		if !found[s.Key] {
			faults = append(faults, fmt.Sprintf("table %q: is not on the page", s.Key))
		}
	}
	return places, faults
}

// Check recomputes each row of a page's tables and gives what is wrong: a figure that differs, a budget that is passed, an
// extrapolation past FarthestReckoned and a missing measurement that the row does not say, a row without its mechanism, one
// that is missing or that nothing defines. packageExists tells whether a package is there.
func (m Measurements) Check(page string, scenarios []Scenario, packageExists func(string) bool) (faults []string) {
	lines := strings.Split(page, "\n")
	places, faults := findTables(lines, scenarios)
	for _, p := range places {
		faults = append(faults, m.checkTable(lines[p.begin+1:p.end], p.scenario, packageExists)...)
	}
	return faults
}

func (m Measurements) checkTable(lines []string, s Scenario, packageExists func(string) bool) (faults []string) {
	onPage := map[string][]string{}
	for i, line := range lines {
		if i < 2 { // the head
			continue
		}
		cells := splitCells(line)
		if len(cells) != len(columns) {
			faults = append(faults, fmt.Sprintf("%s, line %d: %d cells, want %d", s.Key, i+1, len(cells), len(columns)))
			continue
		}
		id := cells[0] + ": " + cells[1]
		if onPage[id] != nil {
			faults = append(faults, fmt.Sprintf("%s, %s: is there twice", s.Key, id))
		}
		onPage[id] = cells
	}
	if len(lines) < 2 || strings.Join(splitCells(lines[0]), "|") != strings.Join(columns, "|") {
		faults = append(faults, s.Key+": the table's head is not "+strings.Join(columns, ", "))
	}
	for _, r := range s.Rows {
		id := r.Role + ": " + r.Subject
		got := onPage[id]
		delete(onPage, id)
		if got == nil {
			faults = append(faults, fmt.Sprintf("%s, %s: is not on the page", s.Key, id))
			continue
		}
		for _, fault := range m.checkRow(r, got, packageExists) {
			faults = append(faults, fmt.Sprintf("%s, %s: %s", s.Key, id, fault))
		}
	}
	for _, id := range sortedKeys(onPage) {
		faults = append(faults, fmt.Sprintf("%s, %s: no row is defined for it", s.Key, id))
	}
	return faults
}

func (m Measurements) checkRow(r Row, got []string, packageExists func(string) bool) (faults []string) {
	f, want := m.Compute(r), m.cells(r)
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	says := got[4]
	if got[2] != want[2] {
		fault("the figure is %q, the measurements give %q", got[2], want[2])
	}
	if got[3] != want[3] {
		fault("the budget is %q, it was set to %q", got[3], want[3])
	}
	// What the page itself shows is judged too: its figure beside its budget, whatever the measurements are now.
	figure, budget := leadingNumber(got[2]), leadingNumber(got[3])
	if (f.OverBudget || budget > 0 && figure > budget) && !strings.Contains(says, statusOverBudget) {
		fault("is over its budget and does not say so")
	}
	if len(f.Missing) > 0 && !strings.Contains(says, statusUnmeasured) {
		fault("is unmeasured (%s) and does not say so", strings.Join(f.Missing, ", "))
	}
	if f.Extrapolation > MaxExtrapolation && !strings.Contains(says, statusExtrapolated) {
		fault("is extrapolated to %s times the largest size measured and does not say so", formatNumber(f.Extrapolation))
	}
	if says != want[4] {
		fault("says %q, want %q", says, want[4])
	}
	if got[5] != want[5] {
		fault("is said to come from %q, comes from %q", got[5], want[5])
	}
	if r.Mechanism == "" || len(r.Packages) == 0 || got[6] == "" {
		fault("names no mechanism with its package")
	}
	if got[6] != want[6] {
		fault("is said to be carried by %q, is by %q", got[6], want[6])
	}
	for _, p := range r.Packages {
		if (p != NotBuilt || len(r.Packages) > 1) && !packageExists(p) {
			fault("there is no package %s", p)
		}
	}
	return faults
}

// leadingNumber is the number that a cell begins with, else 0.
func leadingNumber(cell string) float64 {
	word, _, _ := strings.Cut(cell, " ")
	x, _ := strconv.ParseFloat(strings.ReplaceAll(word, ",", ""), 64)
	return x
}

func splitCells(line string) []string {
	cells := strings.Split(strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "|"), "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

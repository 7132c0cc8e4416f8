package capacity

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false,
	"replace the tables of the pages by ones that are recomputed from slopes.json and scale.json")

const root = "../.."

func readFile(t *testing.T, path ...string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(append([]string{root}, path...)...))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func readMeasurements(t *testing.T) Measurements {
	t.Helper()
	slopes, err := ParseSlopes(readFile(t, "docs", "capacity", "slopes.json"))
	if err != nil {
		t.Fatal(err)
	}
	scales, err := ParseSimulatedDays(readFile(t, "docs", "capacity", "scale.json"))
	if err != nil {
		t.Fatal(err)
	}
	return Measurements{slopes, scales}
}

func packageExists(path string) bool {
	files, err := filepath.Glob(filepath.Join(root, path, "*.go"))
	return err == nil && len(files) > 0
}

// pages are the pages that contain tables.
var pages = []struct {
	path      string // relative to the module's root
	scenarios func() []Scenario
}{{"docs/CAPACITY.md", Scenarios}, {"docs/design/capacity.md", Options}}

// Each row of the pages has the figure, status and mechanism that the measurements and the defined rows result in.
func TestCapacityPages(t *testing.T) {
	m := readMeasurements(t)
	for _, p := range pages {
		t.Run(p.path, func(t *testing.T) {
			page := string(readFile(t, p.path))
			if *update {
				updated, err := m.Update(page, p.scenarios())
				if err == nil {
					err = os.WriteFile(filepath.Join(root, p.path), []byte(updated), 0o644)
				}
				if err != nil {
					t.Fatal(err)
				}
				page = updated
			}
			for _, fault := range m.Check(page, p.scenarios(), packageExists) {
				t.Error(fault)
			}
			count := map[string]int{}
			for _, s := range p.scenarios() {
				for _, r := range s.Rows {
					status, _, _ := strings.Cut(r.Status(m.Compute(r)), " ")
					count[strings.Trim(status, ",;:")]++
				}
			}
			t.Log(count)
			if t.Failed() {
				t.Log("go test ./internal/capacity -update replaces the tables by recomputed ones")
			}
		})
	}
}

// Each row has a role, a subject and terms, is unique in its table, and contains no bar, which would end a cell.
func TestRowsAreComplete(t *testing.T) {
	for _, s := range slices.Concat(Scenarios(), Options()) {
		seen := map[string]bool{}
		for _, r := range s.Rows {
			id := s.Key + ", " + r.Role + ": " + r.Subject
			incomplete := r.Role == "" || r.Subject == "" || len(r.Terms) == 0
			if seen[id] || incomplete || strings.Contains(id+r.Mechanism, "|") {
				t.Errorf("%s: the row is a duplicate, has an empty field, or contains a bar", id)
			}
			seen[id] = true
		}
	}
}

// exampleMeasurements returns known measurements, the rows of one scenario, and a page with their table. The
// measurements are a slope of 2 ms per router, measured at 100 to 400 routers, and a simulated day with 600 routers.
func exampleMeasurements(t *testing.T) (Measurements, []Scenario, string) {
	t.Helper()
	s, err := NewSlope("a", "router", "routers", "ms", [][2]float64{
		{100, 210}, {200, 410}, {300, 610}, {400, 810},
	}, "c", "T")
	if err != nil {
		t.Fatal(err)
	}
	m := Measurements{
		[]Slope{s},
		[]SimulatedDay{
			{
				Name: "day", Routers: Routers, Engines: Engines, Zones: Zones,
				Figures: map[string]float64{"served": 0.987}, Conditions: "c", Test: "T",
			},
		},
	}
	row := func(what string, budget float64, terms ...Term) Row {
		return Row{
			Role: "router", Subject: what, Unit: "ms", Budget: budget, Terms: terms, Mechanism: "a loop",
			Packages: []string{"dispatch"},
		}
	}
	rows := []Scenario{{"one", []Row{
		row("within", 900, Line("a", 400)), row("over", 900, Line("a", 450)), row("far", 0, Line("a", 1601)),
		row("rise", 0, Rise("a", 400).Times(0.5)), row("missing", 5, Line("b", 1)),
		row("day", 1, Simulated("day", "served")), row("size", 0, Given(12345.6, "sum")),
		{
			Role: "relay", Subject: "to come", Terms: []Term{Assumed(7, "a guess"), Line("a", 1601)},
			Mechanism: "a hop", Packages: []string{NotBuilt},
		},
	}}}
	page, err := m.Update("head\n"+beginMarker+"one"+markerSuffix+"\nold\n"+endMarker+"\ntail\n", rows)
	if err != nil {
		t.Fatal(err)
	}
	return m, rows, page
}

func TestTableFromKnownMeasurements(t *testing.T) {
	m, rows, page := exampleMeasurements(t)
	want := `head
<!-- capacity: one -->
| role | what | figure | budget | status | from | carried by |
| --- | --- | --- | --- | --- | --- | --- |
| router | within | 810 ms | 900 ms | measured | ` + "`a`" + ` at 400 | a loop ` + "`dispatch`" + ` |
| router | over | 910 ms | 900 ms | computed, at 1.13 times the largest size measured; over its budget | ` + "`a`" + ` at 450 | a loop ` + "`dispatch`" + ` |
| router | far | 3,210 ms | - | extrapolated to 4 times the largest size measured | ` + "`a`" + ` at 1,600 | a loop ` + "`dispatch`" + ` |
| router | rise | 400 ms | - | computed | rise of ` + "`a`" + ` by 400 × 0.5 | a loop ` + "`dispatch`" + ` |
| router | missing | - | 5 ms | unmeasured: b | ` + "`b`" + ` at 1 | a loop ` + "`dispatch`" + ` |
| router | day | 0.987 ms | 1 ms | simulated | day ` + "`day`, `served`" + ` | a loop ` + "`dispatch`" + ` |
| router | size | 12,300 ms | - | given | sum | a loop ` + "`dispatch`" + ` |
| relay | to come | 3,220 | - | assumed; extrapolated to 4 times the largest size measured | a guess + ` + "`a`" + ` at 1,600 | a hop (not built) |
<!-- /capacity -->
tail
`
	if page != want {
		t.Errorf("the page is\n%s\nwant\n%s", page, want)
	}
	if faults := m.Check(page, rows, packageExists); len(faults) > 0 {
		t.Errorf("faults of a page that was just updated: %q, want none", faults)
	}
}

// pageFaultTests each replace the text old on the page of exampleMeasurements; want is part of the fault that Check has
// to report.
var pageFaultTests = []struct{ name, old, new, want string }{
	{
		"wrong figure", "810 ms", "801 ms",
		`one, router: within: the figure is "801 ms", want "810 ms" by the measurements`,
	},
	{"wrong unit", "810 ms", "810 s", `the figure is "810 s"`},
	{"wrong budget", "900 ms | measured", "950 ms | measured", `the budget is "950 ms", want "900 ms"`},
	{
		"unreported budget overrun", "; over its budget", "",
		`one, router: over: is over its budget, but the status does not say so`,
	},
	{
		"budget overrun by the figure on the page only", "810 ms", "910 ms",
		`one, router: within: is over its budget, but the status does not say so`,
	},
	{
		"unreported extrapolation", "extrapolated to 4 times the largest size measured", "measured",
		`one, router: far: is extrapolated to 4 times the largest size measured, but the status does not say so`,
	},
	{
		"unreported missing measurement", "unmeasured: b", "measured",
		`one, router: missing: is unmeasured (b), but the status does not say so`,
	},
	{
		"unreported extrapolation of an assumed figure", "assumed; extrapolated to 4 times the largest size measured",
		"assumed", `one, relay: to come: is extrapolated to 4 times`,
	},
	{"assumed figure reported as given", "assumed;", "given;", `one, relay: to come: the status is "given;`},
	{
		"package for a mechanism that is not built", "a hop (not built)", "a hop `dispatch`",
		"one, relay: to come: the mechanism is \"a hop `dispatch`\"",
	},
	{
		"computed figure reported as measured", "| computed |", "| measured |",
		`one, router: rise: the status is "measured", want "computed"`,
	},
	{
		"wrong source", "`a` at 400 |", "`a` at 100 |",
		`one, router: within: the source is "` + "`a` at 100",
	},
	{
		"row without a mechanism", "a loop `dispatch` |\n| router | over", "|\n| router | over",
		`one, router: within: has no mechanism or no package`,
	},
	{"missing row", "| router | size |", "| router | sizes |", `one, router: size: is not on the page`},
	{
		"undefined row", "| router | size |", "| router | sizes |",
		`one, router: sizes: the row is not defined`,
	},
	{"duplicate row", "| router | over |", "| router | within |", `one, router: within: the row is a duplicate`},
	{"missing cell", "| simulated ", "", `one, line 8: 6 cells, want 7`},
	{"wrong header", "| role |", "| who |", `one: the table's header is not role`},
	{"unknown key of a table", "capacity: one", "capacity: two", `table "two": no scenario has this key`},
	{"missing table", "capacity: one", "capacity: two", `table "one": is not on the page`},
	{"table without an end marker", "<!-- /capacity -->\n", "", `table "one": has no end marker`},
}

// Check reports each kind of fault with its row.
func TestCheckReportsFaults(t *testing.T) {
	for _, test := range pageFaultTests {
		t.Run(test.name, func(t *testing.T) {
			m, rows, page := exampleMeasurements(t)
			changed := strings.Replace(page, test.old, test.new, 1)
			if changed == page {
				t.Fatalf("%q is not on the page", test.old)
			}
			faults := strings.Join(m.Check(changed, rows, packageExists), "\n")
			if !strings.Contains(faults, test.want) {
				t.Errorf("faults are %q, want one that contains %q", faults, test.want)
			}
		})
	}
}

// Check reports a page that was not updated after measurements or rows changed.
func TestCheckReportsOutdatedPage(t *testing.T) {
	m, rows, page := exampleMeasurements(t)
	m.Slopes[0].Slope = 2.5
	checkFinds(t, m, page, rows, `within: is over its budget, but the status does not say so`)
	m, rows, page = exampleMeasurements(t)
	m.Simulations[0].Routers = Routers / 5
	checkFinds(t, m, page, rows,
		`day: is extrapolated to 5 times the largest size measured, but the status does not say so`)
	m, rows, page = exampleMeasurements(t)
	rows[0].Rows[0].Mechanism = ""
	rows[0].Rows[1].Packages = []string{"internal/nowhere"}
	rows[0].Rows[2].Packages = []string{"dispatch", NotBuilt}
	for _, want := range []string{
		"within: has no mechanism or no package",
		"over: package internal/nowhere does not exist",
		"far: package (not built) does not exist",
	} {
		checkFinds(t, m, page, rows, want)
	}
}

// checkFinds fails the test unless Check reports a fault that contains want.
func checkFinds(t *testing.T, m Measurements, page string, rows []Scenario, want string) {
	t.Helper()
	if faults := strings.Join(m.Check(page, rows, packageExists), "\n"); !strings.Contains(faults, want) {
		t.Errorf("faults are %q, want one that contains %q", faults, want)
	}
}

// Update returns no page if the marker lines do not match the scenarios, and the error names the line or the table.
func TestUpdateRejectsInvalidMarkers(t *testing.T) {
	const begin = beginMarker + "one" + markerSuffix + "\n"
	const end = endMarker + "\n"
	m, rows, page := exampleMeasurements(t)
	if again, err := m.Update(page, rows); err != nil || again != page {
		t.Errorf("a second update returns %q, error %v; want the same page again", again, err)
	}
	for _, test := range []struct{ name, page, want string }{
		{"no markers", "text\n", `table "one": is not on the page`},
		{"end marker only", end + begin + end, "line 1: end marker without a begin marker"},
		{"no end marker", "text\n" + begin, `table "one": has no end marker`},
		{"table within another", begin + begin + end, `table "one": has no end marker`},
		{"duplicate table", begin + end + begin + end, `table "one": is a duplicate`},
		{
			"unknown table", begin + end + beginMarker + "two" + markerSuffix + "\n" + end,
			`table "two": no scenario has this key`,
		},
	} {
		got, err := m.Update(test.page, rows)
		if got != "" || !errors.Is(err, ErrMarkers) || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got page %q, error %v; want no page and an error with %q", test.name, got, err, test.want)
		}
	}
}

func TestFormatNumber(t *testing.T) {
	for _, test := range []struct {
		x    float64
		want string
	}{
		{0, "0"},
		{0.012345, "0.0123"},
		{0.1, "0.1"},
		{1.005, "1"},
		{2.345, "2.35"},
		{99.96, "100"},
		{999.6, "1,000"},
		{1234567, "1,230,000"},
		{-1234, "-1,230"},
		{600, "600"},
		{128, "128"},
	} {
		if got := formatNumber(test.x); got != test.want {
			t.Errorf("formatNumber(%v) = %q, want %q", test.x, got, test.want)
		}
	}
}

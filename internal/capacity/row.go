package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxExtrapolation is how many times the largest size measured a slope may be followed before a row has to say that its
// figure is extrapolated.
const MaxExtrapolation = 4

// Row is a line of the page: what a role carries in a scenario.
type Row struct {
	Role      string // router, board, keeper, control machine, engine, operator
	Subject   string // unique in its scenario and role
	Unit      string
	Terms     []Term
	Budget    float64  // at most; 0: none is set
	Mechanism string   // what carries it
	Packages  []string // where that is; NotBuilt alone for what is weighed or to come
}

// NotBuilt stands in the place of packages where there are none yet.
const NotBuilt = "(not built)"

// Scenario is a table of the page.
type Scenario struct {
	Key  string // names the table's place on the page
	Rows []Row
}

// Term is a part of a row's figure; the figure is the sum of its terms.
type Term struct {
	slope         string
	rise          bool
	at            float64
	scale, figure string
	times         float64
	why           string // of a given figure
	assumed       bool
}

// Line is the cost at a size, by a slope's line.
func Line(slope string, at float64) Term { return Term{slope: slope, at: at, times: 1} }

// Rise is what a size adds, by a slope's line without its intercept: what is there at none of it is in another term.
func Rise(slope string, at float64) Term { return Term{slope: slope, at: at, rise: true, times: 1} }

// Simulated is a figure of a day that was played.
func Simulated(scale, figure string) Term { return Term{scale: scale, figure: figure, times: 1} }

// Given is a figure that follows from the size alone, or that a page or a setting says.
func Given(value float64, why string) Term { return Term{times: value, why: why} }

// Assumed is a figure that nobody has measured and nothing says.
func Assumed(value float64, why string) Term { return Term{times: value, why: why, assumed: true} }

// Times takes a term several times: per second for each event, or for each of several others.
func (t Term) Times(times float64) Term {
	t.times *= times
	return t
}

// Measurements is what rows are reckoned from.
type Measurements struct {
	Slopes      []Slope
	Simulations []Scale
}

// Figure is a row's figure and what has to be said of it.
type Figure struct {
	Value         float64
	Missing       []string // slopes and figures that nobody has measured; then there is no value
	Extrapolation float64  // how many times the largest size measured the farthest term is at
	Direct        bool     // one slope at a size, or one figure of a day, as it is
	OverBudget    bool     // the budget is passed
}

// Compute gives a row's figure.
func (m Measurements) Compute(r Row) Figure {
	var f Figure
	for _, t := range r.Terms {
		switch {
		case t.slope != "":
			s, ok := m.slope(t.slope)
			if !ok {
				f.Missing = append(f.Missing, t.slope)
				continue
			}
			y := s.At(t.at)
			if t.rise {
				y -= s.Intercept
			}
			f.Value += y * t.times
			if most := s.Largest(); most > 0 {
				f.Extrapolation = max(f.Extrapolation, t.at/most)
			} else if t.at > 0 {
				f.Extrapolation = math.Inf(1)
			}
		case t.scale != "":
			y, size, ok := m.simulated(t.scale, t.figure)
			if !ok {
				f.Missing = append(f.Missing, t.scale+": "+t.figure)
				continue
			}
			f.Value += y * t.times
			f.Extrapolation = max(f.Extrapolation, max(float64(Routers)/float64(size.Routers), float64(Engines)/float64(size.Engines)))
		default:
			f.Value += t.times
		}
	}
	f.Direct = len(r.Terms) == 1 && r.Terms[0].times == 1 && r.Terms[0].why == ""
	f.OverBudget = len(f.Missing) == 0 && r.Budget > 0 && f.Value > r.Budget
	return f
}

func (m Measurements) slope(name string) (Slope, bool) {
	for _, s := range m.Slopes {
		if s.Name == name {
			return s, true
		}
	}
	return Slope{}, false
}

func (m Measurements) simulated(name, figure string) (float64, Scale, bool) {
	for _, s := range m.Simulations {
		if s.Name == name {
			y, ok := s.Figures[figure]
			return y, s, ok
		}
	}
	return 0, Scale{}, false
}

// What rows say of their figures; a check looks for these words.
const (
	statusUnmeasured   = "unmeasured"
	statusExtrapolated = "extrapolated"
	statusOverBudget   = "over its budget"
	statusMeasured     = "measured"
	statusComputed     = "reckoned"
	statusSimulated    = "played"
	statusGiven        = "given"
	statusAssumed      = "assumed"
)

// Status is the row's word on where its figure comes from, and on its budget.
func (r Row) Status(f Figure) string {
	var words []string
	played, assumed := false, false
	given := len(r.Terms) > 0
	for _, t := range r.Terms {
		played = played || t.scale != ""
		assumed = assumed || t.assumed
		given = given && t.why != ""
	}
	switch {
	case len(f.Missing) > 0:
		words = append(words, statusUnmeasured+": "+strings.Join(f.Missing, ", "))
	case assumed:
		words = append(words, statusAssumed)
	case f.Extrapolation > MaxExtrapolation:
		words = append(words, fmt.Sprintf("%s to %s times the largest size measured", statusExtrapolated, formatNumber(f.Extrapolation)))
	case f.Extrapolation > 1.005: // sizes such as rates are measured as they came out, not to the last digit
		words = append(words, fmt.Sprintf("%s, at %s times the largest size measured", statusComputed, formatNumber(f.Extrapolation)))
	case given:
		words = append(words, statusGiven)
	case f.Direct && played:
		words = append(words, statusSimulated)
	case f.Direct:
		words = append(words, statusMeasured)
	default:
		words = append(words, statusComputed)
	}
	if assumed && len(f.Missing) == 0 && f.Extrapolation > MaxExtrapolation {
		words = append(words, fmt.Sprintf("%s to %s times the largest size measured", statusExtrapolated, formatNumber(f.Extrapolation)))
	}
	if f.OverBudget {
		words = append(words, statusOverBudget)
	}
	return strings.Join(words, "; ")
}

// Source is how the figure is reckoned.
func (r Row) Source() string {
	var parts []string
	for _, t := range r.Terms {
		var s string
		switch {
		case t.slope != "" && t.rise:
			s = fmt.Sprintf("rise of `%s` by %s", t.slope, formatNumber(t.at))
		case t.slope != "":
			s = fmt.Sprintf("`%s` at %s", t.slope, formatNumber(t.at))
		case t.scale != "":
			s = fmt.Sprintf("day `%s`, `%s`", t.scale, t.figure)
		default:
			s = t.why
		}
		if t.why == "" && t.times != 1 {
			s += " × " + formatNumber(t.times)
		}
		parts = append(parts, s)
	}
	return strings.Join(parts, " + ")
}

// value is the text of the figure cell.
func (r Row) value(f Figure) string {
	if len(f.Missing) > 0 {
		return "-"
	}
	return strings.TrimSpace(formatNumber(f.Value) + " " + r.Unit)
}

func (r Row) budget() string {
	if r.Budget == 0 {
		return "-"
	}
	return strings.TrimSpace(formatNumber(r.Budget) + " " + r.Unit)
}

// formatNumber writes three figures that count, thousands apart, no exponents.
func formatNumber(x float64) string {
	if x == 0 || math.IsInf(x, 0) || math.IsNaN(x) {
		return strconv.FormatFloat(x, 'f', -1, 64)
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(x))))
	unit := math.Pow(10, float64(digits))
	rounded := math.Round(x*unit) / unit
	if digits < 0 {
		unit = math.Pow(10, float64(-digits))
		rounded = math.Round(x/unit) * unit
	}
	text := strconv.FormatFloat(rounded, 'f', max(digits, 0), 64)
	whole, part, dot := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if dot {
		if part = strings.TrimRight(part, "0"); part != "" {
			return sign + whole + "." + part
		}
	}
	return sign + whole
}

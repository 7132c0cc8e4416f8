package capacity

import (
	"math"
)

// MaxExtrapolation is the largest multiple of the largest size measured at which a row may use a slope without the
// status that its figure is extrapolated.
const MaxExtrapolation = 4

// roundingTolerance is the multiple of the largest size measured up to which a size counts as measured: sizes such as
// rates are recorded as they were reached, which is not exactly.
const roundingTolerance = 1.005

// Row is a line of a table: what a role carries in a scenario.
type Row struct {
	Role      string // router, discovery, keeper, control machine, engine or operator
	Subject   string // what the figure is of; unique in its scenario and role
	Unit      string
	Terms     []Term
	Budget    float64  // the largest figure allowed; 0: there is none
	Mechanism string   // what carries the demand
	Packages  []string // of the mechanism; NotBuilt alone where there is none yet
}

// NotBuilt is listed in place of packages for a mechanism that does not exist.
const NotBuilt = "(not built)"

// Scenario is a table of the page.
type Scenario struct {
	Key  string // identifies the table's position on the page
	Rows []Row
}

// termKind is the origin of a term's value.
type termKind uint8

const (
	lineTerm      termKind = iota // a slope at a size
	riseTerm                      // the same without its intercept
	simulatedTerm                 // a figure of a simulated day
	givenTerm                     // a value that follows from the size, a page or a setting
	assumedTerm                   // a value that nobody has measured
)

// Term is a part of a row's figure, which is the sum of its terms.
type Term struct {
	kind   termKind
	slope  string  // name, of a line or rise
	size   float64 // of a line or rise
	day    string  // name, of a simulated term
	figure string  // name, of a simulated term
	factor float64 // the value, of a given or assumed term
	reason string  // of a given or assumed term
}

// Line is the cost at a size, by a slope's line.
func Line(slope string, size float64) Term {
	return Term{kind: lineTerm, slope: slope, size: size, factor: 1}
}

// Rise is what a size adds, by a slope's line without its intercept, which another term has.
func Rise(slope string, size float64) Term {
	return Term{kind: riseTerm, slope: slope, size: size, factor: 1}
}

// Simulated is a figure of a simulated day.
func Simulated(day, figure string) Term {
	return Term{kind: simulatedTerm, day: day, figure: figure, factor: 1}
}

// Given is a value that follows from the size alone, or that a page or a setting states.
func Given(value float64, reason string) Term {
	return Term{kind: givenTerm, factor: value, reason: reason}
}

// Assumed is a value that nobody has measured and nothing states.
func Assumed(value float64, reason string) Term {
	return Term{kind: assumedTerm, factor: value, reason: reason}
}

// Times multiplies a term, for example by the events per second of which it is the cost.
func (t Term) Times(factor float64) Term {
	t.factor *= factor
	return t
}

// Measurements are what rows are computed from.
type Measurements struct {
	Slopes      []Slope
	Simulations []SimulatedDay
}

// Figure is the computed figure of a row.
type Figure struct {
	Value         float64
	Missing       []string // slopes and figures that are not measured; then there is no value
	Extrapolation float64  // the largest multiple of the largest size measured that a term uses
	Direct        bool     // one slope at a size, or one simulated figure, as it is
	OverBudget    bool
}

// Compute returns a row's figure.
func (m Measurements) Compute(row Row) Figure {
	var figure Figure
	for _, term := range row.Terms {
		m.addTerm(&figure, term)
	}
	if len(row.Terms) == 1 {
		term := row.Terms[0]
		figure.Direct = term.factor == 1 && term.reason == ""
	}
	figure.OverBudget = len(figure.Missing) == 0 && row.Budget > 0 && figure.Value > row.Budget
	return figure
}

func (m Measurements) addTerm(figure *Figure, term Term) {
	switch term.kind {
	case lineTerm, riseTerm:
		m.addSlope(figure, term)
	case simulatedTerm:
		m.addSimulated(figure, term)
	case givenTerm, assumedTerm:
		figure.Value += term.factor
	}
}

func (m Measurements) addSlope(figure *Figure, term Term) {
	slope, ok := m.slope(term.slope)
	if !ok {
		figure.Missing = append(figure.Missing, term.slope)
		return
	}
	cost := slope.At(term.size)
	if term.kind == riseTerm {
		cost -= slope.Intercept
	}
	figure.Value += cost * term.factor
	if largest := slope.LargestSize(); largest > 0 {
		figure.Extrapolation = max(figure.Extrapolation, term.size/largest)
	} else if term.size > 0 {
		figure.Extrapolation = math.Inf(1)
	}
}

func (m Measurements) addSimulated(figure *Figure, term Term) {
	value, day, ok := m.simulated(term.day, term.figure)
	if !ok {
		figure.Missing = append(figure.Missing, term.day+": "+term.figure)
		return
	}
	figure.Value += value * term.factor
	sizeRatio := max(float64(Routers)/float64(day.Routers), float64(Engines)/float64(day.Engines))
	figure.Extrapolation = max(figure.Extrapolation, sizeRatio)
}

func (m Measurements) slope(name string) (Slope, bool) {
	for _, slope := range m.Slopes {
		if slope.Name == name {
			return slope, true
		}
	}
	return Slope{}, false
}

func (m Measurements) simulated(name, figure string) (value float64, day SimulatedDay, ok bool) {
	for _, day := range m.Simulations {
		if day.Name == name {
			value, ok := day.Figures[figure]
			return value, day, ok
		}
	}
	return 0, SimulatedDay{}, false
}

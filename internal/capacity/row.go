package capacity

import (
	"math"
)

// MaxExtrapolation limits the extrapolation of measurements: a row that uses more than this multiple of the largest
// measured size has to be marked as extrapolated.
const MaxExtrapolation = 4

// roundingTolerance is the multiple of the largest measured size up to which a size counts as measured. Some sizes,
// such as rates, are recorded as the tests reached them, which differs slightly from the intended size.
const roundingTolerance = 1.005

// Row is a row of a table: one demand on a role in a scenario.
type Row struct {
	Role      string // router, discovery, keeper, control machine, engine or operator
	Subject   string // what the figure describes; unique for a role in a scenario
	Unit      string
	Terms     []Term
	Budget    float64  // the largest allowed figure; 0 for no limit
	Mechanism string   // what meets or limits the demand
	Packages  []string // that implement the mechanism; only NotBuilt if it does not exist yet
}

// NotBuilt is listed in place of packages for a mechanism that does not exist yet.
const NotBuilt = "(not built)"

// Scenario is a situation of the fleet, such as the loss of a zone. It has one table on a page.
type Scenario struct {
	Key  string // identifies the table in its begin marker on the page
	Rows []Row
}

// termKind is the origin of a term's value.
type termKind uint8

const (
	lineTerm      termKind = iota // the value of a slope's line at a size
	riseTerm                      // the same without the line's intercept
	simulatedTerm                 // a figure of a simulated day
	givenTerm                     // a value that follows from the size, a page or a setting
	assumedTerm                   // a value that was neither measured nor specified
)

// Term is one summand of a row's figure.
type Term struct {
	kind   termKind
	slope  string  // name, of a line or rise
	size   float64 // of a line or rise
	day    string  // name, of a simulated term
	figure string  // name, of a simulated term
	factor float64 // the value, of a given or assumed term
	reason string  // of a given or assumed term
}

// Line returns a term for the cost at a size, on the line of the named slope.
func Line(slope string, size float64) Term {
	return Term{kind: lineTerm, slope: slope, size: size, factor: 1}
}

// Rise returns a term for the cost that a size adds, on the line of the named slope without its intercept. It is used
// if another term already contains the fixed cost.
func Rise(slope string, size float64) Term {
	return Term{kind: riseTerm, slope: slope, size: size, factor: 1}
}

// Simulated returns a term for a figure of the named simulated day.
func Simulated(day, figure string) Term {
	return Term{kind: simulatedTerm, day: day, figure: figure, factor: 1}
}

// Given returns a term for a value that follows from the size of the fleet, or that a page or a setting specifies.
func Given(value float64, reason string) Term {
	return Term{kind: givenTerm, factor: value, reason: reason}
}

// Assumed returns a term for a value that was neither measured nor specified.
func Assumed(value float64, reason string) Term {
	return Term{kind: assumedTerm, factor: value, reason: reason}
}

// Times returns the term multiplied by a factor, for example the cost of one event by the events per second.
func (t Term) Times(factor float64) Term {
	t.factor *= factor
	return t
}

// Measurements are the inputs from which rows are computed.
type Measurements struct {
	Slopes      []Slope
	Simulations []SimulatedDay
}

// Figure is the computed figure of a row.
type Figure struct {
	Value         float64
	Missing       []string // names of slopes and figures that were not measured; Value is not valid then
	Extrapolation float64  // the largest ratio of the size that a term uses to the largest measured size
	Direct        bool     // whether the only term is an unscaled slope at a size or simulated figure
	OverBudget    bool
}

// Compute returns the figure of a row.
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

package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Texts in the status of a row that describe the origin of its figure. checkStatus looks for them.
const (
	statusUnmeasured   = "unmeasured"
	statusExtrapolated = "extrapolated"
	statusOverBudget   = "over its budget"
	statusMeasured     = "measured"
	statusComputed     = "computed"
	statusSimulated    = "simulated"
	statusGiven        = "given"
	statusAssumed      = "assumed"
)

// Status returns the text of the status column: the origin of a row's figure, and whether the figure is extrapolated
// or over its budget.
func (r Row) Status(figure Figure) string {
	statuses := []string{r.origin(figure)}
	if r.isAssumed() && len(figure.Missing) == 0 && figure.Extrapolation > MaxExtrapolation {
		statuses = append(statuses, atMultiple(statusExtrapolated+" to", figure))
	}
	if figure.OverBudget {
		statuses = append(statuses, statusOverBudget)
	}
	return strings.Join(statuses, "; ")
}

// origin returns the part of the status that says where the figure comes from.
func (r Row) origin(figure Figure) string {
	switch {
	case len(figure.Missing) > 0:
		return statusUnmeasured + ": " + strings.Join(figure.Missing, ", ")
	case r.isAssumed():
		return statusAssumed
	case figure.Extrapolation > MaxExtrapolation:
		return atMultiple(statusExtrapolated+" to", figure)
	case figure.Extrapolation > roundingTolerance:
		return atMultiple(statusComputed+", at", figure)
	case r.isGiven():
		return statusGiven
	case figure.Direct && r.Terms[0].kind == simulatedTerm:
		return statusSimulated
	case figure.Direct:
		return statusMeasured
	}
	return statusComputed
}

// atMultiple appends to a status the multiple of the largest measured size that the figure uses.
func atMultiple(status string, figure Figure) string {
	return fmt.Sprintf("%s %s times the largest size measured", status, formatNumber(figure.Extrapolation))
}

// isAssumed reports whether at least one term is assumed.
func (r Row) isAssumed() bool {
	return slices.ContainsFunc(r.Terms, func(t Term) bool { return t.kind == assumedTerm })
}

// isGiven reports whether the row has terms and all of them are given or assumed.
func (r Row) isGiven() bool {
	return len(r.Terms) > 0 && !slices.ContainsFunc(r.Terms, func(t Term) bool { return t.reason == "" })
}

// Source returns the text of the column that says from which slopes, simulated days and values the figure is computed.
func (r Row) Source() string {
	var sources []string
	for _, term := range r.Terms {
		sources = append(sources, term.source())
	}
	return strings.Join(sources, " + ")
}

// source returns the part of Source for one term.
func (t Term) source() string {
	var source string
	switch t.kind {
	case lineTerm:
		source = fmt.Sprintf("`%s` at %s", t.slope, formatNumber(t.size))
	case riseTerm:
		source = fmt.Sprintf("rise of `%s` by %s", t.slope, formatNumber(t.size))
	case simulatedTerm:
		source = fmt.Sprintf("day `%s`, `%s`", t.day, t.figure)
	case givenTerm, assumedTerm:
		return t.reason
	}
	if t.factor != 1 {
		source += " × " + formatNumber(t.factor)
	}
	return source
}

// cells returns the texts of a row's cells in the order of columns.
func (m Measurements) cells(row Row) []string {
	figure := m.Compute(row)
	return []string{
		row.Role, row.Subject, row.figureCell(figure), row.budgetCell(), row.Status(figure), row.Source(),
		row.mechanismCell(),
	}
}

func (r Row) figureCell(figure Figure) string {
	if len(figure.Missing) > 0 {
		return "-"
	}
	return strings.TrimSpace(formatNumber(figure.Value) + " " + r.Unit)
}

func (r Row) budgetCell() string {
	if r.Budget == 0 {
		return "-"
	}
	return strings.TrimSpace(formatNumber(r.Budget) + " " + r.Unit)
}

func (r Row) mechanismCell() string {
	cell := r.Mechanism
	for _, path := range r.Packages {
		if path == NotBuilt {
			cell += " " + NotBuilt
		} else {
			cell += " `" + path + "`"
		}
	}
	return cell
}

// significantDigits is how many significant digits figures on the page have.
const significantDigits = 3

// formatNumber formats a number with significantDigits, commas between thousands, and no exponent.
func formatNumber(x float64) string {
	if x == 0 || math.IsInf(x, 0) || math.IsNaN(x) {
		return strconv.FormatFloat(x, 'f', -1, 64)
	}
	decimals := significantDigits - 1 - int(math.Floor(math.Log10(math.Abs(x))))
	text := strconv.FormatFloat(roundTo(x, decimals), 'f', max(decimals, 0), 64)
	integer, fraction, _ := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(integer, "-") {
		sign, integer = "-", integer[1:]
	}
	for i := len(integer) - 3; i > 0; i -= 3 {
		integer = integer[:i] + "," + integer[i:]
	}
	if fraction = strings.TrimRight(fraction, "0"); fraction != "" {
		return sign + integer + "." + fraction
	}
	return sign + integer
}

// roundTo rounds x to a number of decimals. A negative number rounds to tens, hundreds and so on.
func roundTo(x float64, decimals int) float64 {
	if decimals < 0 {
		unit := math.Pow(10, float64(-decimals))
		return math.Round(x/unit) * unit
	}
	unit := math.Pow(10, float64(decimals))
	return math.Round(x*unit) / unit
}

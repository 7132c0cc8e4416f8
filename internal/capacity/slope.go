package capacity

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// MinSizes is the minimum number of different sizes at which a slope has to be measured.
const MinSizes = 4

// Slope is a cost that a test measured at several sizes, with the line that fits the measurements.
type Slope struct {
	Name       string  `json:"name"` // unique in the file; rows refer to it
	Role       string  `json:"of"`   // that has the cost: router, keeper or board, which is the discovery server
	X          string  `json:"x"`    // the size, with its unit
	Y          string  `json:"y"`    // the cost, with its unit
	Points     Points  `json:"points"`
	Intercept  float64 `json:"intercept"`        // from Fit, in the unit of Y
	Slope      float64 `json:"slope"`            // from Fit, Y per X
	Residual   float64 `json:"largest_residual"` // from Fit, in the unit of Y
	Conditions string  `json:"conditions"`       // machine, other sizes and duration of the measurement
	Test       string  `json:"test"`             // the test that measured it
}

// Points are pairs of a size and the cost measured at it.
type Points [][2]float64

// At returns the cost at a size on the fitted line, in the unit of Y.
func (s Slope) At(x float64) float64 { return s.Intercept + s.Slope*x }

// LargestSize returns the largest measured size in the unit of X, or negative infinity if there are no points.
func (s Slope) LargestSize() float64 {
	largest := math.Inf(-1)
	for _, p := range s.Points {
		largest = max(largest, p[0])
	}
	return largest
}

// Fit fits a line to points by the method of least squares. The largest residual is the largest distance of a point
// from the line in the direction of y. If all points have the same x, the line is horizontal at their mean; without
// points, all results are 0.
func Fit(points [][2]float64) (intercept, slope, largestResidual float64) {
	if len(points) == 0 {
		return 0, 0, 0
	}
	n, meanX, meanY := float64(len(points)), 0.0, 0.0
	for _, p := range points {
		meanX, meanY = meanX+p[0]/n, meanY+p[1]/n
	}
	sumXX, sumXY := 0.0, 0.0
	for _, p := range points {
		sumXX += (p[0] - meanX) * (p[0] - meanX)
		sumXY += (p[0] - meanX) * (p[1] - meanY)
	}
	if sumXX > 0 {
		slope = sumXY / sumXX
	}
	intercept = meanY - slope*meanX
	for _, p := range points {
		largestResidual = max(largestResidual, math.Abs(p[1]-intercept-slope*p[0]))
	}
	return intercept, slope, largestResidual
}

// NewSlope returns a slope with the line that fits the points, and an error if ParseSlopes would reject it.
func NewSlope(name, of, x, y string, points [][2]float64, conditions, test string) (Slope, error) {
	s := Slope{Name: name, Role: of, X: x, Y: y, Points: points, Conditions: conditions, Test: test}
	s.Intercept, s.Slope, s.Residual = Fit(points)
	return s, s.check()
}

// check returns an error if a field is empty, there are fewer than MinSizes sizes, or the line does not fit the points.
func (s Slope) check() error {
	for _, check := range []struct{ field, value string }{
		{"name", s.Name},
		{"of", s.Role},
		{"x", s.X},
		{"y", s.Y},
		{"conditions", s.Conditions},
		{"test", s.Test},
	} {
		if check.value == "" {
			return fmt.Errorf("%s: is empty", check.field)
		}
	}
	var sizes []float64
	for _, p := range s.Points {
		sizes = append(sizes, p[0])
	}
	slices.Sort(sizes)
	if n := len(slices.Compact(sizes)); n < MinSizes {
		return fmt.Errorf("points: %d different sizes, want at least %d", n, MinSizes)
	}
	intercept, slope, residual := Fit(s.Points)
	scale := 0.0 // the largest cost, relative to which rounding errors are tolerated
	for _, p := range s.Points {
		scale = max(scale, math.Abs(p[1]))
	}
	for _, check := range []struct {
		field     string
		got, want float64
		unit      float64
	}{
		{"intercept", s.Intercept, intercept, scale},
		{"slope", s.Slope, slope, math.Abs(slope)},
		{"largest_residual", s.Residual, residual, scale},
	} {
		if !(math.Abs(check.got-check.want) <= 1e-6*check.unit) {
			return fmt.Errorf("%s: is %v, want %v by the points", check.field, check.got, check.want)
		}
	}
	return nil
}

// ParseSlopes reads the text of slopes.json, a list of slopes. It returns an error if a slope lacks a field, has an
// unknown or invalid one, has fewer than MinSizes different sizes, has a line that does not fit its points, or has the
// name of another slope. The error names the index in the list, the slope and the field.
func ParseSlopes(text []byte) ([]Slope, error) {
	var items []json.RawMessage
	if err := json.Unmarshal(text, &items); err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	var slopes []Slope
	for i, item := range items {
		var parsed Slope
		var named struct{ Name any }
		_ = json.Unmarshal(item, &named) // only for the error message; decodeObject reports the errors of the item
		err := decodeObject(item, map[string]any{
			"name": &parsed.Name, "of": &parsed.Role, "x": &parsed.X, "y": &parsed.Y, "points": &parsed.Points,
			"intercept": &parsed.Intercept, "slope": &parsed.Slope, "largest_residual": &parsed.Residual,
			"conditions": &parsed.Conditions, "test": &parsed.Test,
		})
		if err == nil {
			err = parsed.check()
		}
		if err != nil {
			return nil, fmt.Errorf("slopes[%d] %q: %w", i, fmt.Sprint(named.Name), err)
		}
		if slices.ContainsFunc(slopes, func(o Slope) bool { return o.Name == parsed.Name }) {
			return nil, fmt.Errorf("slopes[%d] %q: name: is a duplicate", i, parsed.Name)
		}
		slopes = append(slopes, parsed)
	}
	return slopes, nil
}

// FormatSlopes returns the text of slopes.json. The slopes are sorted by name, so that a new measurement changes only
// its own lines. It returns an error for slopes that ParseSlopes rejects.
func FormatSlopes(slopes []Slope) ([]byte, error) {
	slopes = slices.SortedFunc(slices.Values(slopes), func(a, b Slope) int { return cmp.Compare(a.Name, b.Name) })
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(slopes); err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	if _, err := ParseSlopes(out.Bytes()); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// MergeSlopes returns the old slopes with the updates added; an update replaces the old slope of the same name.
func MergeSlopes(old, updates []Slope) []Slope {
	merged := slices.DeleteFunc(slices.Clone(old), func(s Slope) bool {
		return slices.ContainsFunc(updates, func(f Slope) bool { return f.Name == s.Name })
	})
	return append(merged, updates...)
}

// MarshalJSON implements json.Marshaler. It encodes nil as an empty list.
func (p Points) MarshalJSON() ([]byte, error) {
	if p == nil {
		return []byte("[]"), nil
	}
	return json.Marshal([][2]float64(p))
}

// UnmarshalJSON implements json.Unmarshaler. It rejects points without exactly two numbers: the default decoding would
// fill short ones with zeros and truncate long ones.
func (p *Points) UnmarshalJSON(text []byte) error {
	var rows [][]float64
	if err := json.Unmarshal(text, &rows); err != nil {
		return err
	}
	*p = make(Points, len(rows))
	for i, row := range rows {
		if len(row) != 2 {
			return fmt.Errorf("point %d has %d numbers, want 2", i, len(row))
		}
		(*p)[i] = [2]float64(row)
	}
	return nil
}

// decodeObject decodes the fields of a JSON object into the pointers in want. It returns an error if a field is missing,
// null, unknown or invalid.
func decodeObject(text []byte, want map[string]any) error {
	var got map[string]json.RawMessage
	if err := json.Unmarshal(text, &got); err != nil {
		return err
	}
	for _, name := range sortedKeys(got) {
		if want[name] == nil {
			return fmt.Errorf("%s: is not known", name)
		}
	}
	for _, name := range sortedKeys(want) {
		value, ok := got[name]
		if !ok || string(value) == "null" {
			return fmt.Errorf("%s: is missing", name)
		}
		if err := json.Unmarshal(value, want[name]); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

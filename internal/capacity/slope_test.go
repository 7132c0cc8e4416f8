package capacity

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Fit recovers a line from its points. If one point is moved by 5, no line close to the fitted one has a smaller sum of
// squares, and the largest residual is at most 5.
func TestFitRecoversLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intercept, slope := rapid.Float64Range(-1e3, 1e3).Draw(t, "intercept"), rapid.Float64Range(-10, 10).Draw(t, "slope")
		n := rapid.IntRange(4, 12).Draw(t, "points")
		var points [][2]float64
		for i := range n {
			x := float64(i*100) + rapid.Float64Range(0, 90).Draw(t, "x")
			points = append(points, [2]float64{x, intercept + slope*x})
		}
		gotIntercept, gotSlope, residual := Fit(points)
		if math.Abs(gotIntercept-intercept) > 1e-6 || math.Abs(gotSlope-slope) > 1e-8 || residual > 1e-6 {
			t.Fatalf("the line is %v + %v x with residual %v, want %v + %v x with residual 0",
				gotIntercept, gotSlope, residual, intercept, slope)
		}
		// No line close to the fitted one has a smaller sum of squares.
		points[0][1] += 5
		sum := func(a, b float64) (s float64) {
			for _, p := range points {
				s += (p[1] - a - b*p[0]) * (p[1] - a - b*p[0])
			}
			return s
		}
		gotIntercept, gotSlope, residual = Fit(points)
		least := sum(gotIntercept, gotSlope)
		for _, d := range [][2]float64{{1, 0}, {-1, 0}, {0, 0.01}, {0, -0.01}} {
			if s := sum(gotIntercept+d[0], gotSlope+d[1]); s < least {
				t.Fatalf("a line close to the fitted one has a sum of squares of %v, less than %v", s, least)
			}
		}
		if residual > 5 || residual == 0 {
			t.Fatalf("the largest residual is %v for a point that was moved by 5, want above 0 and at most 5", residual)
		}
	})
}

func TestFitOfFewPoints(t *testing.T) {
	for _, test := range []struct {
		points [][2]float64
		want   [3]float64
	}{
		{nil, [3]float64{}},
		{[][2]float64{{3, 4}}, [3]float64{4, 0, 0}},
		{[][2]float64{{3, 4}, {3, 6}}, [3]float64{5, 0, 1}},
		{[][2]float64{{0, 1}, {1, 2}, {2, 6}}, [3]float64{0.5, 2.5, 1}},
	} {
		a, b, r := Fit(test.points)
		if [3]float64{a, b, r} != test.want {
			t.Errorf("points %v: intercept %v, slope %v, residual %v; want %v", test.points, a, b, r, test.want)
		}
	}
}

const oneSlope = `{"name":"n","of":"router","x":"engines","y":"ms","points":[[1,2],[2,4],[3,6],[4,8]],` +
	`"intercept":0,"slope":2,"largest_residual":0,"conditions":"c","test":"T"}`

// A missing, unknown or invalid field is rejected with an error that names the index, the slope and the field.
func TestParseSlopesRejectsInvalidFields(t *testing.T) {
	slopes, err := ParseSlopes([]byte("[" + oneSlope + "]"))
	if err != nil || len(slopes) != 1 || slopes[0].At(10) != 20 || slopes[0].LargestSize() != 4 {
		t.Fatalf("got slopes %+v, error %v; want the one of the text", slopes, err)
	}
	again, err := FormatSlopes(slopes)
	if back, e := ParseSlopes(again); err != nil || e != nil || back[0].Test != "T" {
		t.Errorf("a formatted slope cannot be parsed again: text %s, errors %v and %v", again, err, e)
	}
	for _, test := range []struct{ old, new, want string }{
		{`"of":"router",`, ``, `slopes[1] "m": of: is missing`},
		{`"of":"router"`, `"of":null`, `slopes[1] "m": of: is missing`},
		{`"of":"router"`, `"of":""`, `slopes[1] "m": of: is empty`},
		{`"of":"router"`, `"of":"router","off":1`, `slopes[1] "m": off: is not known`},
		{`"of":"router"`, `"of":7`, `slopes[1] "m": of: json: cannot unmarshal number`},
		{`"name":"m"`, `"name":"n"`, `slopes[1] "n": name: is a duplicate`},
		{`[4,8]`, `[3,6]`, `slopes[1] "m": points: 3 different sizes, want at least 4`},
		{`[4,8]`, `[4]`, `slopes[1] "m": points: point 3 has 1 numbers, want 2`},
		{`[4,8]`, `[4,8,0]`, `slopes[1] "m": points: point 3 has 3 numbers, want 2`},
		{`"slope":2`, `"slope":2.1`, `slopes[1] "m": slope: is 2.1, want 2 by the points`},
		{`"intercept":0`, `"intercept":1`, `slopes[1] "m": intercept: is 1, want 0 by the points`},
		{`"largest_residual":0`, `"largest_residual":1`, `slopes[1] "m": largest_residual: is 1, want 0 by the points`},
	} {
		other := strings.Replace(oneSlope, `"name":"n"`, `"name":"m"`, 1)
		text := strings.Replace(other, test.old, test.new, 1)
		if text == other {
			t.Fatalf("the example has no text %q", test.old)
		}
		_, err := ParseSlopes([]byte("[" + oneSlope + "," + text + "]"))
		if err == nil || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("%q replaced by %q: error %v, want %s", test.old, test.new, err, test.want)
		}
	}
	if _, err := ParseSlopes([]byte("{")); err == nil {
		t.Error("a truncated file was accepted")
	}
}

// MergeSlopes replaces the slope of the same name, and FormatSlopes rejects invalid slopes.
func TestMergeSlopes(t *testing.T) {
	at := func(name string, y float64) Slope {
		s, err := NewSlope(name, "router", "engines", "ms", [][2]float64{{1, y}, {2, y}, {3, y}, {4, y}}, "c", "T")
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	all := MergeSlopes([]Slope{at("a", 1), at("b", 2)}, []Slope{at("b", 3), at("c", 4)})
	text, err := FormatSlopes(all)
	if err != nil {
		t.Fatal(err)
	}
	back, err := ParseSlopes(text)
	if err != nil || len(back) != 3 || back[0].Name != "a" || back[1].Intercept != 3 || back[2].Name != "c" {
		t.Errorf("got slopes %+v, error %v; want a, the updated b, and c", back, err)
	}
	if _, err := NewSlope("a", "router", "engines", "ms", [][2]float64{{1, 1}, {2, 2}}, "c", "T"); err == nil {
		t.Error("a slope with two sizes was accepted")
	}
	all[0].Slope = 9
	if _, err := FormatSlopes(all); err == nil {
		t.Error("a slope that does not fit its points was accepted")
	}
}

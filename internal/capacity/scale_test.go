package capacity

import (
	"math"
	"strings"
	"testing"
)

const oneDay = `{"name":"n","routers":6,"engines":12,"zones":3,"figures":{"served":0.9},"conditions":"c","test":"T"}`

// A missing, unknown or invalid field is rejected with an error that names the index, the day and the field.
func TestParseSimulatedDaysRejectsInvalidFields(t *testing.T) {
	days, err := ParseSimulatedDays([]byte("[" + oneDay + "]"))
	if err != nil || len(days) != 1 || days[0].Figures["served"] != 0.9 || days[0].Routers != 6 {
		t.Fatalf("got days %+v, error %v; want the one of the text", days, err)
	}
	text, err := FormatSimulatedDays(MergeSimulatedDays(days, []SimulatedDay{
		{Name: "n", Routers: 1, Engines: 1, Zones: 1, Figures: map[string]float64{"a": 1}, Conditions: "c", Test: "T"},
	}))
	if back, e := ParseSimulatedDays(text); err != nil || e != nil || len(back) != 1 || back[0].Figures["a"] != 1 {
		t.Errorf("a day does not replace the one of its name: text %s, errors %v and %v", text, err, e)
	}
	for _, test := range []struct{ old, new, want string }{
		{`"zones":3,`, ``, `scales[0] "n": zones: is missing`},
		{`"zones":3`, `"zones":3,"regions":2`, `scales[0] "n": regions: is not known`},
		{`"zones":3`, `"zones":"x"`, `scales[0] "n": zones: json`},
		{`"zones":3`, `"zones":0`, `scales[0] "n": routers, engines or zones: is below 1`},
		{`{"served":0.9}`, `{}`, `scales[0] "n": figures: is empty`},
		{`"test":"T"`, `"test":""`, `scales[0] "n": name, conditions or test: is empty`},
	} {
		changed := strings.Replace(oneDay, test.old, test.new, 1)
		_, err := ParseSimulatedDays([]byte("[" + changed + "]"))
		if changed == oneDay || err == nil || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("%q replaced by %q: error %v, want %s", test.old, test.new, err, test.want)
		}
	}
	_, err = ParseSimulatedDays([]byte("[" + oneDay + "," + oneDay + "]"))
	if err == nil || !strings.Contains(err.Error(), `scales[1] "n": name: is a duplicate`) {
		t.Errorf("two days of one name: error %v, want one for the duplicate", err)
	}
}

// FormatSimulatedDays rejects days that ParseSimulatedDays would reject, and a truncated file is rejected.
func TestInvalidSimulatedDaysAreRejected(t *testing.T) {
	if _, err := ParseSimulatedDays([]byte("[" + oneDay)); err == nil || !strings.HasPrefix(err.Error(), "scales: ") {
		t.Errorf("truncated file: error %v, want one that begins with \"scales: \"", err)
	}
	day := SimulatedDay{
		Name: "n", Routers: 6, Engines: 12, Zones: 3, Conditions: "c", Test: "T",
		Figures: map[string]float64{"served": 0.9},
	}
	if text, err := FormatSimulatedDays([]SimulatedDay{day}); err != nil || !strings.Contains(string(text), `"routers": 6,`) {
		t.Errorf("valid day: %s, error %v", text, err)
	}
	withFigure := func(value float64) SimulatedDay {
		changed := day
		changed.Figures = map[string]float64{"served": value}
		return changed
	}
	withoutTest := day
	withoutTest.Test = ""
	for _, test := range []struct {
		name string
		days []SimulatedDay
		want string
	}{
		{"duplicate name", []SimulatedDay{day, day}, `scales[1] "n": name: is a duplicate`},
		{"no test", []SimulatedDay{withoutTest}, `scales[0] "n": name, conditions or test: is empty`},
		{"figure that JSON cannot represent", []SimulatedDay{withFigure(math.NaN())}, "scales: json: unsupported value: NaN"},
	} {
		text, err := FormatSimulatedDays(test.days)
		if text != nil || err == nil || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("%s: got text %q, error %v; want no text and error %s", test.name, text, err, test.want)
		}
	}
}

package enginehttp

import (
	"testing"

	"windflow/dispatch"
)

// TestParseLoad checks that each name in a load report sets its own field and leaves the others unknown.
func TestParseLoad(t *testing.T) {
	unknown := dispatch.LoadReport{
		InFlight: unknownLoad, Waiting: unknownLoad, Busy: unknownLoad, Disk: unknownLoad, Memory: unknownLoad,
		Failing: unknownLoad,
	}
	for _, test := range []struct {
		text string
		set  func(*dispatch.LoadReport)
	}{
		{"inflight:7", func(report *dispatch.LoadReport) { report.InFlight = 7 }},
		{"rif:7", func(report *dispatch.LoadReport) { report.InFlight = 7 }},
		{"queue:3", func(report *dispatch.LoadReport) { report.Waiting = 3 }},
		{"q:3", func(report *dispatch.LoadReport) { report.Waiting = 3 }},
		{"util:0.61", func(report *dispatch.LoadReport) { report.Busy = 0.61 }},
		{"busy:0.61", func(report *dispatch.LoadReport) { report.Busy = 0.61 }},
		{"x0:0.5", func(report *dispatch.LoadReport) { report.Memory = 0.5 }},
		{"x1:0.5", func(report *dispatch.LoadReport) { report.Disk = 0.5 }},
		{"eps:2", func(report *dispatch.LoadReport) { report.Failing = 2 }},
		{"fail_rate:2", func(report *dispatch.LoadReport) { report.Failing = 2 }},
		{" rif : 7 ;disk:1;q:-1;busy:NaN;x0;x1:1000001", func(report *dispatch.LoadReport) { report.InFlight = 7 }},
	} {
		want := unknown
		test.set(&want)
		if got := parseLoad(test.text); got == nil || *got != want {
			t.Errorf("parseLoad(%q) = %+v, want %+v", test.text, got, want)
		}
	}
	for _, text := range []string{"", "disk:1", "rif", "rif:x", "rif:-1;q:NaN"} {
		if got := parseLoad(text); got != nil {
			t.Errorf("parseLoad(%q) = %+v, want nil", text, got)
		}
	}
}

package enginehttp

import (
	"math"
	"strconv"
	"strings"

	"windflow/dispatch"
)

// maxReport bounds a figure of a load report: more is no load but a fault of who tells it.
const maxReport = 1e6

// parseLoad reads a load report, as in 'inflight:7;util:0.61'. What it does not name, or what makes no sense, is
// unknown; without any figure that does there is no report.
func parseLoad(text string) *dispatch.LoadReport {
	l := dispatch.LoadReport{InFlight: -1, Waiting: -1, Busy: -1, Disk: -1, Memory: -1, Failing: -1}
	places := map[string]*float64{
		"inflight": &l.InFlight, "rif": &l.InFlight, "queue": &l.Waiting, "q": &l.Waiting,
		"util": &l.Busy, "busy": &l.Busy, "x1": &l.Disk, "x0": &l.Memory, "eps": &l.Failing, "fail_rate": &l.Failing,
	}
	known := false
	for part := range strings.SplitSeq(text, ";") {
		name, value, ok := strings.Cut(part, ":")
		place := places[strings.TrimSpace(name)]
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !ok || place == nil || err != nil || math.IsNaN(v) || v < 0 || v > maxReport {
			continue
		}
		*place, known = v, true
	}
	if !known {
		return nil
	}
	return &l
}

// notes are the forms of a note on a query that is not yet over.
var notes = map[string]dispatch.ProgressKind{"frac": dispatch.ProgressFraction, "missing": dispatch.ProgressSpilling, "parked": dispatch.ProgressBlocked}

// parseNote reads the note of an answer; without one, or with one that makes no sense, the answer says only that the
// query is not over.
func parseNote(header map[string]string) (dispatch.ProgressKind, float64) {
	kind, amount := notes[strings.ToLower(header["detail"])], number(header["x-amount"])
	switch {
	case kind == dispatch.ProgressFraction && amount > 1, kind == dispatch.ProgressBlocked && amount != 1 && amount != 2,
		kind == dispatch.ProgressSpilling && amount == 0:
		return dispatch.ProgressAlive, 0
	}
	return kind, amount
}

package enginehttp

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"windflow/dispatch"
)

// Headers of an engine's responses, in lower case as response keeps them.
const (
	headerLoad       = "backend-load"
	headerNotStarted = "not-begun"
	headerPageCount  = "x-parts"
	headerPageNumber = "x-part-no"
	headerWork       = "x-cpu-ms"
	headerMemory     = "x-mem-used"
	headerDetail     = "detail"
	headerAmount     = "x-amount"
)

const (
	// maxLoadValue bounds a value of a load report; a larger one is treated as a fault.
	maxLoadValue = 1e6
	// maxAmount bounds any other number of an engine.
	maxAmount = 1e9
	// unknownLoad is a value that a load report does not contain.
	unknownLoad = -1
)

// provesNotStarted reports whether the engine states that it rejected the statement without starting it.
func (r *response) provesNotStarted() bool {
	return (r.status == http.StatusServiceUnavailable || r.status == http.StatusGatewayTimeout) &&
		r.header[headerNotStarted] == "1"
}

// parseAmount reads a number of an engine; one that is missing or out of bounds is 0.
func parseAmount(text string) float64 {
	amount, err := strconv.ParseFloat(text, 64)
	if err != nil || !(amount >= 0 && amount < maxAmount) {
		return 0
	}
	return amount
}

// parseLoad reads a load report, as in 'inflight:7;util:0.61'. A value that is missing or out of bounds is unknown; nil
// means that the report has no valid value.
func parseLoad(text string) *dispatch.LoadReport {
	report := dispatch.LoadReport{
		InFlight: unknownLoad, Waiting: unknownLoad, Busy: unknownLoad, Disk: unknownLoad, Memory: unknownLoad,
		Failing: unknownLoad,
	}
	known := false
	for part := range strings.SplitSeq(text, ";") {
		name, value, ok := strings.Cut(part, ":")
		field := loadField(&report, strings.TrimSpace(name))
		number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !ok || field == nil || err != nil || math.IsNaN(number) || number < 0 || number > maxLoadValue {
			continue
		}
		*field, known = number, true
	}
	if !known {
		return nil
	}
	return &report
}

// loadField returns the field of a load report that a name on the wire denotes; nil for an unknown name.
func loadField(report *dispatch.LoadReport, name string) *float64 {
	switch name {
	case "inflight", "rif":
		return &report.InFlight
	case "queue", "q":
		return &report.Waiting
	case "util", "busy":
		return &report.Busy
	case "x1":
		return &report.Disk
	case "x0":
		return &report.Memory
	case "eps", "fail_rate":
		return &report.Failing
	}
	return nil
}

// Amounts of dispatch.ProgressBlocked.
const (
	blockedOnMemory = 1
	blockedOnLoad   = 2
)

// progressKinds are the names of the kinds of progress on the wire.
var progressKinds = map[string]dispatch.ProgressKind{
	"frac": dispatch.ProgressFraction, "missing": dispatch.ProgressSpilling, "parked": dispatch.ProgressBlocked,
}

// parseProgress reads the progress of a running query. Where it is missing or invalid, the response says only that the
// query is alive.
func parseProgress(header map[string]string) (dispatch.ProgressKind, float64) {
	kind, amount := progressKinds[strings.ToLower(header[headerDetail])], parseAmount(header[headerAmount])
	switch {
	case kind == dispatch.ProgressFraction && amount > 1,
		kind == dispatch.ProgressBlocked && amount != blockedOnMemory && amount != blockedOnLoad,
		kind == dispatch.ProgressSpilling && amount == 0:
		return dispatch.ProgressAlive, 0
	}
	return kind, amount
}

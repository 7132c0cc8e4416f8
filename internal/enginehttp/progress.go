package enginehttp

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"windflow/dispatch"
)

// Response headers of engines, in lower case like the keys of response.header.
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
	// maxLoadValue is the largest accepted value in a load report; larger values are ignored as faulty.
	maxLoadValue = 1e6
	// maxAmount is the exclusive upper limit of every other number that an engine sends.
	maxAmount = 1e9
	// unknownLoad marks a field that a load report does not contain.
	unknownLoad = -1
)

// provesNotStarted reports whether the engine declares that it rejected the statement without starting it.
func (r *response) provesNotStarted() bool {
	return (r.status == http.StatusServiceUnavailable || r.status == http.StatusGatewayTimeout) &&
		r.header[headerNotStarted] == "1"
}

// parseAmount parses a number sent by an engine. It returns 0 if the number is missing, invalid or out of range.
func parseAmount(text string) float64 {
	amount, err := strconv.ParseFloat(text, 64)
	if err != nil || !(amount >= 0 && amount < maxAmount) {
		return 0
	}
	return amount
}

// parseLoad parses a load report such as 'inflight:7;util:0.61'. Fields that are missing, invalid or out of range are
// set to unknownLoad. It returns nil if the report contains no valid value.
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

// loadField returns the field of a load report for its name on the wire, or nil if the name is unknown.
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

// Values of the amount for dispatch.ProgressBlocked: what the query waits for.
const (
	blockedOnMemory = 1
	blockedOnLoad   = 2
)

// progressKinds maps the names on the wire to the kinds of progress.
var progressKinds = map[string]dispatch.ProgressKind{
	"frac": dispatch.ProgressFraction, "missing": dispatch.ProgressSpilling, "parked": dispatch.ProgressBlocked,
}

// parseProgress returns the progress of a running query from the response headers. If it is missing or invalid, it
// returns dispatch.ProgressAlive, because the response still shows that the query is running.
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

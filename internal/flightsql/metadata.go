package flightsql

import (
	"strconv"

	"google.golang.org/grpc/metadata"
)

// Names of metadata and trailers of calls. The names of a request's own fields are the Field constants of package
// router.
const (
	// metaGrant (memory grant in MB) and metaPriority are sent to engines only.
	metaGrant    = "grant-mb"
	metaPriority = "priority"
	// metaNotStarted is the trailer with which an engine proves that it never started a call.
	metaNotStarted = "not-begun"
	// metaWork and metaMemory are trailers of an engine with the CPU milliseconds and the MB of memory that a query used.
	metaWork   = "cpu-ms"
	metaMemory = "mem-used"
	// metaBackoff and metaRetry are trailers with the front's retry advice to its clients.
	metaBackoff = "backoff-ms"
	metaRetry   = "retry"
)

// Values of metaRetry.
const (
	retrySafe   = "safe"
	retryUnsafe = "unsafe: it may have run"
)

// maxAmount is the exclusive upper bound of a number in an engine's trailer.
const maxAmount = 1e9

// parseAmount parses a number in an engine's trailer. It returns 0 if the number is missing, repeated or out of range.
func parseAmount(md metadata.MD, name string) float64 {
	values := md.Get(name)
	if len(values) != 1 {
		return 0
	}
	amount, err := strconv.ParseFloat(values[0], 64)
	if err != nil || !(amount >= 0 && amount < maxAmount) {
		return 0
	}
	return amount
}

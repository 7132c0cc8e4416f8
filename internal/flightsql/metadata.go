package flightsql

import (
	"strconv"

	"google.golang.org/grpc/metadata"
)

// Metadata of calls in addition to the request's own fields, whose names are the router's Field constants.
const (
	// metaGrant and metaPriority are for engines only.
	metaGrant    = "grant-mb"
	metaPriority = "priority"
	// metaNotStarted is the trailer by which an engine proves that a call never ran.
	metaNotStarted = "not-begun"
	// metaWork and metaMemory are trailers of an engine: what the query used, in milliseconds and MB.
	metaWork   = "cpu-ms"
	metaMemory = "mem-used"
	// metaBackoff and metaRetry are the front's advice to its clients.
	metaBackoff = "backoff-ms"
	metaRetry   = "retry"
)

// Values of metaRetry.
const (
	retrySafe   = "safe"
	retryUnsafe = "unsafe: it may have run"
)

// maxAmount bounds a number in an engine's trailer.
const maxAmount = 1e9

// parseAmount reads a number of an engine's trailer; one that is missing, repeated or out of bounds is 0.
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

package record

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The meter counts each request and attempt, and Collect resets the counts. With 10,000 tenants and engines the number
// of entries and the memory of histograms stay bounded, and no request is left uncounted.
func TestMeterCountsAndStaysBounded(t *testing.T) {
	m := NewMeter(func(id uint64) string { return fmt.Sprint("e", id) })
	for i := range 100 {
		m.RequestArrived("lookup", "a", i%10 == 0, 100)
		m.RequestEnded("lookup", "a", RequestOnTime, float64(i+1))
		m.AttemptStarted(1)
		m.AttemptEnded(1, AttemptServed, 50)
	}
	m.RequestEnded("lookup", "a", RequestRejected, 1)
	m.AttemptEnded(1, AttemptConnectionFailed, 1)
	classes, engines := m.Collect()
	if diff := cmp.Diff([]ClassStats{
		{
			Class: "lookup", Tenant: "a", Arrived: 100, Retries: 10, OnTime: 100, Rejected: 1, EstimateMS: 10000,
			P50MS: 50, P99MS: 99,
		},
	}, classes); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]EngineStats{
		{EngineID: "e1", Sent: 100, Served: 100, ConnectionFailed: 1, P50MS: 50, P99MS: 50},
	}, engines); diff != "" {
		t.Error(diff)
	}
	if classes, engines = m.Collect(); len(classes)+len(engines) != 0 {
		t.Error("the second Collect returned counts:", classes, engines)
	}
	for i := range 10000 {
		m.RequestArrived("lookup", fmt.Sprint(i), false, 1)
		m.AttemptStarted(uint64(i + 1))
	}
	classes, engines = m.Collect()
	arrived := 0
	for _, r := range classes {
		arrived += r.Arrived
	}
	tooMany := len(classes) > maxClasses+1 || len(engines) > maxEngines+1
	if arrived != 10000 || tooMany || m.histogramBytes > maxHistogramBytes+1<<20 {
		t.Errorf("%d classes, %d arrivals, %d engines, %d histogram bytes; want 10000 arrivals and at most %d, %d, %d",
			len(classes), arrived, len(engines), m.histogramBytes, maxClasses+1, maxEngines+1, maxHistogramBytes+1<<20)
	}
}

// Counting a request must not allocate memory once its class and engine have an entry.
func TestMeterAllocatesNothing(t *testing.T) {
	m := NewMeter(func(uint64) string { return "e" })
	countRequest := func() {
		m.RequestArrived("lookup", "a", false, 100)
		m.AttemptStarted(1)
		m.AttemptEnded(1, AttemptServed, 50)
		m.RequestEnded("lookup", "a", RequestOnTime, 60)
	}
	countRequest()
	if n := testing.AllocsPerRun(100, countRequest); n != 0 {
		t.Errorf("got %v allocations per request, want 0", n)
	}
}

// A line of level Info or above becomes an event with the attributes of the line and of its logger. A debug line does
// not. The wrapped handler receives the line, too.
func TestLogHandlerRecordsInfoLines(t *testing.T) {
	var got []*Event
	var out strings.Builder
	clock := func() float64 { return 7 }
	log := slog.New(NewLogHandler(slog.NewTextHandler(&out, nil), clock, func(e *Event) { got = append(got, e) }))
	log.With("name", "n0").Warn("event loop stalled", "ms", 500)
	log.Debug("not this")
	want := []*Event{{AtMS: 7, Name: "event loop stalled", Fields: map[string]string{"name": "n0", "ms": "500"}}}
	if diff := cmp.Diff(want, got); diff != "" || !strings.Contains(out.String(), "ms=500") {
		t.Error(diff, out.String())
	}
}

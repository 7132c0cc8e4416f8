package record

import (
	"cmp"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms record latencies between these bounds, in milliseconds, with two significant digits.
	minLatencyMS, maxLatencyMS, latencyDigits = 1, 120_000, 2
	// maxClasses bounds the entries for combinations of class and tenant, maxEngines those for engines. Beyond the
	// limit, all further combinations share one entry with an empty class and tenant, and all further engines one with
	// the id 0.
	maxClasses, maxEngines = 256, 1024
	// maxHistogramBytes bounds the memory of all histograms. Entries made after it is reached have no percentiles.
	maxHistogramBytes = 3 << 20
)

// RequestOutcome says how a request ended.
type RequestOutcome uint8

// Outcomes of requests.
const (
	RequestOnTime RequestOutcome = iota // served within the latency objective of its class
	RequestLate                         // served after the latency objective
	RequestRejected
	RequestFailed
	RequestCancelled // cancelled by the client
)

// AttemptOutcome says how an attempt ended.
type AttemptOutcome uint8

// Outcomes of attempts.
const (
	AttemptServed AttemptOutcome = iota
	AttemptRejected
	AttemptErrored          // the engine answered with an error
	AttemptConnectionFailed // could not connect, or lost the connection
	AttemptTimedOut
	AttemptOther // not sent, or cancelled
)

type classKey struct{ class, tenant string }

type classMeter struct {
	ClassStats
	latencies *hdrhistogram.Histogram // nil beyond maxHistogramBytes
	used      bool                    // counted since the last Collect
}

type engineMeter struct {
	EngineStats
	latencies *hdrhistogram.Histogram // nil beyond maxHistogramBytes
	used      bool                    // counted since the last Collect
}

// Meter counts the requests and attempts of an interval. It allocates memory only for the first request of a class and
// tenant and the first attempt at an engine. It is not safe for concurrent use.
type Meter struct {
	classes        map[classKey]*classMeter
	engines        map[uint64]*engineMeter
	histogramBytes int
	formatEngineID func(uint64) string
}

// NewMeter returns an empty meter. formatEngineID converts an engine's id to the form that records contain.
func NewMeter(formatEngineID func(uint64) string) *Meter {
	return &Meter{
		classes: map[classKey]*classMeter{}, engines: map[uint64]*engineMeter{}, formatEngineID: formatEngineID,
	}
}

func (m *Meter) newHistogram() *hdrhistogram.Histogram {
	if m.histogramBytes >= maxHistogramBytes {
		return nil
	}
	histogram := hdrhistogram.New(minLatencyMS, maxLatencyMS, latencyDigits)
	m.histogramBytes += histogram.ByteSize()
	return histogram
}

func (m *Meter) classEntry(class, tenant string) *classMeter {
	key := classKey{class, tenant}
	entry := m.classes[key]
	if entry == nil {
		if len(m.classes) >= maxClasses {
			key = classKey{}
			if entry = m.classes[key]; entry != nil {
				return entry
			}
		}
		entry = &classMeter{ClassStats: ClassStats{Class: key.class, Tenant: key.tenant}, latencies: m.newHistogram()}
		m.classes[key] = entry
	}
	entry.used = true
	return entry
}

func (m *Meter) engineEntry(id uint64) *engineMeter {
	entry := m.engines[id]
	if entry == nil {
		if len(m.engines) >= maxEngines {
			id = 0
			if entry = m.engines[id]; entry != nil {
				return entry
			}
		}
		entry = &engineMeter{EngineStats: EngineStats{EngineID: m.formatEngineID(id)}, latencies: m.newHistogram()}
		m.engines[id] = entry
	}
	entry.used = true
	return entry
}

// RequestArrived counts the arrival of a request. retry says that the client sent it before; estimateMS is its
// estimated service time.
func (m *Meter) RequestArrived(class, tenant string, retry bool, estimateMS float64) {
	entry := m.classEntry(class, tenant)
	entry.Arrived++
	if retry {
		entry.Retries++
	}
	entry.EstimateMS += estimateMS
}

// RequestEnded counts the end of a request. tookMS is the time since its arrival; it is recorded as a latency only for
// served requests.
func (m *Meter) RequestEnded(class, tenant string, outcome RequestOutcome, tookMS float64) {
	entry := m.classEntry(class, tenant)
	switch outcome {
	case RequestOnTime:
		entry.OnTime++
		recordLatency(entry.latencies, tookMS)
	case RequestLate:
		entry.Late++
		recordLatency(entry.latencies, tookMS)
	case RequestRejected:
		entry.Rejected++
	case RequestFailed:
		entry.Failed++
	case RequestCancelled:
		entry.Cancelled++
	}
}

// AttemptStarted counts an attempt that was sent to an engine.
func (m *Meter) AttemptStarted(engine uint64) { m.engineEntry(engine).Sent++ }

// AttemptEnded counts the end of an attempt. tookMS is the time since its start; it is recorded as a latency only for
// served attempts.
func (m *Meter) AttemptEnded(engine uint64, outcome AttemptOutcome, tookMS float64) {
	entry := m.engineEntry(engine)
	switch outcome {
	case AttemptServed:
		entry.Served++
		recordLatency(entry.latencies, tookMS)
	case AttemptRejected:
		entry.Rejected++
	case AttemptErrored:
		entry.Errored++
	case AttemptConnectionFailed:
		entry.ConnectionFailed++
	case AttemptTimedOut:
		entry.TimedOut++
	case AttemptOther:
		// Not counted, because the engine did not cause it.
	}
}

func recordLatency(latencies *hdrhistogram.Histogram, tookMS float64) {
	if latencies != nil {
		_ = latencies.RecordValue(int64(min(max(tookMS, minLatencyMS), maxLatencyMS)))
	}
}

// SetInFlight sets the number of attempts that an engine has in flight and the number of its threads that they use. An
// engine without any in flight, and without an attempt in the interval, is left out of the next Collect.
func (m *Meter) SetInFlight(engine uint64, attempts int, busyThreads float64) {
	if attempts <= 0 && m.engines[engine] == nil {
		return
	}
	entry := m.engineEntry(engine)
	entry.InFlight, entry.BusyThreads = attempts, busyThreads
	entry.used = entry.used && (attempts > 0 || entry.hasAttempts())
}

// hasAttempts reports whether an attempt started or ended in the interval.
func (s *EngineStats) hasAttempts() bool {
	return s.Sent+s.Served+s.Rejected+s.Errored+s.ConnectionFailed+s.TimedOut > 0
}

// RemoveEngine deletes the entry of an engine that is no longer listed. It does nothing while the entry has counts that
// Collect has not returned yet.
func (m *Meter) RemoveEngine(engine uint64) {
	entry := m.engines[engine]
	if entry == nil || entry.used {
		return
	}
	if entry.latencies != nil {
		m.histogramBytes -= entry.latencies.ByteSize()
	}
	delete(m.engines, engine)
}

// Collect returns the counts since the last call and resets them. Classes are sorted by name and tenant, engines by id.
func (m *Meter) Collect() ([]ClassStats, []EngineStats) {
	return m.collectClasses(), m.collectEngines()
}

func (m *Meter) collectClasses() (classes []ClassStats) {
	for _, entry := range m.classes {
		if !entry.used {
			continue
		}
		entry.P50MS, entry.P99MS = takePercentiles(entry.latencies)
		classes = append(classes, entry.ClassStats)
		entry.ClassStats = ClassStats{Class: entry.Class, Tenant: entry.Tenant}
		entry.used = false
	}
	slices.SortFunc(classes, func(a, b ClassStats) int {
		return cmp.Or(strings.Compare(a.Class, b.Class), strings.Compare(a.Tenant, b.Tenant))
	})
	return classes
}

func (m *Meter) collectEngines() (engines []EngineStats) {
	for _, entry := range m.engines {
		if !entry.used {
			continue
		}
		entry.P50MS, entry.P99MS = takePercentiles(entry.latencies)
		engines = append(engines, entry.EngineStats)
		entry.EngineStats = EngineStats{EngineID: entry.EngineID}
		entry.used = false
	}
	slices.SortFunc(engines, func(a, b EngineStats) int { return strings.Compare(a.EngineID, b.EngineID) })
	return engines
}

// takePercentiles returns the median and the 99th percentile in milliseconds and resets the histogram. Both are 0 if
// nothing was recorded.
func takePercentiles(latencies *hdrhistogram.Histogram) (p50MS, p99MS float64) {
	if latencies == nil || latencies.TotalCount() == 0 {
		return 0, 0
	}
	p50MS, p99MS = float64(latencies.ValueAtQuantile(50)), float64(latencies.ValueAtQuantile(99))
	latencies.Reset()
	return p50MS, p99MS
}

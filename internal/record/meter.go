package record

import (
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are kept in steps of 1 in 100 between these, in milliseconds.
	leastMS, mostMS, digits = 1, 120_000, 2
	// maxRows and maxEngines bound the meter: what comes beyond is counted in one row without a name.
	maxRows, maxEngines = 256, 1024
	// maxHistogramBytes bounds what the histograms of all rows hold, in bytes; rows beyond go without quantiles.
	maxHistogramBytes = 3 << 20
)

// AttemptOutcome is how an attempt ended, as far as records tell.
type AttemptOutcome uint8

// Ends of attempts.
const (
	AttemptServed AttemptOutcome = iota
	AttemptRejected
	AttemptErrored
	AttemptConnectionFailed // no connection, or lost it
	AttemptTimedOut         // no answer in time
	AttemptOther            // not sent, or cancelled
)

// RequestOutcome is how a request ended.
type RequestOutcome uint8

// Ends of requests.
const (
	RequestOnTime RequestOutcome = iota
	RequestLate
	RequestRejected
	RequestFailed
	RequestCancelled
)

type classKey struct{ class, tenant string }

type classMeter struct {
	ClassStats
	times *hdrhistogram.Histogram // nil beyond MaxMeter
	used  bool
}

type engineMeter struct {
	EngineStats
	times *hdrhistogram.Histogram
	used  bool
}

// Meter adds up what happens in a second. It allocates only when it meets a class, tenant or engine for the first time.
type Meter struct {
	classes        map[classKey]*classMeter
	engines        map[uint64]*engineMeter
	histogramBytes int // bytes of histograms
	formatEngineID func(uint64) string
}

// NewMeter returns a meter; name words an engine's id.
func NewMeter(name func(uint64) string) *Meter {
	return &Meter{classes: map[classKey]*classMeter{}, engines: map[uint64]*engineMeter{}, formatEngineID: name}
}

func (m *Meter) histogram() *hdrhistogram.Histogram {
	if m.histogramBytes >= maxHistogramBytes {
		return nil
	}
	h := hdrhistogram.New(leastMS, mostMS, digits)
	m.histogramBytes += h.ByteSize()
	return h
}

func (m *Meter) row(class, tenant string) *classMeter {
	key := classKey{class, tenant}
	r := m.classes[key]
	if r == nil {
		if len(m.classes) >= maxRows {
			key = classKey{}
			if r = m.classes[key]; r != nil {
				return r
			}
		}
		r = &classMeter{ClassStats: ClassStats{Class: key.class, Tenant: key.tenant}, times: m.histogram()}
		m.classes[key] = r
	}
	r.used = true
	return r
}

func (m *Meter) engine(id uint64) *engineMeter {
	e := m.engines[id]
	if e == nil {
		if len(m.engines) >= maxEngines {
			id = 0
			if e = m.engines[id]; e != nil {
				return e
			}
		}
		e = &engineMeter{EngineStats: EngineStats{EngineID: m.formatEngineID(id)}, times: m.histogram()}
		m.engines[id] = e
	}
	e.used = true
	return e
}

// RequestArrived counts a request that was taken in.
func (m *Meter) RequestArrived(class, tenant string, again bool, workMS float64) {
	r := m.row(class, tenant)
	r.Arrived++
	if again {
		r.Retries++
	}
	r.EstimateMS += workMS
}

// RequestEnded counts a request's end; tookMS is since its arrival.
func (m *Meter) RequestEnded(class, tenant string, how RequestOutcome, tookMS float64) {
	r := m.row(class, tenant)
	switch how {
	case RequestOnTime:
		r.OnTime++
	case RequestLate:
		r.Late++
	case RequestRejected:
		r.Rejected++
	case RequestFailed:
		r.Failed++
	case RequestCancelled:
		r.Cancelled++
	}
	if r.times != nil && (how == RequestOnTime || how == RequestLate) {
		_ = r.times.RecordValue(clamp(tookMS))
	}
}

// AttemptStarted counts an attempt, and Ended its end.
func (m *Meter) AttemptStarted(engine uint64) { m.engine(engine).Sent++ }

// AttemptEnded: see Sent.
func (m *Meter) AttemptEnded(engine uint64, how AttemptOutcome, tookMS float64) {
	e := m.engine(engine)
	switch how {
	case AttemptServed:
		e.Served++
		if e.times != nil {
			_ = e.times.RecordValue(clamp(tookMS))
		}
	case AttemptRejected:
		e.Rejected++
	case AttemptErrored:
		e.Errored++
	case AttemptConnectionFailed:
		e.ConnectionFailed++
	case AttemptTimedOut:
		e.TimedOut++
	}
}

func clamp(ms float64) int64 { return int64(min(max(ms, leastMS), mostMS)) }

// SetInFlight notes what an engine has now.
func (m *Meter) SetInFlight(engine uint64, running int, threads float64) {
	if running > 0 || m.engines[engine] != nil {
		e := m.engine(engine)
		e.InFlight, e.BusyThreads = running, threads
		e.used = e.used && (running > 0 || e.Sent+e.Served+e.Rejected+e.Errored+e.ConnectionFailed+e.TimedOut > 0)
	}
}

// RemoveEngine drops an engine that is gone, once what it did has been taken.
func (m *Meter) RemoveEngine(engine uint64) {
	if e := m.engines[engine]; e != nil && !e.used {
		if e.times != nil {
			m.histogramBytes -= e.times.ByteSize()
		}
		delete(m.engines, engine)
	}
}

// Collect gives what was counted since it was called last, the rows in the order of their names, and begins anew.
func (m *Meter) Collect() (rows []ClassStats, engines []EngineStats) {
	for _, r := range m.classes {
		if !r.used {
			continue
		}
		if r.times != nil && r.times.TotalCount() > 0 {
			r.P50MS, r.P99MS = float64(r.times.ValueAtQuantile(50)), float64(r.times.ValueAtQuantile(99))
			r.times.Reset()
		}
		rows = append(rows, r.ClassStats)
		r.ClassStats = ClassStats{Class: r.Class, Tenant: r.Tenant}
		r.used = false
	}
	for _, e := range m.engines {
		if !e.used {
			continue
		}
		if e.times != nil && e.times.TotalCount() > 0 {
			e.P50MS, e.P99MS = float64(e.times.ValueAtQuantile(50)), float64(e.times.ValueAtQuantile(99))
			e.times.Reset()
		}
		engines = append(engines, e.EngineStats)
		e.EngineStats = EngineStats{EngineID: e.EngineID}
		e.used = false
	}
	slices.SortFunc(rows, func(a, b ClassStats) int {
		if c := strings.Compare(a.Class, b.Class); c != 0 {
			return c
		}
		return strings.Compare(a.Tenant, b.Tenant)
	})
	slices.SortFunc(engines, func(a, b EngineStats) int { return strings.Compare(a.EngineID, b.EngineID) })
	return rows, engines
}

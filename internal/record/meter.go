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
	// MaxMeter bounds what the histograms of all rows hold, in bytes; rows beyond go without quantiles.
	MaxMeter = 3 << 20
)

// End is how an attempt ended, as far as records tell.
type End uint8

// Ends of attempts.
const (
	EndServed End = iota
	EndRejected
	EndErrored
	EndBroken // no connection, or lost it
	EndSilent // no answer in time
	EndOther  // not sent, or cancelled
)

// Answered is how a request ended.
type Answered uint8

// Ends of requests.
const (
	InObjective Answered = iota
	LateServed
	Rejected
	Failed
	ClientGone
)

type rowKey struct{ class, tenant string }

type row struct {
	Row
	times *hdrhistogram.Histogram // nil beyond MaxMeter
	used  bool
}

type engineRow struct {
	EngineRow
	times *hdrhistogram.Histogram
	used  bool
}

// Meter adds up what happens in a second. It allocates only when it meets a class, tenant or engine for the first time.
type Meter struct {
	rows    map[rowKey]*row
	engines map[uint64]*engineRow
	held    int // bytes of histograms
	name    func(uint64) string
}

// NewMeter returns a meter; name words an engine's id.
func NewMeter(name func(uint64) string) *Meter {
	return &Meter{rows: map[rowKey]*row{}, engines: map[uint64]*engineRow{}, name: name}
}

func (m *Meter) histogram() *hdrhistogram.Histogram {
	if m.held >= MaxMeter {
		return nil
	}
	h := hdrhistogram.New(leastMS, mostMS, digits)
	m.held += h.ByteSize()
	return h
}

func (m *Meter) row(class, tenant string) *row {
	key := rowKey{class, tenant}
	r := m.rows[key]
	if r == nil {
		if len(m.rows) >= maxRows {
			key = rowKey{}
			if r = m.rows[key]; r != nil {
				return r
			}
		}
		r = &row{Row: Row{Class: key.class, Tenant: key.tenant}, times: m.histogram()}
		m.rows[key] = r
	}
	r.used = true
	return r
}

func (m *Meter) engine(id uint64) *engineRow {
	e := m.engines[id]
	if e == nil {
		if len(m.engines) >= maxEngines {
			id = 0
			if e = m.engines[id]; e != nil {
				return e
			}
		}
		e = &engineRow{EngineRow: EngineRow{ID: m.name(id)}, times: m.histogram()}
		m.engines[id] = e
	}
	e.used = true
	return e
}

// Arrived counts a request that was taken in.
func (m *Meter) Arrived(class, tenant string, again bool, workMS float64) {
	r := m.row(class, tenant)
	r.Arrived++
	if again {
		r.Again++
	}
	r.WorkMS += workMS
}

// Answer counts a request's end; tookMS is since its arrival.
func (m *Meter) Answer(class, tenant string, how Answered, tookMS float64) {
	r := m.row(class, tenant)
	switch how {
	case InObjective:
		r.InAim++
	case LateServed:
		r.Late++
	case Rejected:
		r.Refused++
	case Failed:
		r.Failed++
	case ClientGone:
		r.Left++
	}
	if r.times != nil && (how == InObjective || how == LateServed) {
		_ = r.times.RecordValue(clamp(tookMS))
	}
}

// Sent counts an attempt, and Ended its end.
func (m *Meter) Sent(engine uint64) { m.engine(engine).Sent++ }

// Ended: see Sent.
func (m *Meter) Ended(engine uint64, how End, tookMS float64) {
	e := m.engine(engine)
	switch how {
	case EndServed:
		e.Served++
		if e.times != nil {
			_ = e.times.RecordValue(clamp(tookMS))
		}
	case EndRejected:
		e.Full++
	case EndErrored:
		e.Errored++
	case EndBroken:
		e.Broken++
	case EndSilent:
		e.Silent++
	}
}

func clamp(ms float64) int64 { return int64(min(max(ms, leastMS), mostMS)) }

// Running notes what an engine has now.
func (m *Meter) Running(engine uint64, running int, threads float64) {
	if running > 0 || m.engines[engine] != nil {
		e := m.engine(engine)
		e.Running, e.Threads = running, threads
		e.used = e.used && (running > 0 || e.Sent+e.Served+e.Full+e.Errored+e.Broken+e.Silent > 0)
	}
}

// Forget drops an engine that is gone, once what it did has been taken.
func (m *Meter) Forget(engine uint64) {
	if e := m.engines[engine]; e != nil && !e.used {
		if e.times != nil {
			m.held -= e.times.ByteSize()
		}
		delete(m.engines, engine)
	}
}

// Take gives what was counted since it was called last, the rows in the order of their names, and begins anew.
func (m *Meter) Take() (rows []Row, engines []EngineRow) {
	for _, r := range m.rows {
		if !r.used {
			continue
		}
		if r.times != nil && r.times.TotalCount() > 0 {
			r.P50, r.P99 = float64(r.times.ValueAtQuantile(50)), float64(r.times.ValueAtQuantile(99))
			r.times.Reset()
		}
		rows = append(rows, r.Row)
		r.Row = Row{Class: r.Class, Tenant: r.Tenant}
		r.used = false
	}
	for _, e := range m.engines {
		if !e.used {
			continue
		}
		if e.times != nil && e.times.TotalCount() > 0 {
			e.P50, e.P99 = float64(e.times.ValueAtQuantile(50)), float64(e.times.ValueAtQuantile(99))
			e.times.Reset()
		}
		engines = append(engines, e.EngineRow)
		e.EngineRow = EngineRow{ID: e.ID}
		e.used = false
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if c := strings.Compare(a.Class, b.Class); c != 0 {
			return c
		}
		return strings.Compare(a.Tenant, b.Tenant)
	})
	slices.SortFunc(engines, func(a, b EngineRow) int { return strings.Compare(a.ID, b.ID) })
	return rows, engines
}

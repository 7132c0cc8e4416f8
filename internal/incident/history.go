package incident

import (
	"cmp"
	"maps"
	"slices"

	"windflow/internal/record"
)

// engineHistories returns the states of each engine up to endMS, sorted by engine id. clocks has one clock per process.
func engineHistories(processes []*process, clocks []Clock, endMS float64) (histories []EngineHistory) {
	spans := map[string][]Span{}
	for i, process := range processes {
		process.addSpans(spans, clocks[i], endMS)
	}
	for _, id := range slices.Sorted(maps.Keys(spans)) {
		slices.SortStableFunc(spans[id], func(a, b Span) int {
			return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.FromMS, b.FromMS))
		})
		histories = append(histories, EngineHistory{EngineID: id, Spans: spans[id]})
	}
	return histories
}

// addSpans adds the engine states that the process recorded to spans, by engine id. A span ends at the next change of
// the engine, or at the end of the process's records if there is none.
func (p *process) addSpans(spans map[string][]Span, clock Clock, endMS float64) {
	open := map[string]int{} // by engine id, the index of its last span
	processEndMS := min(clock.Correct(p.toMS), endMS)
	for _, change := range p.changes {
		id, atMS := change.EngineID, clock.Correct(change.AtMS)
		if last, ok := open[id]; ok {
			spans[id][last].ToMS = atMS
			delete(open, id)
		}
		if change.State == record.Gone {
			continue
		}
		spans[id] = append(spans[id], Span{
			Router: p.header.Router, FromMS: atMS, ToMS: processEndMS, UncertaintyMS: clock.UncertaintyMS,
			State: change.State, Slowness: change.Slowness, FailureRate: change.FailureRate,
			ConnectionFailures: change.ConnectionFailures,
		})
		open[id] = len(spans[id]) - 1
	}
}

package incident

import (
	"cmp"
	"maps"
	"slices"

	"windflow/internal/record"
)

// engineHistories returns the states of each engine up to endMS, sorted by engine.
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

// addSpans adds what a process recorded of the engines to spans, which has them by engine. A span lasts to the
// engine's next change, or to the process's end.
func (p *process) addSpans(spans map[string][]Span, clock Clock, endMS float64) {
	open := map[string]int{} // the index of each engine's last span
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

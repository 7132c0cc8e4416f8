package node

import (
	"log/slog"
	"reflect"
	"strconv"
	"sync/atomic"

	"windflow/dispatch"
)

var outcomes = map[dispatch.Outcome]string{
	dispatch.Served: "served", dispatch.EngineFailed: "errored", dispatch.EngineFull: "full",
	dispatch.TimedOut: "timed_out", dispatch.ConnectFailed: "connect_failed", dispatch.ConnectionReset: "reset",
	dispatch.Cancelled: "cancelled", dispatch.NotSent: "not_sent",
}

// status lists the counters of all parts, each under the name in its field's "status" tag, and what is open now.
func (r *node) status() [][2]string {
	rows := [][2]string{
		{"core.open", strconv.Itoa(r.core.OpenRequests())},
		{"fetch.connections", strconv.Itoa(r.client.ConnCount())},
	}
	parts := []counted{
		{"core", &r.core.Counters},
		{"mysql", &r.front.Counters},
		{"fetch", &r.client.Counters},
		{"board", &r.board.Counters},
		{"loop", &r.stallCounters},
	}
	for _, p := range r.parts {
		if p.counters != nil {
			parts = append(parts, p.counters()...)
		}
	}
	if r.door != nil {
		parts = append(parts, counted{"control", &r.door.Counters})
	}
	for _, p := range parts {
		v := reflect.ValueOf(p.of).Elem()
		for i := range v.NumField() {
			name := p.name + "." + v.Type().Field(i).Tag.Get("status")
			switch field := v.Field(i).Addr().Interface().(type) {
			case *int64:
				rows = append(rows, [2]string{name, strconv.FormatInt(*field, 10)})
			case *atomic.Int64:
				rows = append(rows, [2]string{name, strconv.FormatInt(field.Load(), 10)})
			case *[8]int64: // by outcome
				for o, n := range field {
					rows = append(rows, [2]string{name + "." + outcomes[dispatch.Outcome(o)], strconv.FormatInt(n, 10)})
				}
			}
		}
	}
	return rows
}

func (r *node) printCounters(why string) {
	var attrs []any
	for _, kv := range r.status() {
		attrs = append(attrs, slog.String(kv[0], kv[1]))
	}
	r.log.Info(why, attrs...)
}

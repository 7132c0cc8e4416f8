package node

import (
	"log/slog"
	"reflect"
	"strconv"
	"sync/atomic"

	"windflow/dispatch"
)

// outcomeNames are the names of outcomes of attempts in the names of counters.
var outcomeNames = map[dispatch.Outcome]string{
	dispatch.Served: "served", dispatch.EngineFailed: "errored", dispatch.EngineFull: "full",
	dispatch.TimedOut: "timed_out", dispatch.ConnectFailed: "connect_failed", dispatch.ConnectionReset: "reset",
	dispatch.Cancelled: "cancelled", dispatch.NotSent: "not_sent",
}

// counterGroup is a named set of counters. counters points to a struct whose fields are of type int64, atomic.Int64 or,
// with one element for each outcome, [8]int64. The "status" tag of each field holds its name.
type counterGroup struct {
	name     string
	counters any
}

// statusReporter lists the counters of all services and parts for SHOW STATUS and the log.
type statusReporter struct {
	log      *slog.Logger
	services *services
	parts    *partSet
	stalls   *stallCounters
	admin    *adminBackend
}

// rows returns all figures as pairs of name and value.
func (s *statusReporter) rows() [][2]string {
	rows := [][2]string{
		{"core.open", strconv.Itoa(s.services.core.OpenRequests())},
		{"fetch.connections", strconv.Itoa(s.services.engines.ConnCount())},
	}
	for _, group := range s.groups() {
		rows = append(rows, group.rows()...)
	}
	return rows
}

// groups returns the counters of all services and parts.
func (s *statusReporter) groups() []counterGroup {
	groups := []counterGroup{
		{"core", &s.services.core.Counters},
		{"mysql", &s.services.front.Counters},
		{"fetch", &s.services.engines.Counters},
		{"board", &s.services.endpoints.Counters},
		{"loop", s.stalls},
	}
	groups = append(groups, s.parts.counters()...)
	return append(groups, s.admin.counters()...)
}

// rows returns the counters of the group as pairs of name and value.
func (g counterGroup) rows() (rows [][2]string) {
	all := reflect.ValueOf(g.counters).Elem()
	for i := range all.NumField() {
		name := g.name + "." + all.Type().Field(i).Tag.Get("status")
		switch field := all.Field(i).Addr().Interface().(type) {
		case *int64:
			rows = append(rows, [2]string{name, strconv.FormatInt(*field, 10)})
		case *atomic.Int64:
			rows = append(rows, [2]string{name, strconv.FormatInt(field.Load(), 10)})
		case *[8]int64: // by outcome
			for outcome, count := range field {
				rows = append(rows, [2]string{
					name + "." + outcomeNames[dispatch.Outcome(outcome)], strconv.FormatInt(count, 10),
				})
			}
		}
	}
	return rows
}

// write logs all figures as attributes of one message.
func (s *statusReporter) write(message string) {
	var attrs []any
	for _, row := range s.rows() {
		attrs = append(attrs, slog.String(row[0], row[1]))
	}
	s.log.Info(message, attrs...)
}

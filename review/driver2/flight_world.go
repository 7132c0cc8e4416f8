package main

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
)

// startFlight starts an engine that speaks Flight SQL, the board and the router with the section flightsql.
func (w *world) startFlight(noteType arrow.DataType, planTime time.Duration) (*flightEngine, error) {
	started, flights, err := newFlightEngine(w.rec, 1, noteType, planTime)
	if err != nil {
		return nil, err
	}
	w.engines = append(w.engines, started)
	if err := w.startBoard(0); err != nil {
		return nil, err
	}
	port, err := freePort()
	if err != nil {
		return nil, err
	}
	return flights, w.startWithFlight(fmt.Sprintf("127.0.0.1:%d", port), []string{"std-8"})
}

// startWithFlight starts the router with the section flightsql of deploy/windflow.json: its listen address, and the
// kinds of engine that speak Flight SQL.
func (w *world) startWithFlight(listen string, kinds []string) error {
	file := filepath.Join(w.dir, "windflow.json")
	section := object{"listen": listen, "engine_kinds": kinds, "max_connections": idleFlightClients}
	if err := w.writeJSON(file, object{"flightsql": section}); err != nil {
		return err
	}
	return w.startRouter("--settings " + file)
}

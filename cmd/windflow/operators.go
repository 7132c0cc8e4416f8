package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"windflow/brain"
	"windflow/internal/board"
	"windflow/internal/control"
)

// openDoor has operators heard where the configuration says, if it does.
func (r *node) openDoor(old *predecessor) error {
	if r.cfg.Control == "" {
		return nil
	}
	lis, err := r.listener(old, listenDoor, "control", r.cfg.Control)
	if err != nil {
		return err
	}
	r.door = control.Open(r.loop, r.net, lis, r, r.log)
	r.log.Info("operators' door", "control", r.door.Addr())
	return nil
}

// Ready implements control.Operators.
func (r *node) Ready() error {
	switch {
	case r.draining:
		return errors.New("draining")
	case r.successor:
		return errors.New("a successor accepts")
	case !r.ready:
		return errors.New("starting")
	}
	return nil
}

// Telemetry implements control.Operators. The figures are the core's.
func (r *node) Telemetry() string {
	var b strings.Builder
	for _, class := range slices.Sorted(maps.Keys(r.core.ByClass)) {
		n := r.core.ByClass[class]
		for _, f := range []struct {
			name string
			n    int64
		}{{"succeeded", n.Served}, {"declined", n.Refused}, {"aborted", n.Failed}, {"forwards", n.Forwards}} {
			fmt.Fprintf(&b, "svc.%s.%s:%d|c\n", f.name, class, f.n)
		}
	}
	for _, f := range []struct {
		name string
		n    int
	}{{"outstanding", r.core.Open()}, {"discovered", r.core.Listed()}, {"ejected", r.core.Avoided()}} {
		fmt.Fprintf(&b, "svc.%s:%d|g\n", f.name, f.n)
	}
	return b.String()
}

// Exclude implements control.Operators.
func (r *node) Exclude(id string, answer func(bool)) { r.order(id, true, answer) }

// Include implements control.Operators.
func (r *node) Include(id string, answer func(bool)) { r.order(id, false, answer) }

func (r *node) order(id string, exclude bool, answer func(bool)) {
	n, err := board.ParseID(id)
	if err != nil {
		answer(false)
		return
	}
	r.tellBan(n, exclude, r.ban(n, exclude), answer)
}

// ban carries out an operator's word in this process.
func (r *node) ban(id brain.EngineID, exclude bool) bool {
	if exclude {
		return r.core.Exclude(id)
	}
	return r.core.Include(id)
}

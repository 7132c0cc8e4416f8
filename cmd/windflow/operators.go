package main

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"

	"windflow/brain"
	"windflow/internal/board"
	"windflow/internal/control"
)

// openDoor has operators heard where the configuration says, if it does.
func (r *node) openDoor() error {
	if r.cfg.Control == "" {
		return nil
	}
	var lis net.Listener
	err := retry(func() (err error) {
		lis, err = net.Listen("tcp", r.cfg.Control)
		return err
	})
	if err != nil {
		return fmt.Errorf("field control: %w", err)
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
func (r *node) Exclude(id string) bool { return order(id, r.core.Exclude) }

// Include implements control.Operators.
func (r *node) Include(id string) bool { return order(id, r.core.Include) }

func order(id string, f func(brain.EngineID) bool) bool {
	n, err := board.ParseID(id)
	return err == nil && f(n)
}

package node

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"

	"windflow/internal/admin"
	"windflow/internal/decide/hotrestart"
)

// openDoor has operators heard on a listener, for the first time or again.
func (r *node) openDoor(lis net.Listener) {
	if r.door != nil {
		r.door.Reopen(lis)
		return
	}
	r.door = admin.NewServer(r.loop, r.net, lis, r, r.log)
	r.log.Info("operators' door", "control", r.door.Addr())
}

// Ready implements control.Operators.
func (r *node) Ready() error {
	switch {
	case r.machine.Phase() == hotrestart.PhaseSuperseded || r.leaving:
		return errors.New("another process of this router accepts")
	case !r.machine.Ready():
		return errors.New(r.machine.Phase().String())
	case len(r.missing) > 0:
		return errors.New("its address is held by a process that does not answer")
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
		}{{"succeeded", n.Served}, {"declined", n.Rejected}, {"aborted", n.Failed}, {"forwards", n.Forwards}} {
			fmt.Fprintf(&b, "svc.%s.%s:%d|c\n", f.name, class, f.n)
		}
	}
	for _, f := range []struct {
		name string
		n    int
	}{{"outstanding", r.core.OpenRequests()}, {"discovered", r.core.ListedEngines()}, {"ejected", r.core.AvoidedEngines()}} {
		fmt.Fprintf(&b, "svc.%s:%d|g\n", f.name, f.n)
	}
	if r.keepers != nil {
		fmt.Fprintf(&b, "svc.configuration_revision:%d|g\nsvc.configuration_refused:%d|g\n", r.keepers.now.Revision,
			r.keepers.client.Counters.RejectedRevision.Load())
	}
	return b.String()
}

// Cordon implements control.Operators.
func (r *node) Cordon(id string, answer func(bool)) { r.order(id, true, answer) }

// Uncordon implements control.Operators.
func (r *node) Uncordon(id string, answer func(bool)) { r.order(id, false, answer) }

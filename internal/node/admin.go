package node

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strings"

	"windflow/internal/admin"
	"windflow/internal/decide/hotrestart"
	"windflow/internal/router"
)

// Reasons for which a router reports that it is not ready, in addition to its hot restart phase.
var (
	errOtherAccepts = errors.New("another process of this router accepts")
	errAddressInUse = errors.New("its address is held by a process that does not answer")
)

// adminBackend implements admin.Backend: readiness, metrics and cordons for the admin API.
type adminBackend struct {
	log       *slog.Logger
	loop      *router.Loop
	services  *services
	machine   *hotrestart.Machine
	listeners *listeners
	leaving   func() bool
	cordons   *cordonStore
	keepers   func() *keeperSync // returns nil if the router follows no keepers
	server    *admin.Server      // nil until open is called
}

// open starts the admin server on a listener, or resumes it there after its acceptor was paused.
func (a *adminBackend) open(lis net.Listener) {
	if a.server != nil {
		a.server.Reopen(lis)
		return
	}
	a.server = admin.NewServer(a.loop, a.services.net, lis, a, a.log)
	a.log.Info("admin API listening", "listen", a.server.Addr())
}

// acceptor returns the acceptor of the admin API at an address.
func (a *adminBackend) acceptor(address string) acceptor {
	return acceptor{
		name: adminListener, field: "control", address: address, accept: a.open,
		file:  func() (*os.File, error) { return a.server.File() },
		pause: func() { a.server.Close() },
	}
}

// counters returns the counters of the admin server, or nil if it has not been opened.
func (a *adminBackend) counters() []counterGroup {
	if a.server == nil {
		return nil
	}
	return []counterGroup{{"control", &a.server.Counters}}
}

// Ready implements admin.Backend. It returns nil once the router accepts clients at all its addresses, or else the
// reason why it does not.
func (a *adminBackend) Ready() error {
	phase := a.machine.Phase()
	switch {
	case phase == hotrestart.PhaseSuperseded || a.leaving():
		return errOtherAccepts
	case !a.machine.Ready():
		return errors.New(phase.String())
	case a.listeners.incomplete():
		return errAddressInUse
	}
	return nil
}

// Telemetry implements admin.Backend. It returns the metrics of the core and of the keepers in the StatsD format.
func (a *adminBackend) Telemetry() string {
	core := a.services.core
	var text strings.Builder
	for _, class := range slices.Sorted(maps.Keys(core.ByClass)) {
		counters := core.ByClass[class]
		for _, figure := range []struct {
			name  string
			value int64
		}{
			{"succeeded", counters.Served},
			{"declined", counters.Rejected},
			{"aborted", counters.Failed},
			{"forwards", counters.Forwards},
		} {
			fmt.Fprintf(&text, "svc.%s.%s:%d|c\n", figure.name, class, figure.value)
		}
	}
	fmt.Fprintf(&text, "svc.outstanding:%d|g\n", core.OpenRequests())
	fmt.Fprintf(&text, "svc.discovered:%d|g\n", core.ListedEngines())
	fmt.Fprintf(&text, "svc.ejected:%d|g\n", core.AvoidedEngines())
	if keepers := a.keepers(); keepers != nil {
		fmt.Fprintf(&text, "svc.configuration_revision:%d|g\n", keepers.revision())
		fmt.Fprintf(&text, "svc.configuration_refused:%d|g\n", keepers.rejectedRevision())
	}
	return text.String()
}

// Cordon implements admin.Backend. It keeps requests away from an engine.
func (a *adminBackend) Cordon(id string, answer func(known bool)) {
	a.cordons.setCordon(id, true, answer)
}

// Uncordon implements admin.Backend. It ends the cordon of an engine.
func (a *adminBackend) Uncordon(id string, answer func(known bool)) {
	a.cordons.setCordon(id, false, answer)
}

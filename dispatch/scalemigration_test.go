package dispatch

import (
	"testing"
	"time"
)

// loadMigration records how loads move off the engines of a rack that is lost or drained: when the last load starts on
// the rack, and when each router that used the rack for loads first starts a load on another engine.
type loadMigration struct {
	simulation       *fleetSimulation
	beganAt          time.Duration // time at which the rack is lost or begins to drain; 0 before that
	rackEngines      map[*fleetEngine]bool
	routersWithLoads map[*fleetRouter]bool // routers that started loads on the rack before beganAt
	firstElsewhere   map[*fleetRouter]time.Duration
	lastOnRack       time.Duration
}

// recordStart records the start of an attempt on an engine. Attempts of other classes than loads are ignored.
func (m *loadMigration) recordStart(router *fleetRouter, target *fleetEngine, isLoad bool) {
	if !isLoad {
		return
	}
	if m.rackEngines == nil {
		m.findRack()
	}
	switch {
	case m.beganAt == 0 && m.rackEngines[target]:
		m.routersWithLoads[router] = true
	case m.beganAt == 0:
	case m.rackEngines[target]:
		m.lastOnRack = m.simulation.now
	default:
		if _, ok := m.firstElsewhere[router]; !ok {
			m.firstElsewhere[router] = m.simulation.now
		}
	}
}

// findRack initializes the maps and determines the engines of the rack.
func (m *loadMigration) findRack() {
	m.rackEngines = map[*fleetEngine]bool{}
	m.routersWithLoads = map[*fleetRouter]bool{}
	m.firstElsewhere = map[*fleetRouter]time.Duration{}
	engines, _ := fleetFaults{m.simulation}.rack()
	for _, e := range engines {
		m.rackEngines[e] = true
	}
}

func (m *loadMigration) begin() { m.beganAt = m.simulation.now }

// check checks that within the given time in seconds the last load started on the rack, and each router that used the
// rack and is still up started a load elsewhere. It adds the figures under their names in docs/capacity/scale.json.
func (m *loadMigration) check(t *testing.T, within float64, figures map[string]float64) {
	t.Helper()
	firstOffRack, lastOffRack, routers := 0.0, 0.0, 0
	for router := range m.routersWithLoads {
		if router.down {
			continue
		}
		routers++
		at, ok := m.firstElsewhere[router]
		if !ok {
			t.Errorf("router %d started no load on an engine outside the rack", router.config.RouterIndex)
			continue
		}
		after := (at - m.beganAt).Seconds()
		lastOffRack = max(lastOffRack, after)
		if firstOffRack == 0 || after < firstOffRack {
			firstOffRack = after
		}
	}
	lastOnRack := max(0, (m.lastOnRack - m.beganAt).Seconds())
	if routers == 0 || lastOnRack > within || lastOffRack > within {
		t.Errorf("last load on the rack after %.2f s, all %d routers load elsewhere after %.2f s, want at most %.2f s",
			lastOnRack, routers, lastOffRack, within)
	}
	t.Logf("last load on the rack after %.2f s; first load elsewhere after %.2f s, last of %d routers after %.2f s",
		lastOnRack, firstOffRack, routers, lastOffRack)
	figures["last load at the old, s"] = lastOnRack
	figures["first load at the new, s"] = firstOffRack
	figures["first load at the new at the last gateway, s"] = lastOffRack
	figures["gateways that had sent them loads"] = float64(routers)
}

package dispatch

import (
	"testing"
	"time"
)

// loadMigration records how loads leave the engines of a rack: the last one that starts there, and when each router
// that had started loads there, and is still up, starts its first one on another engine.
type loadMigration struct {
	simulation       *fleetSimulation
	beganAt          time.Duration // 0 before the rack is lost
	rackEngines      map[*fleetEngine]bool
	routersWithLoads map[*fleetRouter]bool // routers that started loads on the rack before
	firstElsewhere   map[*fleetRouter]time.Duration
	lastOnRack       time.Duration
}

// recordStart records an attempt, if it is of a load.
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

// findRack finds the engines of the rack, which follow from the scenario.
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

// check checks that the last load on the rack, and the first one off it of the last router, started within a time in
// seconds, and adds the figures under the names of docs/capacity/scale.json.
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
			t.Errorf("router %d started no load off the rack", router.config.RouterIndex)
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
		t.Errorf("last load on the rack after %.2f s, first off it of the last of %d after %.2f s, want %.2f",
			lastOnRack, routers, lastOffRack, within)
	}
	t.Logf("loads: last on the rack after %.2f s; first off it after %.2f s, of the last of %d after %.2f s",
		lastOnRack, firstOffRack, routers, lastOffRack)
	figures["last load at the old, s"] = lastOnRack
	figures["first load at the new, s"] = firstOffRack
	figures["first load at the new at the last gateway, s"] = lastOffRack
	figures["gateways that had sent them loads"] = float64(routers)
}

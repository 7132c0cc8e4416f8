package dispatch

import (
	"testing"
	"time"
)

// loadMigration sees how loads leave the engines of a rack: the last that is sent there, and when each gateway that had sent it loads, and
// is still up, sends its first to another.
type loadMigration struct {
	simulation     *fleetSimulation
	beganAt        time.Duration
	oldEngines     map[*fleetEngine]bool
	users          map[*fleetRouter]bool // before it
	firstElsewhere map[*fleetRouter]time.Duration
	lastAtOld      time.Duration
}

func (m *loadMigration) recordStart(r *fleetRouter, e *fleetEngine, load bool) {
	if !load {
		return
	}
	if m.oldEngines == nil { // the rack's engines are known from the day alone
		m.oldEngines, m.users, m.firstElsewhere = map[*fleetEngine]bool{}, map[*fleetRouter]bool{}, map[*fleetRouter]time.Duration{}
		engines, _ := m.simulation.rack()
		for _, e := range engines {
			m.oldEngines[e] = true
		}
	}
	switch {
	case m.beganAt == 0 && m.oldEngines[e]:
		m.users[r] = true
	case m.beganAt == 0:
	case m.oldEngines[e]:
		m.lastAtOld = m.simulation.now
	default:
		if _, ok := m.firstElsewhere[r]; !ok {
			m.firstElsewhere[r] = m.simulation.now
		}
	}
}

func (m *loadMigration) begin() { m.beganAt = m.simulation.now }

// check wants the last load at the old engines, and the first elsewhere of the last gateway, within a time.
func (m *loadMigration) check(t *testing.T, within float64, figures map[string]float64) {
	first, last, users := 0.0, 0.0, 0
	for r := range m.users {
		if r.down {
			continue
		}
		users++
		at, ok := m.firstElsewhere[r]
		if !ok {
			t.Errorf("gateway %d sent no load elsewhere", r.config.RouterIndex)
			continue
		}
		s := (at - m.beganAt).Seconds()
		if last = max(last, s); first == 0 || s < first {
			first = s
		}
	}
	old := max(0, (m.lastAtOld - m.beganAt).Seconds())
	if users == 0 || old > within || last > within {
		t.Errorf("the last load to the old engines after %.2f s, the first elsewhere of the last of %d gateways after %.2f s, want %.2f", old, users, last, within)
	}
	t.Logf("loads: last to the old engines after %.2f s; first elsewhere after %.2f s, at the last of %d gateways after %.2f s", old, first, users, last)
	figures["last load at the old, s"], figures["first load at the new, s"] = old, first
	figures["first load at the new at the last gateway, s"], figures["gateways that had sent them loads"] = last, float64(users)
}

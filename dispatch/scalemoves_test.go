package dispatch

import (
	"testing"
	"time"
)

// moved sees how loads leave the engines of a rack: the last that is sent there, and when each gateway that had sent it loads, and
// is still up, sends its first to another.
type moved struct {
	f       *fleet
	from    time.Duration
	old     map[*fleetEngine]bool
	used    map[*fleetRouter]bool // before it
	first   map[*fleetRouter]time.Duration
	lastOld time.Duration
}

func (m *moved) sent(r *fleetRouter, e *fleetEngine, load bool) {
	if !load {
		return
	}
	if m.old == nil { // the rack's engines are known from the day alone
		m.old, m.used, m.first = map[*fleetEngine]bool{}, map[*fleetRouter]bool{}, map[*fleetRouter]time.Duration{}
		engines, _ := m.f.rack()
		for _, e := range engines {
			m.old[e] = true
		}
	}
	switch {
	case m.from == 0 && m.old[e]:
		m.used[r] = true
	case m.from == 0:
	case m.old[e]:
		m.lastOld = m.f.now
	default:
		if _, ok := m.first[r]; !ok {
			m.first[r] = m.f.now
		}
	}
}

func (m *moved) begin() { m.from = m.f.now }

// end wants the last load at the old engines, and the first elsewhere of the last gateway, within a time.
func (m *moved) end(t *testing.T, within float64, figures map[string]float64) {
	first, last, users := 0.0, 0.0, 0
	for r := range m.used {
		if r.down {
			continue
		}
		users++
		at, ok := m.first[r]
		if !ok {
			t.Errorf("gateway %d sent no load elsewhere", r.cfg.RouterIndex)
			continue
		}
		s := (at - m.from).Seconds()
		if last = max(last, s); first == 0 || s < first {
			first = s
		}
	}
	old := max(0, (m.lastOld - m.from).Seconds())
	if users == 0 || old > within || last > within {
		t.Errorf("the last load to the old engines after %.2f s, the first elsewhere of the last of %d gateways after %.2f s, want %.2f", old, users, last, within)
	}
	t.Logf("loads: last to the old engines after %.2f s; first elsewhere after %.2f s, at the last of %d gateways after %.2f s", old, first, users, last)
	figures["last load at the old, s"], figures["first load at the new, s"] = old, first
	figures["first load at the new at the last gateway, s"], figures["gateways that had sent them loads"] = last, float64(users)
}

package node

import (
	"testing"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/settings"
)

// What the parts may hold stays within the descriptors, however few there are, and for two processes of one router
// together. It guards against a small limit that was once taken for none, and against a hot restart that doubles all.
func TestLimitsFitDescriptors(t *testing.T) {
	for _, sockets := range []int{96, 128, 192, 256, 384, 1024} {
		cfg := &settings.Node{}
		cfg.Limits.Sockets, cfg.Limits.MemoryMB = sockets, 64
		one, err := limitsFromConfig(cfg, 0)
		if err != nil {
			t.Errorf("%d descriptors: %v", sockets, err)
			continue
		}
		if n := one.mysql.MaxSessions + one.engines.MaxConns; n >= sockets || one.mysql.MaxSessions < sockets/3 {
			t.Errorf("%d descriptors: %d sessions and %d connections", sockets, one.mysql.MaxSessions, one.engines.MaxConns)
		}
		// The old process has sessions that use it up to the clients' third, and accepts no more.
		partner := usageMessage{Sessions: sockets / 3}
		a, b := one, one
		a.restrict(processShare{share: hotrestart.ShareHalf})
		b.restrict(processShare{share: hotrestart.ShareHalf, partner: partner})
		if n := sockets/3 + b.mysql.MaxSessions + a.engines.MaxConns + b.engines.MaxConns; n > sockets {
			t.Errorf("%d descriptors: two processes hold %d", sockets, n)
		}
		if a.mysql.MaxBuffered+b.mysql.MaxBuffered > one.mysql.MaxBuffered ||
			a.inboundBytes+b.inboundBytes > one.inboundBytes {
			t.Errorf("%d descriptors: two processes buffer more than one", sockets)
		}
		// One that hangs has all of its own, and the new one keeps to what is left for a successor.
		degraded := one
		degraded.restrict(processShare{share: hotrestart.ShareReserve, partner: partner})
		n := one.mysql.MaxSessions + one.engines.MaxConns + degraded.mysql.MaxSessions + degraded.engines.MaxConns
		if n > sockets {
			t.Errorf("%d descriptors: beside a process that hangs, both hold %d", sockets, n)
		}
		if sockets >= 192 && b.engines.MaxConns < 16 {
			t.Errorf("%d descriptors: %d connections to engines", sockets, b.engines.MaxConns)
		}
	}
	if _, err := limitsFromConfig(&settings.Node{}, 0); err != nil {
		t.Error("without limits:", err)
	}
}

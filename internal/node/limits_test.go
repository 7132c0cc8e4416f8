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
		full, err := limitsFromConfig(cfg, 0)
		if err != nil {
			t.Errorf("%d descriptors: %v", sockets, err)
			continue
		}
		if n := full.mysql.MaxSessions + full.engines.MaxConns; n >= sockets || full.mysql.MaxSessions < sockets/3 {
			t.Errorf("%d descriptors: %d sessions and %d connections", sockets, full.mysql.MaxSessions, full.engines.MaxConns)
		}
		// The old process has sessions that use it up to the clients' third, and accepts no more.
		partner := usageMessage{Sessions: sockets / 3}
		oldLimits, newLimits := full, full
		oldLimits.restrict(processShare{share: hotrestart.ShareHalf})
		newLimits.restrict(processShare{share: hotrestart.ShareHalf, partner: partner})
		if n := sockets/3 + newLimits.mysql.MaxSessions + oldLimits.engines.MaxConns + newLimits.engines.MaxConns; n > sockets {
			t.Errorf("%d descriptors: two processes hold %d", sockets, n)
		}
		if oldLimits.mysql.MaxBuffered+newLimits.mysql.MaxBuffered > full.mysql.MaxBuffered ||
			oldLimits.inboundBytes+newLimits.inboundBytes > full.inboundBytes {
			t.Errorf("%d descriptors: two processes buffer more than one", sockets)
		}
		// One that hangs has all of its own, and the new one keeps to what is left for a successor.
		degraded := full
		degraded.restrict(processShare{share: hotrestart.ShareReserve, partner: partner})
		n := full.mysql.MaxSessions + full.engines.MaxConns + degraded.mysql.MaxSessions + degraded.engines.MaxConns
		if n > sockets {
			t.Errorf("%d descriptors: beside a process that hangs, both hold %d", sockets, n)
		}
		if sockets >= 192 && newLimits.engines.MaxConns < 16 {
			t.Errorf("%d descriptors: %d connections to engines", sockets, newLimits.engines.MaxConns)
		}
	}
	if _, err := limitsFromConfig(&settings.Node{}, 0); err != nil {
		t.Error("without limits:", err)
	}
}

package node

import (
	"testing"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/settings"
)

// The limits on sessions and connections fit into the configured number of descriptors, also for small numbers and for
// two processes of one router together. Guards against a small limit that is treated as no limit, which happened once,
// and against a hot restart that doubles the use of descriptors.
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
			t.Errorf("%d descriptors: limits are %d sessions and %d connections",
				sockets, full.mysql.MaxSessions, full.engines.MaxConns)
		}
		// The old process has as many sessions as the third of the descriptors that clients get, and accepts no more.
		partner := usageMessage{Sessions: sockets / 3}
		oldLimits, newLimits := full, full
		oldLimits.restrict(processShare{share: hotrestart.ShareHalf})
		newLimits.restrict(processShare{share: hotrestart.ShareHalf, partner: partner})
		n := sockets/3 + newLimits.mysql.MaxSessions + oldLimits.engines.MaxConns + newLimits.engines.MaxConns
		if n > sockets {
			t.Errorf("%d descriptors: two processes may hold %d", sockets, n)
		}
		if oldLimits.mysql.MaxBuffered+newLimits.mysql.MaxBuffered > full.mysql.MaxBuffered ||
			oldLimits.inboundBytes+newLimits.inboundBytes > full.inboundBytes {
			t.Errorf("%d descriptors: two processes may buffer more than one", sockets)
		}
		// An old process that hangs keeps its full limits, and the new one is limited to what every process leaves for
		// a successor.
		degraded := full
		degraded.restrict(processShare{share: hotrestart.ShareReserve, partner: partner})
		n = full.mysql.MaxSessions + full.engines.MaxConns + degraded.mysql.MaxSessions + degraded.engines.MaxConns
		if n > sockets {
			t.Errorf("%d descriptors: a process that hangs and its successor may hold %d", sockets, n)
		}
		if sockets >= 192 && newLimits.engines.MaxConns < 16 {
			t.Errorf("%d descriptors: the new process may have %d connections to engines, want at least 16",
				sockets, newLimits.engines.MaxConns)
		}
	}
	if _, err := limitsFromConfig(&settings.Node{}, 0); err != nil {
		t.Error("configuration without limits:", err)
	}
}

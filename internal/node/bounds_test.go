package node

import (
	"testing"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/settings"
)

// What the parts may hold stays within the descriptors, however few there are, and for two processes of one router
// together. It guards against a small limit that was once taken for none, and against an upgrade that doubles all.
func TestBoundsFitTheDescriptors(t *testing.T) {
	for _, sockets := range []int{96, 128, 192, 256, 384, 1024} {
		cfg := &settings.Node{}
		cfg.Limits.Sockets, cfg.Limits.MemoryMB = sockets, 64
		one, err := boundsOf(cfg, 0)
		if err != nil {
			t.Errorf("%d descriptors: %v", sockets, err)
			continue
		}
		if n := one.mysql.MaxSessions + one.fetch.MaxConns; n >= sockets || one.mysql.MaxSessions < sockets/3 {
			t.Errorf("%d descriptors: %d sessions and %d connections", sockets, one.mysql.MaxSessions, one.fetch.MaxConns)
		}
		// The old process has sessions that use it up to the clients' third, and accepts no more.
		old, next := &node{}, &node{}
		next.peer = use{Sessions: sockets / 3}
		a, b := one, one
		old.divide(&a, hotrestart.ShareHalf)
		next.divide(&b, hotrestart.ShareHalf)
		if n := sockets/3 + b.mysql.MaxSessions + a.fetch.MaxConns + b.fetch.MaxConns; n > sockets {
			t.Errorf("%d descriptors: two processes hold %d", sockets, n)
		}
		if a.mysql.MaxBuffered+b.mysql.MaxBuffered > one.mysql.MaxBuffered || a.inbound+b.inbound > one.inbound {
			t.Errorf("%d descriptors: two processes buffer more than one", sockets)
		}
		// One that hangs has all of its own, and the new one keeps to what is left for a successor.
		guarded := one
		next.divide(&guarded, hotrestart.ShareReserve)
		if n := one.mysql.MaxSessions + one.fetch.MaxConns + guarded.mysql.MaxSessions + guarded.fetch.MaxConns; n > sockets {
			t.Errorf("%d descriptors: beside a process that hangs, both hold %d", sockets, n)
		}
		if sockets >= 192 && b.fetch.MaxConns < 16 {
			t.Errorf("%d descriptors: %d connections to engines", sockets, b.fetch.MaxConns)
		}
	}
	if _, err := boundsOf(&settings.Node{}, 0); err != nil {
		t.Error("without limits:", err)
	}
}

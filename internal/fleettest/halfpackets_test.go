package fleettest

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// slowClients logs in clients that then send most of a longest packet, and returns when all of them have.
func slowClients(t *testing.T, addr string, clients, sent int) {
	t.Helper()
	packet := append([]byte{0xff, 0xff, 0, 0, commandQuery}, strings.Repeat("x", sent)...)
	for range clients {
		client, err := Dial(addr)
		if err != nil {
			return // the router has no session left for it, as it may
		}
		t.Cleanup(func() { _ = client.Close() })
		_, _ = client.conn.Write(packet) // fails once the router has ended the session, as it may
	}
}

// Guards against a process that exceeds its memory limit, and against clients that are not served any more: hundreds of
// clients of the MySQL front are connected at once, log in and stop half way through a large packet.
func TestHalfPacketsStayWithinMemory(t *testing.T) {
	const memoryMB, clients, during = 64, 400, 2 * time.Second
	for _, sent := range []int{1, 4 << 10, 60 << 10} {
		t.Run(fmt.Sprint(sent, " bytes"), func(t *testing.T) {
			engine := startCountingEngine(t)
			engines := []Engine{engine.Engine}
			server := NewDiscoveryServer(t, engines)
			router := New(t).Router(Config{
				Name: "n0", Discovery: server.Addr, Engines: engines, MemoryMB: memoryMB, Tenants: 1,
			})
			router.Ready()
			slowClients(t, router.Listen, clients, sent)
			router.checkResident(t, memoryMB, during)
			client, err := Dial(router.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			if err := client.write(0, reportQuery(1)); err != nil {
				t.Fatal(err)
			}
			if _, err := client.packet(); err != nil || engine.queries.Load() != 1 {
				t.Errorf("a sound client: %v, %d queries sent, want 1", err, engine.queries.Load())
			}
		})
	}
}

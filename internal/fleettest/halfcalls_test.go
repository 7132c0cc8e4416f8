package fleettest

import (
	"testing"
	"time"
)

// Guards against a process that exceeds its memory limit: clients of the Flight SQL front stop half way through large
// calls, or send heads of very many short fields, on all connections at once.
func TestHalfCallsStayWithinMemory(t *testing.T) {
	const memoryMB, connections, during = 64, 256, 4 * time.Second
	for name, calls := range map[string]HalfCalls{
		"half a message":    {Calls: 32, Declare: 128 << 10, Send: 60 << 10},
		"many short fields": {Calls: 32, Fields: 400, Declare: 128 << 10, Send: 1},
	} {
		t.Run(name, func(t *testing.T) {
			server := NewDiscoveryServer(t, nil)
			listen := FreeAddress(t)
			router := New(t).Router(Config{
				Name: "n0", Discovery: server.Addr, MemoryMB: memoryMB, Tenants: 1,
				Installation: map[string]any{"flightsql": map[string]any{"listen": listen, "max_connections": connections}},
			})
			router.Ready()
			for range connections {
				OpenHalfCalls(t, listen, calls)
			}
			router.checkResident(t, memoryMB, during)
			client, err := Dial(router.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			if err := client.Ping(); err != nil {
				t.Error(err)
			}
		})
	}
}

// checkResident measures the resident memory of a router for some time and compares the largest value with a limit.
func (p *Router) checkResident(t *testing.T, limitMB int64, during time.Duration) {
	t.Helper()
	largest := int64(0)
	for began := time.Now(); time.Since(began) < during; time.Sleep(50 * time.Millisecond) {
		largest = max(largest, p.Usage().Resident)
	}
	t.Logf("%d MB resident at most, the limit is %d MB", largest>>20, limitMB)
	if largest > limitMB<<20 {
		t.Errorf("%d MB resident, the router's limit is %d MB", largest>>20, limitMB)
	}
}

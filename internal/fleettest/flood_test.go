package fleettest

import (
	"fmt"
	"testing"
	"time"
)

// Command bytes of the MySQL protocol.
const (
	commandQuery = 3
	commandPing  = 14
)

// pingDelay pings a router on a connection of its own, over and over, and returns the longest time that an answer took.
func pingDelay(t *testing.T, addr string, during time.Duration) (longest time.Duration) {
	t.Helper()
	client, err := Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for began := time.Now(); time.Since(began) < during; time.Sleep(20 * time.Millisecond) {
		sent := time.Now()
		if err := client.Ping(); err != nil {
			t.Fatal(err)
		}
		longest = max(longest, time.Since(sent))
	}
	return longest
}

// Guards against one client that keeps the others from being answered, or makes memory grow, by sending small or unsound
// commands on one connection at full speed, also under ever new names. 0.5 s is what a request may be answered after its
// time.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	const during, maxDelay = 3 * time.Second, 500 * time.Millisecond
	query := func(text string) []byte { return append([]byte{commandQuery}, text...) }
	floods := map[string]func(i int) []byte{
		"pings":         func(int) []byte { return []byte{commandPing} },
		"empty packets": func(int) []byte { return nil },
		"unsound":       func(int) []byte { return query("/* method=lookup,rid=1 */ SELECT 1") },
		"unknown kills": func(i int) []byte { return query(fmt.Sprint("KILL QUERY ", 1+i%1_000_000)) },
		"status":        func(int) []byte { return query("SHOW STATUS") },
		"new classes": func(i int) []byte {
			return query(fmt.Sprintf("/* method=c%d,rid=%016x,budget=100,acct=tenant-00000 */ SELECT 1", i, i))
		},
		"new tenants": func(i int) []byte {
			return query(fmt.Sprintf("/* method=lookup,rid=%016x,budget=100,acct=t%d */ SELECT 1", i, i))
		},
	}
	for name, command := range floods {
		t.Run(name, func(t *testing.T) {
			engines := Engines(2)
			server := NewDiscoveryServer(t, engines)
			router := New(t).Router(Config{Name: "n0", Discovery: server.Addr, Engines: engines, Tenants: 1})
			router.Ready()
			flood := StartFlood(t, router.Listen, command)
			longest := pingDelay(t, router.Listen, during)
			memory := router.Usage().Resident
			t.Logf("%d bytes sent in %v, longest delay of another client's ping %v, %d MB resident",
				flood.Sent.Load(), during, longest, memory>>20)
			if longest > maxDelay {
				t.Errorf("a ping was answered after %v, want at most %v", longest, maxDelay)
			}
			if memory > 192<<20 {
				t.Errorf("%d MB resident, the router's limit is 192 MB", memory>>20)
			}
			if flood.Sent.Load() < floodWriteBytes {
				t.Error("the flood sent nothing, so the test shows nothing")
			}
		})
	}
}

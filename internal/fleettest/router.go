package fleettest

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Config has the parts of a router's configuration that tests choose. All other parts have the values of a simple site.
type Config struct {
	Name            string
	Index           int    // of the router in its fleet, from 0
	Routers         int    // in the fleet; 0 means 1
	Discovery       string // address of the discovery server
	Engines         []Engine
	Listen          string // address for clients; if empty, a free one on loopback
	Sockets         int    // 0 means 1024
	MemoryMB        int    // 0 means 192
	Tenants         int
	OverQuotaWeight float64        // the setting that tests change by reloads
	Installation    map[string]any // sections of the installation's settings; nil for no settings
}

// Text returns the configuration as the JSON text that the platform writes for a router.
func (c Config) Text() []byte {
	type object = map[string]any
	class := func(name, semantics string, goal, deadline int, stretch, credit, late float64) object {
		return object{
			"name": name, "semantics": semantics, "goal-time-ns": goal * 1_000_000, "deadline-ns": deadline * 1_000_000,
			"aim-stretch": stretch, "credit": credit, "late-value": late,
		}
	}
	tenants := make([]object, c.Tenants)
	for i := range tenants {
		tenants[i] = object{"name": fmt.Sprintf("tenant-%05d", i), "quota-rps": 11.5, "share": 0.25}
	}
	orDefault := func(n, value int) int {
		if n == 0 {
			return value
		}
		return n
	}
	text, err := json.Marshal(object{
		"name": c.Name, "listen": c.Listen, "seed": fmt.Sprintf("%x", 0x1f+c.Index), "board": c.Discovery,
		"known":  KnownEvents(c.Engines),
		"limits": object{"cores": 1, "memory_mb": orDefault(c.MemoryMB, 192), "sockets": orDefault(c.Sockets, 1024)},
		"settings": object{
			"balancers": orDefault(c.Routers, 1), "me": c.Index, "zone": Zones[c.Index%len(Zones)], "failure-domains": Zones,
			"kinds":     Kinds,
			"period-ns": 5_000_000, "parties": tenants, "over-share-worth": c.OverQuotaWeight,
			"classes": []object{
				class("lookup", "idempotent", 1000, 5000, 2, 1, 0),
				class("report", "idempotent", 1500, 20000, 2.5, 10, 0.4), class("load", "at_most_once", 3000, 25000, 3, 7.5, 0.5),
			},
			"limits": object{
				"attempts-cap": 5, "second-copies": true, "retry-after": true, "max-retry-after-ns": 2_000_000_000,
				"connect-timeout-ns": 250_000_000, "conn-idle-ns": 30_000_000_000,
			},
			"rules": object{
				"cold-from": 0.36, "cold-ns": 12_000_000_000, "overload-factor": 2,
				"overload-for-ns": 1_500_000_000,
			},
			"specifics": object{
				"class-load": []bool{false, false, true}, "yields-to-loads": []bool{true, true, false},
				"width-by-class": []int{1, 4, 2}, "cores-by-kind": []int{8}, "kind-memory-mb": []int{16384}, "max-grant-share": 0.4,
				"grants-count": true, "priorities": true, "overbooked": "trim",
			},
		},
	})
	if err != nil {
		panic(fmt.Sprint("cannot encode the configuration as JSON: ", err))
	}
	return text
}

// Router is a process of the built program windflow.
type Router struct {
	*Process
	Config
	path string
}

// Texts in lines of a router's log that tests wait for.
const (
	LineReloaded           = "msg=reloaded"
	LineReloadRejected     = `msg="reload rejected"`
	LineEndpointEvent      = `msg="endpoint list updated"`
	LineDiscoveryConnected = `msg="discovery connected"`
	lineRevisionInForce    = `msg="configuration applied"`
)

// Router starts a router. It does not wait until the router is ready.
func (h *Harness) Router(config Config) *Router {
	h.T.Helper()
	if config.Listen == "" {
		config.Listen = FreeAddress(h.T)
	}
	router := &Router{Config: config, path: filepath.Join(h.Dir, config.Name+".json")}
	router.write(h.T)
	cmd := exec.Command(filepath.Join(Programs(h.T), "windflow"))
	if config.Installation != nil {
		text, err := json.Marshal(config.Installation)
		settingsPath := filepath.Join(h.Dir, config.Name+".own.json")
		if err == nil {
			err = os.WriteFile(settingsPath, text, 0o600)
		}
		if err != nil {
			h.T.Fatal(err)
		}
		cmd.Args = append(cmd.Args, "--settings", settingsPath)
	}
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+router.path)
	router.Process = h.Start(config.Name, cmd, LineReloaded, LineReloadRejected, LineEndpointEvent,
		LineDiscoveryConnected)
	return router
}

// write atomically replaces the configuration file of the router.
func (p *Router) write(tb testing.TB) {
	tb.Helper()
	err := os.WriteFile(p.path+".new", p.Text(), 0o600)
	if err == nil {
		err = os.Rename(p.path+".new", p.path)
	}
	if err != nil {
		tb.Fatal(err)
	}
}

// Reload writes the current configuration and signals the router to read it. It does not wait for the reload.
func (p *Router) Reload() {
	p.harness.T.Helper()
	p.write(p.harness.T)
	p.Signal(syscall.SIGHUP)
}

// AwaitRevision waits until the router logs that it has a configuration revision or a later one in force, and returns
// the time when the harness read that line. It fails the test if the router returned to an earlier revision.
func (p *Router) AwaitRevision(revision uint64) time.Time {
	p.harness.T.Helper()
	var since time.Time
	p.await(fmt.Sprint("revision ", revision), func() bool {
		if p.revisions.regression != "" {
			p.harness.T.Errorf("%s returned to an earlier revision: %s", p.Process.Name, p.revisions.regression)
		}
		at, ok := p.revisions.Since(revision)
		since = at
		return ok || p.revisions.regression != ""
	})
	return since
}

var loopbackIPs atomic.Uint32

// nextLoopbackIP returns a loopback IP address that no other listener of this process uses. The process id is part of
// the address, so that other processes that run tests at the same time use other addresses.
func nextLoopbackIP() string {
	n, pid := loopbackIPs.Add(1), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%180, uint32(pid/180%8)*30+n/250%30, 1+n%250)
}

// listen listens at a new loopback IP address. On a shared address, the system could assign the port of a server that
// has ended, and routers of tests that run at the same time may still connect to that port.
func listen() (net.Listener, error) { return net.Listen("tcp", nextLoopbackIP()+":0") }

// FreeAddress returns a loopback IP address and port for a process to listen at. Each has a separate IP address, which
// the system does not use for outgoing connections, so that the address stays free until the process listens, and while
// the process restarts.
func FreeAddress(tb testing.TB) string {
	tb.Helper()
	for range 1000 {
		addr := nextLoopbackIP() + ":7500"
		if listener, err := net.Listen("tcp", addr); err == nil {
			_ = listener.Close()
			return addr
		}
	}
	tb.Fatal("found no free address on loopback")
	return ""
}

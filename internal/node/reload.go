package node

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/discovery"
	"windflow/internal/enginehttp"
	"windflow/internal/installation"
	"windflow/internal/mysql"
	"windflow/internal/settings"
	"windflow/internal/validate"
)

// patience is how often and at what distance retry tries again: for two seconds in all for a file. An address is waited for
// while its holder may drain: that ends by patienceAlone and beforeKill after its signal, and the router is still ready
// within the 10 s that a restart has.
const (
	patience        = 40
	addressPatience = 150
	pause           = 50 * time.Millisecond
)

// sleep is replaced by tests.
var sleep = time.Sleep

// retry calls f until it succeeds, fails for a reason that does not pass by itself, or has had its chances. Two such
// reasons do: a file that is just being replaced, and an address that the program before this one has not given up yet.
func retry(f func() error) error {
	for try := 1; ; try++ {
		err := f()
		held := errors.Is(err, syscall.EADDRINUSE)
		passes := held || errors.Is(err, settings.ErrNotJSON) || errors.Is(err, fs.ErrNotExist)
		if !passes || try >= addressPatience || !held && try >= patience {
			return err
		}
		sleep(pause)
	}
}

// readConfig reads the configuration.
func readConfig(path string) (cfg *settings.Node, err error) {
	cfg, _, err = readOwn(path)
	return cfg, err
}

// readOwn reads the configuration, and gives its text too.
func readOwn(path string) (cfg *settings.Node, text []byte, err error) {
	err = retry(func() error {
		if text, err = os.ReadFile(path); err == nil {
			cfg, err = settings.ParseNode(text)
		}
		return err
	})
	if err == nil {
		complete(cfg)
	}
	return cfg, text, err
}

// complete adds what the environment has for a configuration.
func complete(cfg *settings.Node) {
	if cfg.AdminAddress == "" {
		cfg.AdminAddress = os.Getenv("PROXY_CONTROL")
	}
}

// bounds are those of the configuration, or this process's part of them while another one stands for the same router.
func (r *node) bounds(cfg *settings.Node) (bounds, error) {
	b, err := boundsOf(cfg, r.setAside())
	if s := r.machine.Share(); err == nil && s != hotrestart.ShareFull {
		r.divide(&b, s)
	}
	return b, err
}

// setAside are the descriptors that parts hold.
func (r *node) setAside() (n int) {
	for _, p := range r.parts {
		n += p.descriptors
	}
	return n
}

// bounds are what a configuration gives each part of the program.
type bounds struct {
	inbound int // bytes read and not yet handled
	mysql   mysql.Config
	fetch   enginehttp.Config
}

// boundsOf gives each part what the configuration has for it; taken are the descriptors of parts that it does not name.
func boundsOf(cfg *settings.Node, taken int) (bounds, error) {
	n, err := validate.DivideResources(cfg, taken)
	return bounds{
		inbound: n.InboundBytes,
		mysql:   mysql.Config{MaxSessions: n.ClientSessions, MaxBuffered: n.BufferedBytes},
		fetch: enginehttp.Config{
			MaxConns: n.EngineConnections, ConnectTimeoutMS: float64(cfg.Settings.Limits.ConnectTimeout) / 1e6,
			IdleMS: float64(cfg.Settings.Limits.ConnIdle) / 1e6,
		},
	}, err
}

func namesOf(cfg *settings.Node) discovery.RecordNames {
	return discovery.RecordNames{Zones: cfg.Settings.Zones, Kinds: cfg.Settings.Kinds}
}

// limit keeps the runtime within what the deployment gives; two processes of one router have half of the memory each.
func (r *node) limit() {
	if cores := r.cfg.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(int(cores+0.5), 1))
	}
	if memory := r.cfg.Limits.MemoryMB << 20; memory > 0 {
		if r.machine.Share() != hotrestart.ShareFull {
			memory /= 2
		}
		debug.SetMemoryLimit(int64(float64(memory) * memoryShare))
	}
}

// apply has the router go by bounds.
func (r *node) apply(b bounds) {
	r.net.SetMaxInbound(b.inbound)
	r.front.Configure(b.mysql)
	r.client.Configure(b.fetch)
}

// readSite reads the settings of the installation; without a file every part is off.
func readSite(path string) (*installation.Settings, error) {
	if path == "" {
		return &installation.Settings{}, nil
	}
	var s *installation.Settings
	err := retry(func() (err error) {
		s, err = installation.Read(path)
		return err
	})
	return s, err
}

// reload reads the files again and hands them to the loop. One that can't be used has nothing changed.
func (r *node) reload(path string) {
	if r.keepers != nil {
		r.keepers.reload()
		return
	}
	cfg, err := readConfig(path)
	var s *installation.Settings
	if err == nil {
		s, err = readSite(r.opts.Settings)
		if _, err := growTable(cfg.Limits.Sockets); err != nil { // here too the loop may not wait
			r.log.Warn("the table of descriptors was not grown", "err", err)
		}
	}
	r.loop.Post(func() {
		if err == nil && r.core == nil {
			r.cfg, r.site = cfg, s // it has nothing yet that goes by others
		} else if err == nil {
			err = r.configure(cfg, s)
		}
		if err != nil {
			r.log.Error("reload refused", "file", path, "err", err)
		}
	})
}

// configure puts other settings in force, whole or, where they can't be used, not at all. Open requests, sessions and
// connections are not touched. What can't change while running keeps its value, and the log names it.
func (r *node) configure(cfg *settings.Node, s *installation.Settings) error {
	decisions, err := validate.DispatchConfig(cfg, r.cfg.SeedValue)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	b, err := r.bounds(cfg)
	if err != nil {
		return err
	}
	kept, err := r.core.Configure(decisions)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	for _, f := range []struct {
		name    string
		old     string
		changed *string
	}{{"name", r.cfg.Name, &cfg.Name}, {"listen", r.cfg.Listen, &cfg.Listen}, {"control", r.cfg.AdminAddress, &cfg.AdminAddress}} {
		if f.old != *f.changed {
			kept, *f.changed = append(kept, f.name), f.old
		}
	}
	kept = append(kept, sectionsKept(r.site, s)...)
	r.apply(b)
	for _, p := range r.parts {
		if p.configure != nil {
			kept = append(kept, p.configure(s, b)...)
		}
	}
	r.board.Configure(cfg.DiscoveryAddress, namesOf(cfg))
	r.cfg, r.site = cfg, s
	r.limit()
	r.log.Info("reloaded", "board", cfg.DiscoveryAddress, "sockets", cfg.Limits.Sockets, "memory_mb", cfg.Limits.MemoryMB)
	if len(kept) > 0 {
		r.log.Warn("unchanged until a restart", "fields", kept)
	}
	return nil
}

// sectionsKept gives the sections that came or went: a part is made at the start only. What was in force stays.
func sectionsKept(old, now *installation.Settings) (kept []string) {
	if (old.FlightSQL == nil) != (now.FlightSQL == nil) {
		kept, now.FlightSQL = append(kept, "/flightsql"), old.FlightSQL
	}
	if (old.BGP == nil) != (now.BGP == nil) {
		kept, now.BGP = append(kept, "/bgp"), old.BGP
	}
	if (old.Records == nil) != (now.Records == nil) {
		kept, now.Records = append(kept, "/records"), old.Records
	}
	if (old.Keepers == nil) != (now.Keepers == nil) {
		kept, now.Keepers = append(kept, "/keepers"), old.Keepers
	}
	return kept
}

package node

import (
	"fmt"
	"log/slog"

	"windflow/internal/installation"
	"windflow/internal/router"
	"windflow/internal/settings"
	"windflow/internal/validate"
)

// reloader reads the files again and has the loop put them in force.
type reloader struct {
	log          *slog.Logger
	loop         *router.Loop
	path         string // of the platform's configuration
	settingsPath string // of the installation's settings; empty for none
	configurator *configurator
}

// read reads both files. It may wait for a disk, and for the kernel to grow the table of descriptors, which the loop
// must not do.
func (r *reloader) read() (cfg *settings.Node, text []byte, site *installation.Settings, err error) {
	if cfg, text, err = readPlatform(r.path); err != nil {
		return nil, nil, nil, err
	}
	site, err = readSite(r.settingsPath)
	if err := growDescriptorTable(cfg.Limits.Sockets); err != nil {
		r.log.Warn("descriptor table growth failed", "error", err)
	}
	return cfg, text, site, err
}

// reload reads the files and hands them to the loop. Where one can't be used nothing changes.
func (r *reloader) reload() {
	cfg, _, site, err := r.read()
	r.loop.Post(func() {
		if err == nil {
			err = r.configurator.apply(cfg, site)
		}
		if err != nil {
			r.rejected(err)
		}
	})
}

func (r *reloader) rejected(err error) { r.log.Error("reload rejected", "file", r.path, "error", err) }

// configurator puts settings in force.
type configurator struct {
	log      *slog.Logger
	active   *activeSettings
	services *services
	parts    *partSet
	limiter  *limiter
}

// apply puts other settings in force, all of them or, where they can't be used, none. Open requests, sessions and
// connections are not touched. What can't change while running keeps its value, and the log names it.
func (c *configurator) apply(cfg *settings.Node, site *installation.Settings) error {
	if !c.services.built() { // nothing uses the settings yet
		c.active.platform, c.active.site = cfg, site
		return nil
	}
	decisions, err := validate.DispatchConfig(cfg, c.active.platform.SeedValue)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	newLimits, err := c.limiter.compute(cfg)
	if err != nil {
		return err
	}
	kept, err := c.services.core.Configure(decisions)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	kept = append(kept, keepFields(c.active.platform, cfg)...)
	kept = append(kept, keepSections(c.active.site, site)...)
	c.limiter.apply(newLimits)
	kept = append(kept, c.parts.configure(site, newLimits)...)
	c.services.endpoints.Configure(cfg.DiscoveryAddress, endpointNames(cfg))
	c.active.platform, c.active.site = cfg, site
	c.limiter.applyToRuntime()
	c.log.Info("reloaded", "board", cfg.DiscoveryAddress, "sockets", cfg.Limits.Sockets, "memory_mb", cfg.Limits.MemoryMB)
	if len(kept) > 0 {
		c.log.Warn("settings unchanged until restart", "fields", kept)
	}
	return nil
}

// keepFields returns the platform's fields that can't change while running. What was in force stays.
func keepFields(current, updated *settings.Node) (kept []string) {
	for _, field := range []struct {
		name    string
		current string
		updated *string
	}{
		{"name", current.Name, &updated.Name},
		{"listen", current.Listen, &updated.Listen},
		{"control", current.AdminAddress, &updated.AdminAddress},
	} {
		if field.current != *field.updated {
			kept, *field.updated = append(kept, field.name), field.current
		}
	}
	return kept
}

// keepSections returns the sections that were added or removed: a part is made at the start only. What was in force
// stays.
func keepSections(current, updated *installation.Settings) (kept []string) {
	if (current.FlightSQL == nil) != (updated.FlightSQL == nil) {
		kept, updated.FlightSQL = append(kept, "/flightsql"), current.FlightSQL
	}
	if (current.BGP == nil) != (updated.BGP == nil) {
		kept, updated.BGP = append(kept, "/bgp"), current.BGP
	}
	if (current.Records == nil) != (updated.Records == nil) {
		kept, updated.Records = append(kept, "/records"), current.Records
	}
	if (current.Keepers == nil) != (updated.Keepers == nil) {
		kept, updated.Keepers = append(kept, "/keepers"), current.Keepers
	}
	return kept
}

package node

import (
	"fmt"
	"log/slog"

	"windflow/internal/installation"
	"windflow/internal/router"
	"windflow/internal/settings"
	"windflow/internal/validate"
)

// reloader reads the platform's configuration and the installation's settings again and has the event loop apply them.
type reloader struct {
	log          *slog.Logger
	loop         *router.Loop
	path         string // of the platform's configuration
	settingsPath string // of the installation's settings; empty for none
	configurator *configurator
}

// read reads both files and grows the descriptor table to the limit that they set. text is that of the platform's
// configuration. It may wait for a disk and for the kernel, so it must not be called in the event loop.
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

// reload reads both files and applies them in the event loop. If one of them is invalid, nothing changes and the error
// is logged.
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

// rejected logs why a reload was rejected.
func (r *reloader) rejected(err error) { r.log.Error("reload rejected", "file", r.path, "error", err) }

// configurator applies settings to the running router.
type configurator struct {
	log      *slog.Logger
	active   *activeSettings
	services *services
	parts    *partSet
	limiter  *limiter
}

// apply applies changed settings. If it returns an error because they are invalid, none of them is applied. Open
// requests, sessions and connections are not affected. Fields that can't change while running keep their values, and
// the log names them.
func (c *configurator) apply(cfg *settings.Node, site *installation.Settings) error {
	if !c.services.built() { // the services will be built with the new settings
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

// keepFields restores the fields of the platform's configuration that can't change while running to their current
// values, and returns the names of those that differed.
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

// keepSections undoes the addition or removal of sections, since parts are created at the start only, and returns the
// names of these sections.
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

package fleettest

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"windflow/internal/configclient"
	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
	"windflow/internal/settings"
	"windflow/internal/validate"
)

// startConfigClient has a simulated router follow keepers as a router does: with the same client and the same check,
// and a change of the core and of the discovery watcher in the loop. The returned function ends it.
func (h *simulatedRouter) startConfigClient() (end func(), err error) {
	var section configclient.Config
	if err := json.Unmarshal(h.spec.Keepers, &section); err != nil {
		return nil, err
	}
	instance := configlog.NewInstanceID(time.Now().UnixMilli(), rand.Uint64())
	client := configclient.New(section, h.config.Name, instance, slog.New(slog.DiscardHandler))
	client.Start(func(rev configclient.Revision) error {
		cfg, err := validate.Overlay(h.spec.Config, rev.Entries)
		if err != nil {
			return err
		}
		if err := h.applyInLoop(cfg); err != nil {
			return configerror.Invalidf("", "%s", err)
		}
		h.out.write(statusMessage{
			Router: h.spec.Number, Revision: rev.Revision, Hash: rev.Hash.String(),
			AtNS: time.Now().UnixNano(),
		})
		return nil
	})
	return client.Stop, nil
}

// applyInLoop applies a configuration, in the loop.
func (h *simulatedRouter) applyInLoop(cfg *settings.Node) error {
	done := make(chan error, 1)
	h.loop.Post(func() { done <- h.configure(cfg) })
	return <-done
}

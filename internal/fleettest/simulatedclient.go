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

// startConfigClient makes the simulated router follow keepers in the same way as a real router: with the same client
// and validation, and with changes of the core and the discovery watcher in the loop. The returned function stops it.
func (r *simulatedRouter) startConfigClient() (end func(), err error) {
	var section configclient.Config
	if err := json.Unmarshal(r.spec.Keepers, &section); err != nil {
		return nil, err
	}
	instance := configlog.NewInstanceID(time.Now().UnixMilli(), rand.Uint64())
	client := configclient.New(section, r.config.Name, instance, slog.New(slog.DiscardHandler))
	client.Start(func(rev configclient.Revision) error {
		cfg, err := validate.Overlay(r.spec.Config, rev.Entries)
		if err != nil {
			return err
		}
		if err := r.applyInLoop(cfg); err != nil {
			return configerror.Invalidf("", "%s", err)
		}
		r.out.write(statusMessage{
			Router: r.spec.Number, Revision: rev.Revision, Hash: rev.Hash.String(),
			AtNS: time.Now().UnixNano(),
		})
		return nil
	})
	return client.Stop, nil
}

// applyInLoop applies a configuration in the loop and waits for the result.
func (r *simulatedRouter) applyInLoop(cfg *settings.Node) error {
	done := make(chan error, 1)
	r.loop.Post(func() { done <- r.configure(cfg) })
	return <-done
}

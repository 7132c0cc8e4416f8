package node

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"windflow/internal/configclient"
	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
	"windflow/internal/installation"
	"windflow/internal/router"
	"windflow/internal/settings"
	"windflow/internal/validate"
)

const (
	// msgConfiguration tells the other process of this router which revision is in force here: configclient.Revision.
	msgConfiguration = "configuration"
	// keeperStartTimeout bounds what the start waits for keepers.
	keeperStartTimeout = 800 * time.Millisecond
	// keeperDescriptors are a connection to a keeper, the copy that is read and the one that is written, and their
	// folder.
	keeperDescriptors = 4
)

// keeperSync keeps the configuration by revision in force: the router's own file, overlaid with the entries of the
// keepers. What is in force belongs to the loop, and changes there only. Whoever wants to change it, a keeper's
// revision or a SIGHUP, reads and checks beside the loop, and begins anew if the other one was faster: neither is
// lost, and no mix of them is in force.
type keeperSync struct {
	log          *slog.Logger
	loop         *router.Loop
	done         <-chan struct{} // closed at the end of the loop
	active       *activeSettings
	configurator *configurator
	files        *reloader
	partner      *partnerLink
	client       *configclient.Client
	reloads      chan struct{} // a SIGHUP that was not taken yet

	inForce configurationInForce
}

// configurationInForce is the configuration that is in force, as someone found it.
type configurationInForce struct {
	own     []byte                // text of the router's own file
	overlay configclient.Revision // of the keepers over it; 0 for none
	changes int                   // how often it has changed
}

// newKeeperSync makes the synchronisation with the keepers. It names itself to them as the platform's configuration
// does, with an instance that is another one in each incarnation. own is the text of the router's own file.
func newKeeperSync(n *node, files *reloader, own []byte) *keeperSync {
	instance := configlog.NewInstance(time.Now().UnixMilli(), rand.Uint64())
	return &keeperSync{
		log: n.log, loop: n.loop, done: n.life.done, active: &n.active, configurator: &n.configurator, files: files,
		partner: n.restart.partner,
		client:  configclient.New(*n.active.site.Keepers, n.active.platform.Name, instance, n.log),
		reloads: make(chan struct{}, 1),
		inForce: configurationInForce{own: own},
	}
}

// revision is that in force, 0 for the router's own file alone.
func (k *keeperSync) revision() uint64 { return k.inForce.overlay.Revision }

// rejectedRevision is the latest that this router could not use and that no later one replaced, 0 for none.
func (k *keeperSync) rejectedRevision() int64 { return k.client.Counters.RejectedRevision.Load() }

// exported returns the revision in force for a successor, nil for none.
func (k *keeperSync) exported() *configclient.Revision {
	if k.inForce.overlay.Revision == 0 {
		return nil
	}
	return &k.inForce.overlay
}

// restore is the start: what the copy on the disk has, and what a keeper has that answers soon, is in force before the
// router is built. The loop does not run yet.
func (k *keeperSync) restore() {
	k.client.Restore(keeperStartTimeout, func(revision configclient.Revision) error {
		cfg, err := overlaid(k.inForce.own, revision)
		if err == nil {
			k.active.platform, k.inForce.overlay = cfg, revision
		}
		return err
	})
	k.log.Info("configuration restored", "revision", k.revision())
	go k.runReloads()
}

// overlaid checks a revision over a text of the router's own file. Its error is a *configerror.Error.
func overlaid(own []byte, revision configclient.Revision) (*settings.Node, error) {
	cfg, err := validate.Overlay(own, revision.Entries)
	if err != nil {
		return nil, configerror.From(err)
	}
	completeFromEnvironment(cfg)
	return cfg, nil
}

// inLoop runs a function in the loop and waits for it; false says that the router ends.
func (k *keeperSync) inLoop(f func()) bool {
	done := make(chan struct{})
	k.loop.Post(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-k.done:
		return false
	}
}

// change prepares a change of what is in force beside the loop, and makes it in the loop, unless another was made
// between: then it is prepared anew.
func (k *keeperSync) change(prepare func(configurationInForce) (commit func() error, err error)) error {
	for {
		var base configurationInForce
		if !k.inLoop(func() { base = k.inForce }) {
			return configclient.ErrShuttingDown
		}
		commit, err := prepare(base)
		if err != nil || commit == nil {
			return err
		}
		conflict := false
		if !k.inLoop(func() {
			if conflict = k.inForce.changes != base.changes; !conflict {
				err = commit()
			}
		}) {
			return configclient.ErrShuttingDown
		}
		if !conflict {
			return err
		}
	}
}

// apply brings a keeper's revision in force; it is called in the client's goroutine.
func (k *keeperSync) apply(revision configclient.Revision) error {
	return k.change(func(base configurationInForce) (func() error, error) {
		switch {
		case revision.Revision < base.overlay.Revision:
			return nil, configclient.ErrSuperseded
		case revision.Revision == base.overlay.Revision && revision.Hash == base.overlay.Hash:
			return nil, nil // from the other process
		}
		cfg, err := overlaid(base.own, revision)
		if err != nil {
			return nil, err
		}
		return func() error {
			if err := k.commit(cfg, k.active.site, base.own, revision); err != nil {
				return configerror.Invalidf("", "%s", err)
			}
			return nil
		}, nil
	})
}

// commit brings a configuration in force, in the loop, and tells the other process of this router.
func (k *keeperSync) commit(
	cfg *settings.Node, own *installation.Settings, text []byte, revision configclient.Revision,
) error {
	if err := k.configurator.apply(cfg, own); err != nil {
		return err
	}
	later := revision.Revision > k.revision()
	k.inForce = configurationInForce{own: text, overlay: revision, changes: k.inForce.changes + 1}
	if later {
		k.log.Info("configuration applied", "revision", revision.Revision, "entries", len(revision.Entries))
		k.partner.send(msgConfiguration, revision)
	}
	return nil
}

// adopt takes a later revision that is in force in the other process. It is checked here and now, in the loop: this
// process may be about to accept clients, which the other one has served by it.
func (k *keeperSync) adopt(revision configclient.Revision) {
	if revision.Revision <= k.revision() {
		return
	}
	if configlog.HashEntries(revision.Entries) != revision.Hash {
		k.log.Error("received configuration corrupt", "revision", revision.Revision)
		return
	}
	cfg, err := overlaid(k.inForce.own, revision)
	if err == nil {
		err = k.commit(cfg, k.active.site, k.inForce.own, revision)
	}
	if err != nil {
		k.log.Error("received configuration rejected", "revision", revision.Revision, "error", err)
		return
	}
	k.client.SetInForce(revision)
}

// reload requests that the router's own file is read again. It does not wait.
func (k *keeperSync) reload() {
	select {
	case k.reloads <- struct{}{}:
	default: // one that was not taken yet reads the file as it is now
	}
}

// runReloads reads the files again at each reload request, until the loop ends.
func (k *keeperSync) runReloads() {
	for {
		select {
		case <-k.reloads:
		case <-k.done:
			return
		}
		err := k.reloadOnce()
		if errors.Is(err, configclient.ErrShuttingDown) {
			return
		}
		if err != nil {
			k.files.rejected(err)
			continue
		}
		k.client.RetryRejected() // what was rejected may fit now
	}
}

// reloadOnce reads the files and overlays the router's own with the entries in force.
func (k *keeperSync) reloadOnce() error {
	_, text, own, err := k.files.read()
	if err != nil {
		return err
	}
	return k.change(func(base configurationInForce) (func() error, error) {
		cfg, err := overlaid(text, base.overlay)
		if err != nil {
			return nil, err
		}
		copied := *own // what can't change is put back in it
		return func() error { return k.commit(cfg, &copied, text, base.overlay) }, nil
	})
}

// keeperPart follows the keepers of the configuration.
func keeperPart(n *node) *part {
	keepers := n.keepers
	if keepers == nil {
		return nil
	}
	cfg := *n.active.site.Keepers
	return &part{
		name:        "keepers",
		descriptors: keeperDescriptors,
		start: func(limits) error {
			keepers.client.Start(keepers.apply)
			return nil
		},
		configure: func(s *installation.Settings, _ limits) (kept []string) {
			now := s.Keepers
			if now.Dir != cfg.Dir {
				kept, now.Dir = append(kept, "/keepers/dir"), cfg.Dir
			}
			if !slices.Equal(now.Addresses, cfg.Addresses) || now.MaxPollWaitMS != cfg.MaxPollWaitMS {
				cfg = *now
				keepers.client.Configure(cfg)
			}
			return kept
		},
		counters: func() []counterGroup { return []counterGroup{{"keepers", &keepers.client.Counters}} },
		stop:     keepers.client.Stop,
		partnerChanged: func(partner *peer) {
			if partner != nil && keepers.revision() > 0 {
				partner.send(msgConfiguration, keepers.inForce.overlay)
			}
		},
		handlers: map[string]messageHandler{
			msgConfiguration: decoded(func(_ *peer, revision configclient.Revision) { keepers.adopt(revision) }),
		},
	}
}

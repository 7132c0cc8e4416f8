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
	// keeperStartTimeout is how long the start of the router waits for keepers.
	keeperStartTimeout = 800 * time.Millisecond
	// keeperDescriptors is the number of descriptors that the part may hold: a connection to a keeper, the stored copy of
	// the configuration that is read, the one that is written, and their folder.
	keeperDescriptors = 4
)

// keeperSync keeps the configuration in force up to date: the router's own file, overlaid with the entries of the
// keepers' latest revision. The configuration in force is changed in the event loop only. A new revision or a SIGHUP is
// read and checked outside the loop first; if the configuration in force has changed meanwhile, that is repeated on the
// new one. So neither change is lost, and no mixture of the two comes into force.
type keeperSync struct {
	log          *slog.Logger
	loop         *router.Loop
	done         <-chan struct{} // closed to end the loop
	active       *activeSettings
	configurator *configurator
	reloader     *reloader
	partner      *partnerLink
	client       *configclient.Client
	reloads      chan struct{} // holds a reload request that has not been handled yet

	inForce configurationInForce
}

// configurationInForce is a snapshot of the configuration in force.
type configurationInForce struct {
	fileText []byte                // text of the router's own file
	overlay  configclient.Revision // the keepers' revision over it; revision 0 for none
	changes  int                   // how often the configuration in force has changed
}

// newKeeperSync returns the synchronisation with the keepers. The router identifies itself to them by its name from the
// platform's configuration and by an instance that differs in each process. fileText is the text of the router's own
// file.
func newKeeperSync(n *node, reloader *reloader, fileText []byte) *keeperSync {
	instance := configlog.NewInstanceID(time.Now().UnixMilli(), rand.Uint64())
	return &keeperSync{
		log: n.log, loop: n.loop, done: n.life.done, active: &n.active, configurator: &n.configurator, reloader: reloader,
		partner: n.restart.partner,
		client:  configclient.New(*n.active.site.Keepers, n.active.platform.Name, instance, n.log),
		reloads: make(chan struct{}, 1),
		inForce: configurationInForce{fileText: fileText},
	}
}

// revision returns the keepers' revision in force, or 0 if the router's own file alone is in force.
func (k *keeperSync) revision() uint64 { return k.inForce.overlay.Revision }

// rejectedRevision returns the latest revision that this router rejected, unless a later one has been accepted; 0 for
// none.
func (k *keeperSync) rejectedRevision() int64 { return k.client.Counters.RejectedRevision.Load() }

// exported returns the revision in force, for a successor, or nil for none.
func (k *keeperSync) exported() *configclient.Revision {
	if k.inForce.overlay.Revision == 0 {
		return nil
	}
	return &k.inForce.overlay
}

// restore puts the stored copy of the configuration in force, or a later revision if a keeper answers within
// keeperStartTimeout. It is called before the router is built and the event loop runs.
func (k *keeperSync) restore() {
	k.client.Restore(keeperStartTimeout, func(revision configclient.Revision) error {
		cfg, err := overlayConfig(k.inForce.fileText, revision)
		if err == nil {
			k.active.platform, k.inForce.overlay = cfg, revision
		}
		return err
	})
	k.log.Info("configuration restored", "revision", k.revision())
	go k.runReloads()
}

// overlayConfig returns the configuration that results from a revision over a text of the router's own file. If the
// result is invalid, the error is a *configerror.Error.
func overlayConfig(fileText []byte, revision configclient.Revision) (*settings.Node, error) {
	cfg, err := validate.Overlay(fileText, revision.Entries)
	if err != nil {
		return nil, configerror.From(err)
	}
	completeFromEnvironment(cfg)
	return cfg, nil
}

// inLoop runs a function in the event loop and waits for it. It returns false if the loop ends instead.
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

// change changes the configuration in force. It calls prepare outside the event loop and then the returned commit in
// the loop. If the configuration in force has changed in between, it starts again with prepare. A nil commit means that
// there is nothing to change. It returns configclient.ErrShuttingDown if the loop ends first.
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

// apply puts a revision from a keeper in force. It is called in the client's goroutine. It fails if the revision is
// invalid, or with configclient.ErrSuperseded if a later one is in force.
func (k *keeperSync) apply(revision configclient.Revision) error {
	return k.change(func(base configurationInForce) (func() error, error) {
		switch {
		case revision.Revision < base.overlay.Revision:
			return nil, configclient.ErrSuperseded
		case revision.Revision == base.overlay.Revision && revision.Hash == base.overlay.Hash:
			return nil, nil // in force already, received from the other process
		}
		cfg, err := overlayConfig(base.fileText, revision)
		if err != nil {
			return nil, err
		}
		return func() error {
			if err := k.commit(cfg, k.active.site, base.fileText, revision); err != nil {
				return configerror.Invalidf("", "%s", err)
			}
			return nil
		}, nil
	})
}

// commit puts a configuration in force and sends a later revision to the other process of this router. It is called in
// the event loop.
func (k *keeperSync) commit(
	cfg *settings.Node, site *installation.Settings, fileText []byte, revision configclient.Revision,
) error {
	if err := k.configurator.apply(cfg, site); err != nil {
		return err
	}
	newer := revision.Revision > k.revision()
	k.inForce = configurationInForce{fileText: fileText, overlay: revision, changes: k.inForce.changes + 1}
	if newer {
		k.log.Info("configuration applied", "revision", revision.Revision, "entries", len(revision.Entries))
		k.partner.send(msgConfiguration, revision)
	}
	return nil
}

// adopt puts a later revision in force that is in force in the other process. Unlike apply, it checks the revision in
// the event loop, without delay: this process may be about to accept clients, and the other process has served them
// with that revision.
func (k *keeperSync) adopt(revision configclient.Revision) {
	if revision.Revision <= k.revision() {
		return
	}
	if configlog.HashEntries(revision.Entries) != revision.Hash {
		k.log.Error("received configuration corrupt", "revision", revision.Revision)
		return
	}
	cfg, err := overlayConfig(k.inForce.fileText, revision)
	if err == nil {
		err = k.commit(cfg, k.active.site, k.inForce.fileText, revision)
	}
	if err != nil {
		k.log.Error("received configuration rejected", "revision", revision.Revision, "error", err)
		return
	}
	k.client.SetInForce(revision)
}

// reload requests that the files are read again. It does not block.
func (k *keeperSync) reload() {
	select {
	case k.reloads <- struct{}{}:
	default: // the pending request will read the files as they are now
	}
}

// runReloads handles reload requests until the event loop ends. It runs in a goroutine of its own.
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
			k.reloader.rejected(err)
			continue
		}
		k.client.RetryRejected() // a rejected revision may be valid over the new file
	}
}

// reloadOnce reads the files and puts them in force, the router's own file overlaid with the keepers' entries in force.
func (k *keeperSync) reloadOnce() error {
	_, fileText, site, err := k.reloader.read()
	if err != nil {
		return err
	}
	return k.change(func(base configurationInForce) (func() error, error) {
		cfg, err := overlayConfig(fileText, base.overlay)
		if err != nil {
			return nil, err
		}
		siteCopy := *site // a copy, because commit resets the fields that can't change while running
		return func() error { return k.commit(cfg, &siteCopy, fileText, base.overlay) }, nil
	})
}

// keeperPart returns the part that follows the configuration of the keepers.
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
			updated := s.Keepers
			if updated.Dir != cfg.Dir {
				kept, updated.Dir = append(kept, "/keepers/dir"), cfg.Dir
			}
			if !slices.Equal(updated.Addresses, cfg.Addresses) || updated.MaxPollWaitMS != cfg.MaxPollWaitMS {
				cfg = *updated
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

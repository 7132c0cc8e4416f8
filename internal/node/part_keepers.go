package node

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"windflow/internal/configclient"
	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
	"windflow/internal/hotrestartipc"
	"windflow/internal/installation"
	"windflow/internal/settings"
	"windflow/internal/validate"
)

const (
	// msgConfiguration tells the other process of this router which revision is in force here: follow.Revision.
	msgConfiguration = "configuration"
	// startWithin bounds what the start waits for keepers.
	startWithin = 800 * time.Millisecond
)

// keepers is the configuration by revision: the router's own file, with the entries that the keepers have laid over it. What
// is in force belongs to the loop, and changes there only. Whoever wants to change it, a keeper's revision or a SIGHUP, reads
// and checks beside the loop, and begins anew if the other one was faster: neither is lost, and no mix of them is in force.
type keepers struct {
	r       *node
	path    string // of the router's own file
	client  *configclient.Client
	reloads chan struct{} // a SIGHUP that was not taken yet

	own  []byte                // the text of that file, as it is in force
	now  configclient.Revision // laid over it; 0 for nothing
	turn int                   // counts what came in force
}

// newKeepers makes what follows the keepers. The name is that of the platform's configuration, the instance another in each
// life.
func newKeepers(r *node, path string, own []byte) *keepers {
	k := &keepers{r: r, path: path, own: own, reloads: make(chan struct{}, 1)}
	k.client = configclient.New(*r.site.Keepers, r.cfg.Name, configlog.NewInstance(time.Now().UnixMilli(), rand.Uint64()), r.log)
	return k
}

// restore is the start: what the copy on the disk has, and what a keeper has that answers soon, is in force before the router
// is built. The loop does not run yet.
func (k *keepers) restore() {
	k.client.Restore(startWithin, func(rev configclient.Revision) error {
		cfg, err := k.laid(k.own, rev)
		if err == nil {
			k.r.cfg, k.now = cfg, rev
		}
		return err
	})
	k.r.log.Info("configuration at the start", "revision", k.now.Revision)
	go k.runReloads()
}

// laid checks a revision over a text of the router's own file. Its error is a *configerror.Error.
func (k *keepers) laid(own []byte, rev configclient.Revision) (*settings.Node, error) {
	cfg, err := validate.Overlay(own, rev.Entries)
	if err != nil {
		return nil, configerror.From(err)
	}
	complete(cfg)
	return cfg, nil
}

// inLoop has a thing done in the loop and waits for it; false says that the router ends.
func (k *keepers) inLoop(f func()) bool {
	done := make(chan struct{})
	k.r.loop.Post(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-k.r.stop:
		return false
	}
}

// held is what was in force when someone looked.
type held struct {
	own  []byte
	now  configclient.Revision
	turn int
}

// change has a change of what is in force prepared beside the loop, and made in it, unless another one came between: then it
// is prepared anew.
func (k *keepers) change(prepare func(held) (make func() error, err error)) error {
	for {
		var at held
		if !k.inLoop(func() { at = held{k.own, k.now, k.turn} }) {
			return configclient.ErrShuttingDown
		}
		make, err := prepare(at)
		if err != nil || make == nil {
			return err
		}
		moved := false
		if !k.inLoop(func() {
			if moved = k.turn != at.turn; !moved {
				err = make()
			}
		}) {
			return configclient.ErrShuttingDown
		}
		if !moved {
			return err
		}
	}
}

// apply brings a keeper's revision in force; it is called in the client's goroutine.
func (k *keepers) apply(rev configclient.Revision) error {
	return k.change(func(at held) (func() error, error) {
		switch {
		case rev.Revision < at.now.Revision:
			return nil, configclient.ErrSuperseded
		case rev.Revision == at.now.Revision && rev.Hash == at.now.Hash:
			return nil, nil // from the other process
		}
		cfg, err := k.laid(at.own, rev)
		if err != nil {
			return nil, err
		}
		return func() error {
			if err := k.put(cfg, k.r.site, at.own, rev); err != nil {
				return configerror.Invalidf("", "%s", err)
			}
			return nil
		}, nil
	})
}

// put brings a configuration in force, in the loop, and tells the other process of this router.
func (k *keepers) put(cfg *settings.Node, s *installation.Settings, own []byte, rev configclient.Revision) error {
	if k.r.core == nil {
		k.r.cfg, k.r.site = cfg, s // it has nothing yet that goes by others
	} else if err := k.r.configure(cfg, s); err != nil {
		return err
	}
	later := rev.Revision > k.now.Revision
	k.own, k.now = own, rev
	k.turn++
	if later {
		k.r.log.Info("configuration in force", "revision", rev.Revision, "entries", len(rev.Entries))
		k.r.tell(msgConfiguration, rev)
	}
	return nil
}

// adopt takes a later revision that is in force in the other process. It is checked here and now, in the loop: this process
// may be about to accept clients, which the other one has served by it.
func (k *keepers) adopt(rev configclient.Revision) {
	if rev.Revision <= k.now.Revision {
		return
	}
	if configlog.HashEntries(rev.Entries) != rev.Hash {
		k.r.log.Error("the other process's configuration is damaged", "revision", rev.Revision)
		return
	}
	cfg, err := k.laid(k.own, rev)
	if err == nil {
		err = k.put(cfg, k.r.site, k.own, rev)
	}
	if err != nil {
		k.r.log.Error("the other process's configuration can't be in force here", "revision", rev.Revision, "err", err)
		return
	}
	k.client.SetInForce(rev)
}

// reload has the router's own file read again. It does not wait.
func (k *keepers) reload() {
	select {
	case k.reloads <- struct{}{}:
	default: // one that was not taken yet reads the file as it is now
	}
}

// runReloads reads the files again each time that this is asked for, and lays the entries in force over the router's own.
func (k *keepers) runReloads() {
	for {
		select {
		case <-k.reloads:
		case <-k.r.stop:
			return
		}
		cfg, own, err := readOwn(k.path)
		var s *installation.Settings
		if err == nil {
			s, err = readSite(k.r.opts.Settings)
			if _, err := growTable(cfg.Limits.Sockets); err != nil {
				k.r.log.Warn("the table of descriptors was not grown", "err", err)
			}
		}
		if err == nil {
			err = k.change(func(at held) (func() error, error) {
				cfg, err := k.laid(own, at.now)
				if err != nil {
					return nil, err
				}
				copied := *s // configure keeps in it what can't change
				return func() error { return k.put(cfg, &copied, own, at.now) }, nil
			})
		}
		if errors.Is(err, configclient.ErrShuttingDown) {
			return
		}
		if err != nil {
			k.r.log.Error("reload refused", "file", k.path, "err", err)
			continue
		}
		k.client.Retry() // what was refused may fit now
	}
}

// keepersPart follows the keepers of the configuration.
func keepersPart(r *node) *part {
	k := r.keepers
	if k == nil {
		return nil
	}
	cfg := *r.site.Keepers
	return &part{
		name:        "keepers",
		descriptors: 4, // a connection to a keeper, the copy that is read and the one that is written, and their folder
		start: func(bounds) error {
			k.client.Start(k.apply)
			return nil
		},
		configure: func(s *installation.Settings, _ bounds) (kept []string) {
			now := s.Keepers
			if now.Dir != cfg.Dir {
				kept, now.Dir = append(kept, "/keepers/dir"), cfg.Dir
			}
			if !slices.Equal(now.Addresses, cfg.Addresses) || now.MaxPollWaitMS != cfg.MaxPollWaitMS {
				cfg = *now
				k.client.Configure(cfg)
			}
			return kept
		},
		counters: func() []counted { return []counted{{"keepers", &k.client.Counters}} },
		stop:     k.client.Stop,
		sharing: func(with *hotrestartipc.Link) {
			if with != nil && k.now.Revision > 0 {
				with.Send(hotrestartipc.NewMessage(msgConfiguration, k.now))
			}
		},
		hear: map[string]func(*hotrestartipc.Link, *hotrestartipc.Message) error{
			msgConfiguration: func(_ *hotrestartipc.Link, m *hotrestartipc.Message) error {
				var rev configclient.Revision
				if err := m.Decode(&rev); err != nil {
					return err
				}
				k.adopt(rev)
				return nil
			},
		},
	}
}

package node

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"syscall"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/netio"
)

// accept has clients come in, for the first time or again.
func (r *node) accept() {
	if r.core == nil {
		if err := r.build(); err != nil {
			r.fail(err)
			return
		}
	}
	for which := range r.idle {
		if !slices.Contains(r.took, which) {
			r.took = append(r.took, which)
		}
	}
	r.openIdle()
	if r.place != nil {
		if err := r.place.PublishToLegacy(); err != nil {
			r.log.Warn("a process of version 1 would not find this one", "err", err)
		}
	}
	if len(r.missing) == 0 {
		r.log.Info("ready", "listen", r.clientsAt, "engines", r.core.ListedEngines(), "phase", r.machine.Phase().String())
	} else {
		r.log.Warn("addresses are held by a process that does not answer", "listeners", r.missing)
		r.loop.After(bindEvery, r.bindAgain)
	}
}

// bindAgain tries for the addresses that a process which hangs has not given up.
func (r *node) bindAgain() {
	if len(r.missing) == 0 || r.failed != nil {
		return
	}
	if r.openMissing(); len(r.missing) > 0 {
		r.loop.After(bindEvery, r.bindAgain)
		return
	}
	r.log.Info("ready", "listen", r.clientsAt, "phase", r.machine.Phase().String())
}

func (r *node) openMissing() {
	missing := r.missing
	r.missing = nil
	for _, l := range r.listeners() {
		if !slices.Contains(missing, l.name) {
			continue
		}
		if err := r.provide(l); err != nil {
			r.fail(err)
			return
		}
	}
	if r.machine.Accepts() {
		r.openIdle()
	}
}

// openIdle accepts on all listeners that it has.
func (r *node) openIdle() {
	for _, l := range r.listeners() {
		if lis := r.idle[l.name]; lis != nil {
			l.accept(lis)
		}
	}
	clear(r.idle)
	if len(r.missing) == 0 {
		r.tellReady()
	}
}

// listenerFile gives a copy of a listener's descriptor.
func (r *node) listenerFile(l listening) (*os.File, error) {
	if lis := r.idle[l.name]; lis != nil {
		return netio.ListenerFile(lis)
	}
	return l.file()
}

// yield stops accepting where the other process does. What it takes to accept again is kept, in case that ends first.
func (r *node) yield() {
	for _, l := range r.listeners() {
		if r.idle[l.name] != nil || !slices.Contains(r.theyTook, l.name) {
			continue
		}
		f, err := r.listenerFile(l)
		if err == nil {
			r.idle[l.name], err = netio.Inherit(f)
			_ = f.Close()
		}
		if err != nil {
			delete(r.idle, l.name)
			r.log.Warn("a listener can't be kept", "listener", l.name, "err", err)
		}
		l.pause()
	}
	r.log.Info("the other process accepts", "listeners", r.theyTook, "sessions", r.front.Sessions(), "open", r.core.OpenRequests())
}

// provide gets a listener: the socket that the platform passed on, for clients; else the one of the process that this one
// takes over from, where the address is the same; else one of its own.
func (r *node) provide(l listening) error {
	lis, shared, err := r.listener(l)
	if errors.Is(err, syscall.EADDRINUSE) && r.machine.Phase() == hotrestart.PhaseDegraded {
		r.missing = append(r.missing, l.name)
		return nil
	}
	if err != nil {
		return err
	}
	if shared {
		r.took = append(r.took, l.name)
	}
	switch l.name {
	case listenDoor: // heard at once: an operator may ask whether it is ready
		l.accept(lis)
		return nil
	case listenClients:
		r.clientsAt = lis.Addr().String()
	}
	r.idle[l.name] = lis
	return nil
}

// listener gives where to accept, and whether another process accepts there too.
func (r *node) listener(l listening) (lis net.Listener, shared bool, err error) {
	if fd := os.Getenv(passedEnv); fd != "" && l.name == listenClients {
		n, err := strconv.Atoi(fd)
		if err != nil || n < 3 {
			return nil, false, fmt.Errorf("%s: %q is no descriptor", passedEnv, fd)
		}
		syscall.CloseOnExec(n)
		r.passed = os.NewFile(uintptr(n), "passed socket")
		if lis, err = netio.Inherit(r.passed); err != nil {
			return nil, false, fmt.Errorf("%s: descriptor %d: %w", passedEnv, n, err)
		}
		return lis, true, nil
	}
	if f := r.files[l.name]; f != nil && r.handed.At[l.name] == l.addr {
		if lis, err = netio.Inherit(f); err == nil {
			return lis, true, nil
		}
		r.log.Warn("a listener that was handed over can't be used", "field", l.field, "err", err)
	}
	bind := func() (err error) {
		lis, err = netio.Listen(l.addr)
		return err
	}
	if r.machine.Phase() == hotrestart.PhaseDegraded { // its holder hangs, and the loop has requests to serve
		err = bind()
	} else {
		err = retry(bind)
	}
	if err != nil {
		return nil, false, fmt.Errorf("field %s: %w", l.field, err)
	}
	return lis, false, nil
}

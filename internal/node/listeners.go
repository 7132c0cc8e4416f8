package node

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"syscall"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/netio"
	"windflow/internal/router"
)

// passedSocketEnv names the variable with the number of the clients' socket, where the platform holds that.
const passedSocketEnv = "PROXY_PASSED_SOCKET"

// bindRetryMS is how often an address is tried that a process which hangs has not released.
const bindRetryMS = 250.0

// The names of listeners between processes.
const (
	clientListener = "clients"
	flightListener = "flight"
	adminListener  = "door"
)

// acceptor is an address at which a router accepts.
type acceptor struct {
	name    string // between processes
	field   string // of the settings
	address string
	accept  func(net.Listener)       // for the first time or again; it takes the listener over
	file    func() (*os.File, error) // a copy of its descriptor
	pause   func()                   // accept no more; what is open stays
}

// listeners are the sockets on which the router accepts: opened, inherited from a predecessor, or passed on by the
// platform.
type listeners struct {
	log       *slog.Logger
	loop      *router.Loop
	life      *lifecycle
	machine   *hotrestart.Machine
	received  *handover // what a predecessor has sent
	acceptors func() []acceptor

	idle           map[string]net.Listener // listeners on which this process does not accept, by name
	missing        []string                // listeners whose address can't be had yet
	taken          []string                // listeners on which another process accepts too, or did
	platformSocket *os.File                // the clients' socket, where the platform holds it
	clients        *netio.Listener         // on which clients are accepted; nil until then
	clientsAddress string
	listedEngines  func() int // for the log
}

// open gets all listeners; none accepts clients yet.
func (l *listeners) open() error {
	for _, acceptor := range l.acceptors() {
		if err := l.prepare(acceptor); err != nil {
			return err
		}
	}
	return nil
}

// accept has clients come in, for the first time or again.
func (l *listeners) accept() {
	for name := range l.idle {
		if !slices.Contains(l.taken, name) {
			l.taken = append(l.taken, name)
		}
	}
	l.acceptIdle()
}

// reportReady logs that clients are accepted, or tries for the addresses that are missing.
func (l *listeners) reportReady() {
	if len(l.missing) == 0 {
		l.log.Info("ready", "listen", l.clientsAddress, "engines", l.listedEngines(), "phase", l.machine.Phase().String())
		return
	}
	l.log.Warn("listener addresses in use", "listeners", l.missing)
	l.loop.After(bindRetryMS, l.retryMissing)
}

// incomplete reports whether the address of a listener can't be had yet.
func (l *listeners) incomplete() bool { return len(l.missing) > 0 }

// retryMissing tries to bind the addresses that a process which hangs has not released.
func (l *listeners) retryMissing() {
	if len(l.missing) == 0 || l.life.failed() {
		return
	}
	if l.openMissing(); len(l.missing) > 0 {
		l.loop.After(bindRetryMS, l.retryMissing)
		return
	}
	l.log.Info("ready", "listen", l.clientsAddress, "phase", l.machine.Phase().String())
}

// openMissing gets the listeners whose address could not be had before.
func (l *listeners) openMissing() {
	missing := l.missing
	l.missing = nil
	for _, acceptor := range l.acceptors() {
		if !slices.Contains(missing, acceptor.name) {
			continue
		}
		if err := l.prepare(acceptor); err != nil {
			l.life.fail(err)
			return
		}
	}
	if l.machine.Accepts() {
		l.acceptIdle()
	}
}

// acceptIdle accepts on all listeners that it has.
func (l *listeners) acceptIdle() {
	for _, acceptor := range l.acceptors() {
		if idle := l.idle[acceptor.name]; idle != nil {
			acceptor.accept(idle)
		}
	}
	clear(l.idle)
	if len(l.missing) > 0 {
		return
	}
	if err := notifyReady(l.log); err != nil {
		l.life.fail(err)
	}
}

// fileOf returns a copy of a listener's descriptor.
func (l *listeners) fileOf(acceptor acceptor) (*os.File, error) {
	if idle := l.idle[acceptor.name]; idle != nil {
		return netio.ListenerFile(idle)
	}
	return acceptor.file()
}

// export adds the listeners to the state for a successor, and returns copies of their descriptors. The clients'
// socket is left out where the platform passes it on itself.
func (l *listeners) export(state *stateMessage) (files []*os.File) {
	state.Addresses = map[string]string{}
	for _, acceptor := range l.acceptors() {
		if acceptor.name == clientListener && l.platformSocket != nil {
			continue
		}
		file, err := l.fileOf(acceptor)
		if err != nil {
			l.log.Warn("listener handover failed", "listener", acceptor.name, "error", err)
			continue
		}
		files = append(files, file)
		state.Listeners = append(state.Listeners, acceptor.name)
		state.Addresses[acceptor.name] = acceptor.address
	}
	return files
}

// release stops accepting where the other process does. What it takes to accept again is kept, in case that ends first.
func (l *listeners) release(taken []string) {
	for _, acceptor := range l.acceptors() {
		if l.idle[acceptor.name] != nil || !slices.Contains(taken, acceptor.name) {
			continue
		}
		file, err := l.fileOf(acceptor)
		if err == nil {
			l.idle[acceptor.name], err = netio.Inherit(file)
			_ = file.Close()
		}
		if err != nil {
			delete(l.idle, acceptor.name)
			l.log.Warn("listener retention failed", "listener", acceptor.name, "error", err)
		}
		acceptor.pause()
	}
}

// provide gets one listener. That of operators accepts at once: a check of readiness may come early. An address
// that a process which hangs has bound is missing for now.
func (l *listeners) prepare(acceptor acceptor) error {
	opened, shared, err := l.listen(acceptor)
	if errors.Is(err, syscall.EADDRINUSE) && l.machine.Phase() == hotrestart.PhaseDegraded {
		l.missing = append(l.missing, acceptor.name)
		return nil
	}
	if err != nil {
		return err
	}
	if shared {
		l.taken = append(l.taken, acceptor.name)
	}
	switch acceptor.name {
	case adminListener:
		acceptor.accept(opened)
		return nil
	case clientListener:
		l.clientsAddress = opened.Addr().String()
	}
	l.idle[acceptor.name] = opened
	return nil
}

// listen returns the socket that the platform passed on, for clients; else that of the predecessor, where the address
// is the same; else one of its own. shared reports whether another process accepts there too.
func (l *listeners) listen(acceptor acceptor) (opened net.Listener, shared bool, err error) {
	if descriptor := os.Getenv(passedSocketEnv); descriptor != "" && acceptor.name == clientListener {
		opened, err = l.passedSocket(descriptor)
		return opened, err == nil, err
	}
	file := l.received.files[acceptor.name]
	if file != nil && l.received.state.Addresses[acceptor.name] == acceptor.address {
		if opened, err = netio.Inherit(file); err == nil {
			return opened, true, nil
		}
		l.log.Warn("inherited listener unusable", "field", acceptor.field, "error", err)
	}
	bind := func() (err error) {
		opened, err = netio.Listen(acceptor.address)
		return err
	}
	if l.machine.Phase() == hotrestart.PhaseDegraded { // its holder hangs, and the loop has requests to serve
		err = bind()
	} else {
		err = retry(bind)
	}
	if err != nil {
		return nil, false, fmt.Errorf("field %s: %w", acceptor.field, err)
	}
	return opened, false, nil
}

// passedSocket returns the clients' listener of the platform, by the text of its descriptor.
func (l *listeners) passedSocket(descriptor string) (net.Listener, error) {
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < firstPassedDescriptor {
		return nil, fmt.Errorf("%s: %q is no descriptor", passedSocketEnv, descriptor)
	}
	syscall.CloseOnExec(fd)
	l.platformSocket = os.NewFile(uintptr(fd), "passed socket")
	opened, err := netio.Inherit(l.platformSocket)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", passedSocketEnv, fd, err)
	}
	return opened, nil
}

// closeClients accepts no client any more. Those accepted before are served; a new one is rejected at once.
func (l *listeners) closeClients() {
	if l.clients != nil {
		l.clients.Close()
	}
}

// close closes what this process does not accept on.
func (l *listeners) close() {
	for _, idle := range l.idle {
		_ = idle.Close()
	}
	if l.platformSocket != nil {
		_ = l.platformSocket.Close()
	}
}

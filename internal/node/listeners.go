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

// passedSocketEnv is the environment variable with the descriptor number of the listening socket for clients, set if
// the platform opens that socket and passes it on.
const passedSocketEnv = "PROXY_PASSED_SOCKET"

// bindRetryMS is the pause between attempts to bind an address that a hanging process has not released.
const bindRetryMS = 250.0

// Names of listeners in messages between the processes of a router.
const (
	clientListener = "clients"
	flightListener = "flight"
	adminListener  = "door"
)

// acceptor is an address at which a router accepts connections, with the server behind it.
type acceptor struct {
	name    string // in messages between processes
	field   string // of the settings, for messages
	address string
	accept  func(net.Listener)       // starts or resumes accepting; it takes ownership of the listener
	file    func() (*os.File, error) // returns a copy of the listener's descriptor
	pause   func()                   // stops accepting; open connections stay
}

// listeners holds the sockets on which the router accepts: opened by this process, inherited from its predecessor, or
// passed on by the platform.
type listeners struct {
	log       *slog.Logger
	loop      *router.Loop
	life      *lifecycle
	machine   *hotrestart.Machine
	received  *handover // from the predecessor
	acceptors func() []acceptor

	idle           map[string]net.Listener // listeners on which this process does not accept, by name
	missing        []string                // names of listeners whose address is still in use by another process
	taken          []string                // names of listeners that another process has open too, or had
	platformSocket *os.File                // the clients' listening socket, if the platform passed it on
	clients        *netio.Listener         // the listener for clients; nil until the process accepts
	clientsAddress string
	listedEngines  func() int // number of known engines, for the log
}

// open obtains all listeners. Only the admin API accepts already.
func (l *listeners) open() error {
	for _, acceptor := range l.acceptors() {
		if err := l.prepare(acceptor); err != nil {
			return err
		}
	}
	return nil
}

// accept starts or resumes accepting on all listeners.
func (l *listeners) accept() {
	for name := range l.idle {
		if !slices.Contains(l.taken, name) {
			l.taken = append(l.taken, name)
		}
	}
	l.acceptIdle()
}

// reportReady logs that the router accepts at all addresses, or else retries to bind the missing ones.
func (l *listeners) reportReady() {
	if len(l.missing) == 0 {
		l.log.Info("ready", "listen", l.clientsAddress, "engines", l.listedEngines(), "phase", l.machine.Phase().String())
		return
	}
	l.log.Warn("listener addresses in use", "listeners", l.missing)
	l.loop.After(bindRetryMS, l.retryMissing)
}

// incomplete reports whether the address of a listener is still in use by another process.
func (l *listeners) incomplete() bool { return len(l.missing) > 0 }

// retryMissing tries repeatedly to bind the addresses that a hanging process has not released.
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

// openMissing tries once more to obtain the listeners whose address was in use before.
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

// acceptIdle accepts on all idle listeners, and reports readiness to a supervisor once no listener is missing.
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

// fileOf returns a copy of a listener's descriptor, whether the process accepts on it or not.
func (l *listeners) fileOf(acceptor acceptor) (*os.File, error) {
	if idle := l.idle[acceptor.name]; idle != nil {
		return netio.ListenerFile(idle)
	}
	return acceptor.file()
}

// export adds the listeners to the state for a successor, and returns copies of their descriptors in the same order.
// The listener for clients is left out if the platform passes its socket to each process.
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

// release stops accepting on the listeners that the other process has taken. It keeps a descriptor of each, to accept
// again if the other process ends first.
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

// prepare obtains the listener of one acceptor. The admin API accepts at once, since a readiness check may arrive
// early; the others stay idle. If a hanging process holds the address, the listener is recorded as missing.
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

// listen returns, for clients, the socket that the platform passed on, if there is one. Otherwise it returns the
// listener inherited from the predecessor, if that has the same address, or else a new one. shared reports whether
// another process may accept on the same socket.
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
	if l.machine.Phase() == hotrestart.PhaseDegraded { // its holder hangs; waiting would block the loop
		err = bind()
	} else {
		err = retry(bind)
	}
	if err != nil {
		return nil, false, fmt.Errorf("field %s: %w", acceptor.field, err)
	}
	return opened, false, nil
}

// passedSocket returns the listener for clients that the platform passed on. descriptor is the value of
// passedSocketEnv; it has to be the number of an open listening socket.
func (l *listeners) passedSocket(descriptor string) (net.Listener, error) {
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < firstPassedDescriptor {
		return nil, fmt.Errorf("%s: invalid descriptor %q: expected a number of at least %d",
			passedSocketEnv, descriptor, firstPassedDescriptor)
	}
	syscall.CloseOnExec(fd)
	l.platformSocket = os.NewFile(uintptr(fd), "passed socket")
	opened, err := netio.Inherit(l.platformSocket)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", passedSocketEnv, fd, err)
	}
	return opened, nil
}

// closeClients closes the listener for clients. Accepted connections are still served; new ones are refused at once.
func (l *listeners) closeClients() {
	if l.clients != nil {
		l.clients.Close()
	}
}

// close closes the listeners on which this process does not accept.
func (l *listeners) close() {
	for _, idle := range l.idle {
		_ = idle.Close()
	}
	if l.platformSocket != nil {
		_ = l.platformSocket.Close()
	}
}

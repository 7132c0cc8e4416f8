package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"windflow/internal/handover"
	"windflow/internal/router"
	"windflow/internal/settings"
)

// predecessor is the process that this one takes over from. A nil one is none.
type predecessor struct {
	link    *handover.Link
	state   state
	files   map[string]*os.File
	took    []string // the listeners whose descriptors are in use
	mu      sync.Mutex
	deliver func(handover.Message) // nil until the node is there
	end     func()
	queue   []handover.Message
	ended   bool
}

func (p *predecessor) connection() *handover.Link {
	if p == nil {
		return nil
	}
	return p.link
}

func (p *predecessor) nextGeneration() uint8 {
	if p == nil {
		return 0
	}
	return (p.state.Generation + 1) % 16
}

func (p *predecessor) has(part string) bool {
	if p == nil {
		return false
	}
	for _, have := range p.state.Parts {
		if have == part {
			return true
		}
	}
	return false
}

// leave ends a takeover that came to nothing.
func (p *predecessor) leave() {
	if p != nil {
		p.link.Close()
	}
}

// hear keeps what comes before the node is there.
func (p *predecessor) hear(m handover.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.deliver == nil {
		p.queue = append(p.queue, m)
		return
	}
	p.deliver(m)
}

func (p *predecessor) gone(error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended = true; p.end != nil {
		p.end()
	}
}

// attach hands what came, and what comes, to the node.
func (p *predecessor) attach(deliver func(handover.Message), end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver, p.end = deliver, end
	for _, m := range p.queue {
		deliver(m)
	}
	p.queue = nil
	if p.ended {
		end()
	}
}

// meeting is where the processes of this router find each other.
func meeting(cfg *settings.Node) (string, error) {
	return handover.Path(os.TempDir(), cfg.Name+" "+cfg.Listen)
}

// findPredecessor asks the process that serves as this router, if one does, for its state.
func findPredecessor(cfg *settings.Node, loop *router.Loop, log *slog.Logger) *predecessor {
	path, err := meeting(cfg)
	if err != nil {
		log.Warn("no upgrades", "err", err)
		return nil
	}
	conn, err := handover.Dial(path, stateWithin)
	if err != nil {
		return nil // nobody is there, as after a plain restart
	}
	p := &predecessor{files: map[string]*os.File{}}
	got := make(chan handover.Message, 1)
	ended := make(chan error, 1)
	p.link = handover.Start(conn, func(m handover.Message) {
		if m.Kind == msgState {
			select {
			case got <- m:
			default:
			}
			return
		}
		p.hear(m)
	}, func(err error) {
		ended <- err
		p.gone(err)
	}, log)
	p.link.Send(handover.New(msgHello, hello{PID: os.Getpid()}))
	select {
	case m := <-got:
		err = m.Read(&p.state)
		if err == nil && len(m.Files) != len(p.state.Listeners) {
			err = errors.New("the descriptors don't match the listeners")
		}
		for i, f := range m.Files {
			if err == nil {
				p.files[p.state.Listeners[i]] = f
			} else {
				_ = f.Close()
			}
		}
	case err = <-ended:
	case <-time.After(stateWithin):
		err = errors.New("the process that serves does not answer")
	}
	if err != nil {
		log.Warn("no takeover", "err", err)
		p.link.Close()
		return nil
	}
	return p
}

// listener gives where to accept: the socket that the platform passed on, for clients; else the one of the process that
// this one takes over from, where the address is the same; else one of its own.
func (r *node) listener(old *predecessor, which, field, addr string) (net.Listener, error) {
	if fd := os.Getenv(passedEnv); fd != "" && which == listenClients {
		n, err := strconv.Atoi(fd)
		if err != nil || n < 3 {
			return nil, fmt.Errorf("%s: %q is no descriptor", passedEnv, fd)
		}
		syscall.CloseOnExec(n)
		r.passed = os.NewFile(uintptr(n), "passed socket")
		lis, err := net.FileListener(r.passed)
		if err != nil {
			return nil, fmt.Errorf("%s: descriptor %d: %w", passedEnv, n, err)
		}
		if old != nil {
			old.took = append(old.took, which)
		}
		return lis, nil
	}
	if old != nil && old.files[which] != nil && old.state.At[which] == addr {
		lis, err := net.FileListener(old.files[which])
		if err == nil {
			old.took = append(old.took, which)
			return lis, nil
		}
		r.log.Warn("a listener that was handed over can't be used", "field", field, "err", err)
	}
	var lis net.Listener
	err := retry(func() (err error) {
		lis, err = net.Listen("tcp", addr)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("field %s: %w", field, err)
	}
	return lis, nil
}

package netio

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// inherited is a listener whose socket other processes accept on, too. The standard library's is not used for it. Whether a
// socket blocks is a property that all of them share, and net.FileListener, as os.File.Fd and what rests on it, makes the
// socket block for a moment: an accept in any process that falls into it waits in the kernel, and the listener's Close
// then waits for that accept. It guards against a loop that stood still, and an upgrade that came to nothing, until the
// next client happened to come.
type inherited struct {
	f    *os.File
	raw  syscall.RawConn
	addr net.Addr
	done atomic.Bool
}

// Inherit gives a listener on a socket that may be shared with other processes; f stays the caller's.
func Inherit(f *os.File) (net.Listener, error) {
	raw, err := f.SyscallConn()
	if err != nil {
		return nil, err
	}
	l := &inherited{}
	var bad error
	err = raw.Control(func(fd uintptr) {
		var name syscall.Sockaddr
		if name, bad = syscall.Getsockname(int(fd)); bad != nil {
			return
		}
		if l.addr = tcpAddr(name); l.addr == nil {
			bad = errors.New("no TCP socket")
			return
		}
		if on, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
			bad = errors.New("it does not listen")
			return
		}
		l.f, bad = dup(int(fd), f.Name())
	})
	if err = errors.Join(err, bad); err != nil {
		return nil, fmt.Errorf("%s: %w", f.Name(), err)
	}
	l.raw, err = l.f.SyscallConn()
	return l, err
}

// dup copies a descriptor, for use with the runtime's poller.
func dup(fd int, name string) (*os.File, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	n, err := syscall.Dup(fd)
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(n)
	if err := syscall.SetNonblock(n, true); err != nil {
		_ = syscall.Close(n)
		return nil, err
	}
	return os.NewFile(uintptr(n), name), nil
}

func tcpAddr(name syscall.Sockaddr) net.Addr {
	switch a := name.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	}
	return nil
}

// Accept implements net.Listener.
func (l *inherited) Accept() (net.Conn, error) {
	var fd int
	var bad error
	err := l.raw.Read(func(of uintptr) bool {
		for {
			// Another process may have made the socket block since.
			_ = syscall.SetNonblock(int(of), true)
			fd, _, bad = syscall.Accept4(int(of), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if bad != syscall.EINTR && bad != syscall.ECONNABORTED {
				return bad != syscall.EAGAIN
			}
		}
	})
	if err != nil && l.done.Load() {
		return nil, net.ErrClosed
	}
	if err = errors.Join(err, bad); err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "client")
	defer f.Close()
	return net.FileConn(f) // nobody else has this one
}

// Close implements net.Listener. It never waits for an accept.
func (l *inherited) Close() error {
	if !l.done.Swap(true) {
		go l.f.Close()
	}
	return nil
}

// Addr implements net.Listener.
func (l *inherited) Addr() net.Addr { return l.addr }

// File gives a copy of the descriptor.
func (l *inherited) File() (f *os.File, err error) {
	bad := l.raw.Control(func(fd uintptr) { f, err = dup(int(fd), l.f.Name()) })
	return f, errors.Join(bad, err)
}

// Listen listens at an address; the listener may be handed to another process.
func Listen(addr string) (net.Listener, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer lis.Close()
	f, err := lis.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return Inherit(f)
}

// ListenerFile gives a copy of a listener's descriptor.
func ListenerFile(lis net.Listener) (*os.File, error) {
	if l, ok := lis.(interface{ File() (*os.File, error) }); ok {
		return l.File()
	}
	return nil, errors.New("it does not listen")
}

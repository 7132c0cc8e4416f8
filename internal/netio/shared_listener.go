package netio

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

var (
	errNotTCP       = errors.New("not a TCP socket")
	errNotListening = errors.New("not a listening socket")
)

// sharedListener is a listener whose socket other processes accept on, too. The standard library's listener is not used
// for it. Whether a socket blocks is a property that all its descriptors share, and net.FileListener, as os.File.Fd and
// what builds on it, makes the socket block for a moment: an accept of any process that falls into it waits in the
// kernel, and the listener's Close then waits for that accept. The loop would stall, and a hot restart fail, until the
// next client happens to connect.
type sharedListener struct {
	file   *os.File
	raw    syscall.RawConn
	addr   net.Addr
	closed atomic.Bool
}

// Inherit returns a listener on a socket that may be shared with other processes. It copies the descriptor; the caller
// closes file.
func Inherit(file *os.File) (net.Listener, error) {
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, err
	}
	lis := &sharedListener{}
	var socketErr error
	err = raw.Control(func(fd uintptr) {
		if lis.addr, socketErr = listeningAddr(int(fd)); socketErr == nil {
			lis.file, socketErr = dupDescriptor(int(fd), file.Name())
		}
	})
	if err = errors.Join(err, socketErr); err != nil {
		return nil, fmt.Errorf("%s: %w", file.Name(), err)
	}
	lis.raw, err = lis.file.SyscallConn()
	return lis, err
}

// listeningAddr returns the address of a listening TCP socket.
func listeningAddr(fd int) (net.Addr, error) {
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	addr := tcpAddr(name)
	if addr == nil {
		return nil, errNotTCP
	}
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || listening == 0 {
		return nil, errNotListening
	}
	return addr, nil
}

// dupDescriptor copies a descriptor, for use with the runtime's poller.
func dupDescriptor(fd int, name string) (*os.File, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	duplicate, err := syscall.Dup(fd)
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(duplicate)
	if err := syscall.SetNonblock(duplicate, true); err != nil {
		_ = syscall.Close(duplicate)
		return nil, err
	}
	return os.NewFile(uintptr(duplicate), name), nil
}

// tcpAddr returns nil for a socket of another kind.
func tcpAddr(name syscall.Sockaddr) net.Addr {
	switch name := name.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: name.Addr[:], Port: name.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: name.Addr[:], Port: name.Port}
	}
	return nil
}

// Accept implements net.Listener.
func (l *sharedListener) Accept() (net.Conn, error) {
	var accepted int
	var acceptErr error
	err := l.raw.Read(func(listening uintptr) bool {
		for {
			// Another process may have made the socket block since the last accept.
			_ = syscall.SetNonblock(int(listening), true)
			accepted, _, acceptErr = syscall.Accept4(int(listening), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if acceptErr != syscall.EINTR && acceptErr != syscall.ECONNABORTED {
				return acceptErr != syscall.EAGAIN
			}
		}
	})
	if err != nil && l.closed.Load() {
		return nil, net.ErrClosed
	}
	if err = errors.Join(err, acceptErr); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(accepted), "client")
	defer file.Close()
	return net.FileConn(file) // no other process has this descriptor
}

// Close implements net.Listener. It never waits for an accept.
func (l *sharedListener) Close() error {
	if !l.closed.Swap(true) {
		go l.file.Close() // it waits for an accept that another process's call made block, and ends with that
	}
	return nil
}

// Addr implements net.Listener.
func (l *sharedListener) Addr() net.Addr { return l.addr }

// File returns a copy of the descriptor.
func (l *sharedListener) File() (file *os.File, err error) {
	controlErr := l.raw.Control(func(fd uintptr) { file, err = dupDescriptor(int(fd), l.file.Name()) })
	return file, errors.Join(controlErr, err)
}

// Listen listens at an address; the listener may be shared with another process.
func Listen(addr string) (net.Listener, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer lis.Close()
	file, err := lis.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return Inherit(file)
}

// ListenerFile returns a copy of a listener's descriptor.
func ListenerFile(lis net.Listener) (*os.File, error) {
	if l, ok := lis.(interface{ File() (*os.File, error) }); ok {
		return l.File()
	}
	return nil, errNotListening
}

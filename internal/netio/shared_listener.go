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

// sharedListener is a listener on a socket on which other processes may accept connections, too. The standard library's
// listener cannot be used for this. The blocking mode of a socket is shared by all its descriptors, and
// net.FileListener, like os.File.Fd and its callers, sets the socket to blocking mode for a moment. An accept of any
// process that starts in this moment waits in the kernel, and the Close of that listener waits for the accept. The loop
// would stall and a hot restart fail until the next client connects.
type sharedListener struct {
	file   *os.File
	raw    syscall.RawConn
	addr   net.Addr
	closed atomic.Bool
}

// Inherit returns a listener on a socket that may be shared with other processes. It duplicates the descriptor; the
// caller must close file. It fails if file is not a listening TCP socket.
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

// listeningAddr returns the address of a listening TCP socket, or errNotTCP or errNotListening for another descriptor.
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

// dupDescriptor duplicates a descriptor and sets it to non-blocking mode, so that the Go runtime's poller can use it.
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

// tcpAddr converts the address of a TCP socket. It returns nil for other address families.
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
			// Another process may have set the socket to blocking mode since the last accept.
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
	return net.FileConn(file) // safe here, because no other process shares this socket
}

// Close implements net.Listener. It does not wait for a pending accept.
func (l *sharedListener) Close() error {
	if !l.closed.Swap(true) {
		go l.file.Close() // may wait for an accept that blocks because of another process
	}
	return nil
}

// Addr implements net.Listener.
func (l *sharedListener) Addr() net.Addr { return l.addr }

// File returns a duplicate of the descriptor.
func (l *sharedListener) File() (file *os.File, err error) {
	controlErr := l.raw.Control(func(fd uintptr) { file, err = dupDescriptor(int(fd), l.file.Name()) })
	return file, errors.Join(controlErr, err)
}

// Listen returns a TCP listener at an address. The listener can be shared with other processes.
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

// ListenerFile returns a duplicate of a listener's descriptor. It fails if the listener has none.
func ListenerFile(lis net.Listener) (*os.File, error) {
	if l, ok := lis.(interface{ File() (*os.File, error) }); ok {
		return l.File()
	}
	return nil, errNotListening
}

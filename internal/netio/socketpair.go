package netio

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// newSocketPair returns the two ends of a connection within the process. It uses Unix sockets, or TCP over loopback if
// the system has no Unix sockets.
func newSocketPair() (ends [2]net.Conn, err error) {
	if ends, err = unixSocketPair(); err == nil {
		return ends, nil
	}
	return tcpSocketPair()
}

// tcpSocketPair returns the two ends of a TCP connection over loopback.
func tcpSocketPair() (ends [2]net.Conn, err error) {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return ends, err
	}
	defer lis.Close()
	if ends[0], err = net.Dial("tcp4", lis.Addr().String()); err != nil {
		return ends, err
	}
	for { // another process may connect first; its connection is closed
		if ends[1], err = lis.Accept(); err != nil {
			return ends, errors.Join(err, ends[0].Close())
		}
		if ends[1].RemoteAddr().String() == ends[0].LocalAddr().String() {
			return ends, nil
		}
		_ = ends[1].Close()
	}
}

// unixSocketPair returns two connected Unix sockets.
func unixSocketPair() (ends [2]net.Conn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return ends, os.NewSyscallError("socketpair", err)
	}
	for i, fd := range fds {
		file := os.NewFile(uintptr(fd), "socketpair")
		conn, connErr := net.FileConn(file)
		_ = file.Close()
		if err = errors.Join(err, connErr); connErr == nil {
			ends[i] = conn
		}
	}
	if err == nil {
		return ends, nil
	}
	for _, conn := range ends {
		if conn != nil {
			_ = conn.Close()
		}
	}
	return [2]net.Conn{}, err
}

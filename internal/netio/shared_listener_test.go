package netio

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestSharedListenerNeverBlocks checks that an accept does not wait in the kernel, nor a Close for that accept, while
// another process repeatedly sets the shared socket to blocking mode, as net.FileListener does, and accepts connections
// from the same queue.
func TestSharedListenerNeverBlocks(t *testing.T) {
	lis, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f, err := ListenerFile(lis)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := f.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	setBlocking := func(on bool) { _ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), !on) }) }
	var accepted sync.WaitGroup
	accepted.Add(20)
	ended := make(chan error)
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				ended <- err
				return
			}
			_ = c.Close()
			accepted.Done()
		}
	}()
	for range 20 {
		setBlocking(true)
		c, err := net.DialTimeout("tcp", lis.Addr().String(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
		setBlocking(false)
	}
	accepted.Wait()
	setBlocking(true)
	_ = lis.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	// The other process can still accept connections.
	inherited, err := Inherit(f)
	if err != nil {
		t.Fatal(err)
	}
	defer inherited.Close()
	c, err := net.DialTimeout("tcp", inherited.Addr().String(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if serverConn, err := inherited.Accept(); err != nil || serverConn.RemoteAddr().String() != c.LocalAddr().String() {
		t.Errorf("accepted connection %v with error %v, want the one from %v", serverConn, err, c.LocalAddr())
	}
}

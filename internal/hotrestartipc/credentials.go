package hotrestartipc

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// errOtherUser is returned for a peer process that runs as another user.
var errOtherUser = errors.New("the other process belongs to another user")

// checkSameUser returns an error if the peer runs neither as this process's user nor as root. Other users may be able
// to connect, since the folder of the sockets may be shared.
func checkSameUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var credentials *syscall.Ucred
	var credentialsErr error
	if err := raw.Control(func(fd uintptr) {
		credentials, credentialsErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if credentialsErr != nil {
		return fmt.Errorf("read the other process's credentials: %w", credentialsErr)
	}
	if int(credentials.Uid) != os.Getuid() && credentials.Uid != 0 {
		return fmt.Errorf("%w: uid %d, want %d or 0", errOtherUser, credentials.Uid, os.Getuid())
	}
	return nil
}

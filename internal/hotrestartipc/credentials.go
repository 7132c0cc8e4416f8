package hotrestartipc

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// errOtherUser ends a link to a process of another user.
var errOtherUser = errors.New("the other process belongs to another user")

// checkSameUser rejects a peer of another user than this process's or root, where the folder is shared.
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
		return fmt.Errorf("%w: %d", errOtherUser, credentials.Uid)
	}
	return nil
}

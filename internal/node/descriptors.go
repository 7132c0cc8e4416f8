package node

import (
	"syscall"

	"golang.org/x/sys/unix"

	_ "windflow/internal/descriptors"
)

// maxTableSize bounds how far the table of descriptors is grown ahead: 64 Ki of them take 512 KB of the kernel's
// memory, which counts against the process's limit, and no router has nearly so many.
const maxDescriptorTableSize = 1 << 16

// growTable makes the kernel grow the process's table of descriptors once, up to the limit that is in force. Package
// descriptors made room for the usual limits before there were threads, and this one is done at once then. A limit
// beyond those, at the start or in a reload, costs the wait that is explained there, here and not in the loop; the
// start does not wait for it.
//
// sockets is the configuration's limit, 0 for none. A failure costs nothing but the growth.
func growDescriptorTable(sockets int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	size := requiredTableSize(sockets, limit.Cur)
	// Any descriptor will do for a moment; which of the three is open is up to whoever started the process.
	for _, fd := range []int{syscall.Stderr, syscall.Stdout, syscall.Stdin} {
		if last, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, size-1); err == nil {
			return unix.Close(last)
		}
	}
	return syscall.EBADF
}

// tableSize is how many descriptors a process can come to have: its configuration's limit, or the system's where that
// is less or there is no other.
func requiredTableSize(sockets int, limit uint64) int {
	size := maxDescriptorTableSize
	if sockets > 0 {
		size = min(size, sockets)
	}
	return int(max(min(uint64(size), limit), 1))
}

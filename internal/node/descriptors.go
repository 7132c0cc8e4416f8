package node

import (
	"syscall"

	"golang.org/x/sys/unix"

	_ "windflow/internal/descriptors"
)

// mostDescriptors bounds how far the table of descriptors is grown ahead: 64 Ki of them take 512 KB of the kernel's
// memory, which counts against the process's limit, and no router comes near so many.
const mostDescriptors = 1 << 16

// growTable has the kernel grow the process's table of descriptors once, up to the limit that is in force. Package descriptors
// made room for the usual limits before there were threads, and this one is done at once then. A limit beyond those, at the
// start or in a reload, costs the wait that is told there, here and not in the loop; the start does not wait for it.
//
// Sockets is the configuration's limit, 0 for none. It tells how many descriptors the table has room for now. A failure
// costs nothing but the growth.
func growTable(sockets int) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	most := tableSize(sockets, limit.Cur)
	// Any descriptor will do for a moment; which of the three is open is not ours to say.
	for _, fd := range []int{syscall.Stderr, syscall.Stdout, syscall.Stdin} {
		if last, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, most-1); err == nil {
			return last + 1, unix.Close(last)
		}
	}
	return 0, syscall.EBADF
}

// tableSize is how many descriptors a process can come to hold: its configuration's limit, or the system's where that is
// less or there is no other.
func tableSize(sockets int, limit uint64) int {
	most := mostDescriptors
	if sockets > 0 {
		most = min(most, sockets)
	}
	return int(max(min(uint64(most), limit), 1))
}

package node

import (
	"syscall"

	"golang.org/x/sys/unix"

	_ "windflow/internal/descriptors" // grows the descriptor table before the runtime starts threads
)

// maxDescriptorTableSize is the largest size to which the table is grown in advance. 64 Ki entries take 512 KB of
// kernel memory, which counts against the process's memory limit, and no router needs nearly as many.
const maxDescriptorTableSize = 1 << 16

// growDescriptorTable makes the kernel grow the process's descriptor table to the limit in force. For the usual limits
// it returns at once, since package descriptors has grown the table before the process had threads. Growing it further,
// at the start or in a reload, blocks for the reason that package descriptors explains, so it must not be called in the
// event loop, and the start does not wait for it.
//
// sockets is the configured limit, 0 for none. After an error the table has its former size and the router works as
// before.
func growDescriptorTable(sockets int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	size := requiredTableSize(sockets, limit.Cur)
	// Duplicating any open descriptor to the highest number grows the table. Not all three need be open: that depends on
	// who started the process.
	for _, fd := range []int{syscall.Stderr, syscall.Stdout, syscall.Stdin} {
		if last, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, size-1); err == nil {
			return unix.Close(last)
		}
	}
	return syscall.EBADF
}

// requiredTableSize returns how many descriptors the process can have open: the smallest of the configured limit, the
// system's limit and maxDescriptorTableSize, and at least 1. sockets is 0 if no limit is configured.
func requiredTableSize(sockets int, limit uint64) int {
	size := maxDescriptorTableSize
	if sockets > 0 {
		size = min(size, sockets)
	}
	return int(max(min(uint64(size), limit), 1))
}

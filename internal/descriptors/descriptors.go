// Package descriptors makes the kernel allocate the process's file descriptor table for all descriptors that the limit
// of open files allows, up to MAX_TABLE_SIZE, before the process has a second thread. Importing the package is enough.
//
// It prevents stalls of the router. The kernel grows a descriptor table by doubling it (64, 128, 256, ...). If threads
// share the table, it first waits until no processor can still read the old table: an RCU grace period, visible in
// stacks as synchronize_rcu under expand_files, which sometimes lasts seconds on a busy machine. All threads that open
// a descriptor wait for it. Since Go makes the socket call as a raw system call, these threads keep their processors
// (P) while they wait. A process with one thread does not wait. Go starts threads before any Go code of a program runs.
// The C library runs constructors before that, so the table is grown by a constructor in C.
package descriptors

/*
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

// MAX_TABLE_SIZE is the maximum size of the table that is allocated at start: 4,096 entries take 32 KB of kernel
// memory.
enum { MAX_TABLE_SIZE = 4096 };

__attribute__((constructor)) static void grow_descriptor_table(void) {
	struct rlimit limit;
	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == 0)
		return;
	int last = (limit.rlim_cur < MAX_TABLE_SIZE ? (int)limit.rlim_cur : MAX_TABLE_SIZE) - 1;
	// A descriptor is duplicated to the last position of the table, which makes the kernel allocate the table. Any open
	// descriptor will do; which of the three standard ones are open depends on the parent process.
	for (int fd = STDERR_FILENO; fd >= STDIN_FILENO; fd--) {
		int copy = fcntl(fd, F_DUPFD_CLOEXEC, last);
		if (copy >= 0) {
			close(copy);
			return;
		}
	}
}
*/
import "C"

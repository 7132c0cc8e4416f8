// Package descriptors makes the kernel allocate a process's descriptor table for all the descriptors that the process may
// use later, before the process has a second thread. Importing the package is enough.
//
// It guards against a router that stalls. The kernel grows a descriptor table by doubling it (64, 128, 256, ...).
// Where threads share the table, it first waits until no processor can still read the old one: an RCU grace period,
// seen as synchronize_rcu under expand_files, which lasts seconds now and then on a busy machine. All threads that
// open a descriptor wait behind it, and since socket is a raw system call in Go, they keep their processors. A
// process with one thread does not wait. Go starts threads before any line of a program runs; the C library runs
// constructors before that, so this one is in C.
package descriptors

/*
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

// MAX_TABLE_SIZE bounds the table that is allocated ahead: 4,096 entries take 32 KB of the kernel's memory.
enum { MAX_TABLE_SIZE = 4096 };

__attribute__((constructor)) static void grow_descriptor_table(void) {
	struct rlimit limit;
	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == 0)
		return;
	int last = (limit.rlim_cur < MAX_TABLE_SIZE ? (int)limit.rlim_cur : MAX_TABLE_SIZE) - 1;
	// Any open descriptor can be duplicated; which of the three standard ones is open depends on the parent.
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

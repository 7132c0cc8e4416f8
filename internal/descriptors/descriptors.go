// Package descriptors has the kernel make room for all the descriptors that a process may come to hold before the process
// has a second thread; importing it is enough.
//
// It guards against a router that stands still. The kernel grows a process's table of descriptors by doubling it (64, 128,
// 256, ...). Where threads share the table, it first waits until no processor can still read the old one: an RCU grace
// period, seen as synchronize_rcu under expand_files, which on a busy machine now and then lasts seconds. All that open a
// descriptor wait behind it, and socket is a raw call in Go, which keeps its processor. A process with one thread does not
// wait. Go starts threads before any line of a program runs; the C library runs constructors before that, so this one is C.
package descriptors

/*
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

// MOST bounds the table that is made ahead: 4,096 entries take 32 KB of the kernel's memory.
enum { MOST = 4096 };

__attribute__((constructor)) static void make_room(void) {
	struct rlimit limit;
	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == 0)
		return;
	int last = (limit.rlim_cur < MOST ? (int)limit.rlim_cur : MOST) - 1;
	// Any descriptor will do for a moment; which of the three is open is not ours to say.
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

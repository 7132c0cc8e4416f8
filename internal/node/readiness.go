package node

import (
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"syscall"
)

// readyEnv names the variable with the number of a descriptor that whoever started the process listens on: one line is
// written there when clients are accepted, and it is closed. It spares a supervisor or a test the polling. Without the
// variable nothing is written.
const readyEnv = "WINDFLOW_READY_FD"

const readyLine = "ready\n"

// firstPassedDescriptor follows standard input, output and error.
const firstPassedDescriptor = 3

// notifyReady writes on the descriptor of readyEnv that this process accepts, once; later calls do nothing. The loop
// does not wait for the reader. It returns an error for a number that can't be a descriptor that was passed on.
func notifyReady(log *slog.Logger) error {
	text, passed := os.LookupEnv(readyEnv)
	if !passed {
		return nil
	}
	_ = os.Unsetenv(readyEnv)
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstPassedDescriptor {
		return fmt.Errorf("%s: %q is no descriptor", readyEnv, text)
	}
	syscall.CloseOnExec(fd)
	go func() { // ends with the write; a reader that never reads keeps it until the process ends
		file := os.NewFile(uintptr(fd), "readiness")
		if _, err := file.WriteString(readyLine); err != nil {
			log.Warn("readiness notification failed", "descriptor", fd, "error", err)
		}
		_ = file.Close()
	}()
	return nil
}

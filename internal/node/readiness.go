package node

import (
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"syscall"
)

// readyEnv is the environment variable with the number of a descriptor that the process was started with. One line is
// written to it once clients are accepted, and it is closed, so that a supervisor or a test need not poll. Without the
// variable nothing is written.
const readyEnv = "WINDFLOW_READY_FD"

// readyLine is the text that is written to the descriptor of readyEnv.
const readyLine = "ready\n"

// firstPassedDescriptor is the lowest number of a passed descriptor, after standard input, output and error.
const firstPassedDescriptor = 3

// notifyReady writes readyLine to the descriptor of readyEnv in a goroutine, so that it does not wait for the reader.
// Further calls have no effect. It returns an error if the variable's value can't be the number of a passed descriptor.
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
	go func() { // ends after the write, which blocks until the process exits if the reader never reads
		file := os.NewFile(uintptr(fd), "readiness")
		if _, err := file.WriteString(readyLine); err != nil {
			log.Warn("readiness notification failed", "descriptor", fd, "error", err)
		}
		_ = file.Close()
	}()
	return nil
}

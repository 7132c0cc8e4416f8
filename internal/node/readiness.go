package node

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
)

// readyEnv names the variable with the number of a descriptor that whoever started the process listens on: one line is
// written there when clients are accepted, and it is closed. It spares a supervisor or a test the asking again and again.
// Without the variable nothing is written.
const readyEnv = "WINDFLOW_READY_FD"

const readyLine = "ready\n"

// tellReady says on the descriptor of readyEnv that this process accepts, once; later calls do nothing. The loop does not
// wait for the reader. A number that can't be one handed in ends the process with an error that names the variable.
func (r *node) tellReady() {
	text, handed := os.LookupEnv(readyEnv)
	if !handed {
		return
	}
	_ = os.Unsetenv(readyEnv)
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		r.fail(fmt.Errorf("%s: %q is no descriptor", readyEnv, text))
		return
	}
	syscall.CloseOnExec(fd)
	go func() {
		f := os.NewFile(uintptr(fd), "readiness")
		_, err := f.WriteString(readyLine)
		if err != nil {
			r.log.Warn("readiness could not be told", "descriptor", fd, "err", err)
		}
		_ = f.Close()
	}()
}

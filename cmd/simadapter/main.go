// Command simadapter connects package dispatch to the simulator. It reads batches of events from standard input, one
// per line, and answers each with a line of actions on standard output. It hosts one controller per simulated router
// instance. It only converts messages; package dispatch makes the decisions.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
)

// bufferBytes is the size of the input buffer and of the output buffer.
const bufferBytes = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers each line of in with a line on out, until in ends. It stops at the first malformed batch.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferBytes)
	writer := bufio.NewWriterSize(out, bufferBytes)
	instances := newHost()
	for {
		line, err := reader.ReadBytes('\n')
		if len(line) > 0 {
			reply, err := instances.handleBatch(line)
			if err != nil {
				return err
			}
			if err := writeLine(writer, reply); err != nil {
				return fmt.Errorf("write reply: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
	}
}

// writeLine writes a line and flushes it, because the simulator waits for it.
func writeLine(writer *bufio.Writer, line []byte) error {
	if _, err := writer.Write(append(line, '\n')); err != nil {
		return err
	}
	return writer.Flush()
}

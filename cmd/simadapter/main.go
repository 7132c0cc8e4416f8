// Command simadapter speaks the simulator's protocol on standard input and output: a line with a batch of events is
// answered by a line with the resulting actions. It hosts one controller per instance. It only translates; the
// decisions are in package dispatch.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
)

// bufferBytes is the size of the buffers for input and output.
const bufferBytes = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers each batch of in with one reply on out, until in ends.
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

func writeLine(writer *bufio.Writer, line []byte) error {
	if _, err := writer.Write(append(line, '\n')); err != nil {
		return err
	}
	return writer.Flush()
}

// Command simulator-adapter hosts poolers for the simulator: it reads frames of events from standard input and writes
// frames of actions to standard output, one for each. Each pooler is a policy.Router alone.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"threadsail/internal/simulator"
)

// inputBuffer is as large as most frames.
const inputBuffer = 1 << 20

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simulator-adapter: %v\n", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends between two frames.
func serve(input io.Reader, output io.Writer) error {
	reader := bufio.NewReaderSize(input, inputBuffer)
	a := newAdapter()
	var frame []byte
	for {
		var err error
		frame, err = simulator.ReadFrame(reader, frame)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.answer(frame, output); err != nil {
			return err
		}
	}
}

// answer decodes a batch and writes its reply.
func (a *adapter) answer(frame []byte, output io.Writer) error {
	batch, err := simulator.Decode(frame)
	if err != nil {
		return err
	}
	reply, err := a.handleBatch(batch)
	if err != nil {
		return fmt.Errorf("batch %d: %w", batch.Number, err)
	}
	if _, err := output.Write(reply); err != nil {
		return fmt.Errorf("writing the reply to batch %d: %w", batch.Number, err)
	}
	return nil
}

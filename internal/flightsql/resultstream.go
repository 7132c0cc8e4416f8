package flightsql

import (
	"context"
	"fmt"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc/status"

	"windflow/internal/arrowipc"
)

const (
	// maxStreamBytes bounds the bytes of all messages of an attempt's result, after decompression. The widest column
	// types need 32 bytes for a cell; a result has at most router.MaxResultBytes cells.
	maxStreamBytes = 4 << 20
	// smallStreamBytes is the part of maxStreamBytes for which an attempt needs no place in resultLimits.
	smallStreamBytes = 64 << 10
)

// resultLimits bounds the memory for the results of all attempts together. It is safe for concurrent use.
type resultLimits struct {
	decompressor *arrowipc.Decompressor
	large        chan struct{} // has one element for each attempt whose result exceeds smallStreamBytes
}

// newResultLimits returns limits with which large results take at most the given number of bytes, or one result.
func newResultLimits(maxBytes int) (*resultLimits, error) {
	decompressor, err := arrowipc.NewDecompressor()
	return &resultLimits{
		decompressor: decompressor, large: make(chan struct{}, max(maxBytes/maxStreamBytes, 1)),
	}, err
}

// resultBudget counts what the result of one attempt takes. Its methods are for one goroutine.
type resultBudget struct {
	limits *resultLimits
	used   int
	large  bool // holds a place in limits.large
}

// take counts bytes. For the first ones above smallStreamBytes it waits until few enough other results are large.
func (b *resultBudget) take(ctx context.Context, size int) error {
	b.used += size
	if b.large || b.used <= smallStreamBytes {
		return nil
	}
	select {
	case b.limits.large <- struct{}{}:
		b.large = true
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

// release ends the attempt's use of the limits.
func (b *resultBudget) release() {
	if b.large {
		b.large = false
		<-b.limits.large
	}
}

// resultStream is a stream of Arrow messages from an engine. Recv returns only messages that Arrow decodes within the
// attempt's budget, and none that is compressed.
type resultStream struct {
	flight.FlightService_DoGetClient
	budget    *resultBudget
	inspector arrowipc.Inspector
}

// Recv implements flight.DataStreamReader.
func (s *resultStream) Recv() (*flight.FlightData, error) {
	data, err := s.FlightService_DoGetClient.Recv()
	if err != nil || len(data.DataHeader) == 0 {
		return data, err
	}
	message, err := s.inspector.Inspect(data.DataHeader, data.DataBody)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBadResponse, err)
	}
	size, err := message.DecodedBytes(maxStreamBytes - s.budget.used)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBadResponse, err)
	}
	if err := s.budget.take(s.Context(), size); err != nil {
		return nil, err
	}
	if message.Codec == arrowipc.NotCompressed {
		return data, nil
	}
	data.DataHeader, data.DataBody, err = s.inspector.Decompress(s.budget.limits.decompressor, message, size)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBadResponse, err)
	}
	return data, nil
}

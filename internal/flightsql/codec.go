package flightsql

import (
	"fmt"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // registers the codec that boundedCodec uses
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
)

// maxEndpointFields bounds the endpoints of a FlightInfo and their locations together. An empty one takes two bytes in a
// message, but some hundred in memory.
const maxEndpointFields = 1024

// Field numbers of the messages FlightInfo and FlightEndpoint in Flight.proto.
const (
	flightInfoEndpoint   = 3
	flightEndpointNested = 2 // the locations
)

// boundedCodec is gRPC's codec for protocol buffers, but rejects a FlightInfo that is large in memory for its length.
type boundedCodec struct{ encoding.CodecV2 }

func newBoundedCodec() boundedCodec { return boundedCodec{encoding.GetCodecV2("proto")} }

// Unmarshal implements encoding.CodecV2.
func (c boundedCodec) Unmarshal(data mem.BufferSlice, v any) error {
	if _, ok := v.(*flight.FlightInfo); ok {
		if err := checkEndpoints(data.Materialize()); err != nil {
			return err
		}
	}
	return c.CodecV2.Unmarshal(data, v)
}

// checkEndpoints returns an error if an encoded FlightInfo has more than maxEndpointFields endpoints and locations.
func checkEndpoints(info []byte) error {
	total := 0
	count := func([]byte) error {
		if total++; total > maxEndpointFields {
			return fmt.Errorf("flight info with more than %d endpoints and locations", maxEndpointFields)
		}
		return nil
	}
	return eachField(info, flightInfoEndpoint, func(endpoint []byte) error {
		if err := count(endpoint); err != nil {
			return err
		}
		return eachField(endpoint, flightEndpointNested, count)
	})
}

// eachField calls visit with the content of each occurrence of a length-delimited field in an encoded message.
func eachField(message []byte, wanted protowire.Number, visit func([]byte) error) error {
	for len(message) > 0 {
		number, kind, length := protowire.ConsumeTag(message)
		if length < 0 {
			return protowire.ParseError(length)
		}
		message = message[length:]
		if length = protowire.ConsumeFieldValue(number, kind, message); length < 0 {
			return protowire.ParseError(length)
		}
		if number == wanted && kind == protowire.BytesType {
			content, _ := protowire.ConsumeBytes(message)
			if err := visit(content); err != nil {
				return err
			}
		}
		message = message[length:]
	}
	return nil
}

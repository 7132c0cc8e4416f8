package flightsql

import (
	"context"
	"log/slog"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// malformedError counts a malformed call and returns its status, with the text as the message.
func malformedError(counters *Counters, text string) error {
	counters.Malformed.Add(1)
	return status.Error(codes.InvalidArgument, text)
}

// panicRecovery has gRPC interceptors that answer a call that panics as malformed. Arrow's server does not check all
// parts of a call before it uses them; a DoPut without a descriptor, for example, would otherwise end the process.
type panicRecovery struct {
	log      *slog.Logger
	counters *Counters
}

// recoverCall must be deferred by a call. After a panic it sets the call's error.
func (g *panicRecovery) recoverCall(method string, err *error) {
	if p := recover(); p != nil {
		g.log.Warn("flight sql call malformed", "method", method, "panic", p)
		*err = malformedError(g.counters, "the call lacks what it must hold, or can't be read")
	}
}

func (g *panicRecovery) unary(
	ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler,
) (reply any, err error) {
	defer g.recoverCall(info.FullMethod, &err)
	callOf(ctx).messageArrived(req)
	return next(ctx, req)
}

func (g *panicRecovery) stream(
	srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler,
) (err error) {
	defer g.recoverCall(info.FullMethod, &err)
	return next(srv, callStream{stream})
}

package keeper

import (
	"fmt"
	"net/http"

	"windflow/internal/decide/configerror"
)

// response is the response to an HTTP call, created by this keeper or received from the leader.
type response struct {
	status int
	body   any // encoded as JSON; nil for no body
}

// errorBody is the body of an error response, unless that is a configerror.Error.
type errorBody struct {
	Kind   errorKind `json:"kind"`
	Reason string    `json:"reason"`
	// Done is the effect that a failed change has had; empty for other calls.
	Done changeEffect `json:"done,omitempty"`
}

// errorKind classifies an errorBody for callers.
type errorKind string

const (
	errorMalformed  errorKind = "malformed"
	errorNoMajority errorKind = "no-majority"
	errorDisk       errorKind = "disk"
	errorBusy       errorKind = "busy"
	errorStarting   errorKind = "starting"
)

// changeEffect states what is known about the effect of a failed change.
type changeEffect string

const (
	effectNone changeEffect = "nothing"
	// effectUnknown means that the change may be committed. Repeating the call with the same id shows whether it was.
	effectUnknown changeEffect = "unknown"
)

func okResponse(body any) response { return response{http.StatusOK, body} }

func malformedResponse(format string, args ...any) response {
	return errorResponse(http.StatusBadRequest, errorMalformed, format, args...)
}

func errorResponse(status int, kind errorKind, format string, args ...any) response {
	return response{status, errorBody{Kind: kind, Reason: fmt.Sprintf(format, args...)}}
}

// unavailableResponse returns the response to a call that may succeed if it is retried, here or at another leader.
func unavailableResponse(kind errorKind, effect changeEffect, format string, args ...any) response {
	return response{
		http.StatusServiceUnavailable,
		errorBody{Kind: kind, Reason: fmt.Sprintf(format, args...), Done: effect},
	}
}

// changeErrorResponse returns the response for the error of a change or a read, with the HTTP status that fits its
// kind.
func changeErrorResponse(err *configerror.Error) response {
	switch err.Kind {
	case configerror.Conflict, configerror.IDReused:
		return response{http.StatusConflict, err}
	case configerror.Compacted:
		return response{http.StatusGone, err}
	case configerror.Invalid:
		return response{http.StatusUnprocessableEntity, err}
	default:
		return response{http.StatusUnprocessableEntity, err}
	}
}

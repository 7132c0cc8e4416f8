package keeper

import (
	"fmt"
	"net/http"

	"windflow/internal/decide/configerror"
)

// response is the answer to an HTTP call, from here or from the leader.
type response struct {
	status int
	body   any // encoded as JSON; nil for no body
}

// errorBody is the body of an error response, where it is no configerror.Error.
type errorBody struct {
	Kind   errorKind `json:"kind"`
	Reason string    `json:"reason"`
	// Done is the effect of a change; empty for other calls.
	Done changeEffect `json:"done,omitempty"`
}

// errorKind is the kind of an errorBody, as callers see it.
type errorKind string

const (
	errorMalformed  errorKind = "malformed"
	errorNoMajority errorKind = "no-majority"
	errorDisk       errorKind = "disk"
	errorBusy       errorKind = "busy"
	errorStarting   errorKind = "starting"
)

// changeEffect is the effect of a failed change.
type changeEffect string

const (
	effectNone changeEffect = "nothing"
	// effectUnknown: a repeated call with the same id returns it.
	effectUnknown changeEffect = "unknown"
)

func okResponse(body any) response { return response{http.StatusOK, body} }

func malformedResponse(format string, args ...any) response {
	return errorResponse(http.StatusBadRequest, errorMalformed, format, args...)
}

func errorResponse(status int, kind errorKind, format string, args ...any) response {
	return response{status, errorBody{Kind: kind, Reason: fmt.Sprintf(format, args...)}}
}

// unavailableResponse answers a change that another leader, or this one later, may accept.
func unavailableResponse(kind errorKind, effect changeEffect, format string, args ...any) response {
	return response{
		http.StatusServiceUnavailable,
		errorBody{Kind: kind, Reason: fmt.Sprintf(format, args...), Done: effect},
	}
}

// changeErrorResponse maps the error of a change or a query to a status.
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

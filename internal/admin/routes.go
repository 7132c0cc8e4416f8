package admin

import "strings"

// Paths of the API.
const (
	pathReady          = "/api/ready"
	pathTelemetry      = "/api/telemetry"
	pathPrefixCordon   = "/api/exclude/"
	pathPrefixUncordon = "/api/include/"
)

// HTTP methods of the API.
const (
	methodGet  = "GET"
	methodPost = "POST"
)

// handle dispatches a request to its handler; respond is called once with the response, possibly later.
func (s *Server) handle(r *request, respond func(response)) {
	if id, ok := strings.CutPrefix(r.path, pathPrefixCordon); ok {
		s.handleCordonChange(r, id, s.backend.Cordon, respond)
		return
	}
	if id, ok := strings.CutPrefix(r.path, pathPrefixUncordon); ok {
		s.handleCordonChange(r, id, s.backend.Uncordon, respond)
		return
	}
	respond(s.handleRead(r))
}

// handleCordonChange cordons or uncordons an engine by calling change, and responds once the change is in effect.
func (s *Server) handleCordonChange(r *request, id string, change func(string, func(bool)), respond func(response)) {
	if r.method != methodPost {
		respond(methodNotAllowed(methodPost))
		return
	}
	change(id, func(known bool) {
		s.log.Info("operator order", "path", r.path, "known", known)
		if !known {
			respond(response{status: statusNotFound, text: "no engine of that id was ever listed"})
			return
		}
		respond(response{status: statusOK, text: "done"})
	})
}

// handleRead returns the response to a request that changes nothing: readiness or telemetry.
func (s *Server) handleRead(r *request) response {
	switch {
	case r.path != pathReady && r.path != pathTelemetry:
		return response{
			status: statusNotFound,
			text:   "there is /api/ready, /api/telemetry, /api/exclude/ID and /api/include/ID",
		}
	case r.method != methodGet:
		return methodNotAllowed(methodGet)
	case r.path == pathTelemetry:
		return response{status: statusOK, text: s.backend.Telemetry()}
	}
	if err := s.backend.Ready(); err != nil {
		return response{status: statusServiceUnavailable, text: err.Error()}
	}
	return response{status: statusOK, text: "ready"}
}

package keeper

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"
)

// responseTimeout bounds how long writing a response to a caller may take.
const responseTimeout = 20 * time.Second

// api routes the HTTP calls of operators, followers and other keepers to the services that handle them.
type api struct {
	log         *slog.Logger
	counters    *counters
	changes     *changeService
	config      *configReader
	follow      *followService
	enrollment  *enrollment
	convergence *convergenceService
	status      *statusService
	leases      *leaseTable
	membership  *membership
	replication *replication
	bodies      *bodyLimiter
}

// endpoint handles one kind of call and returns the response. It may set headers of w but must not write to it.
type endpoint func(w http.ResponseWriter, r *http.Request) response

func (a *api) handler() http.Handler {
	endpoints := map[string]endpoint{
		"POST " + changesPath:         a.changes.handleChange,
		"POST " + revertPath:          a.changes.handleRevert,
		"GET /v1/config":              a.config.handleConfig,
		"GET /v1/revisions":           a.config.handleRevisions,
		"GET " + rolloutPath:          a.convergence.handleRollout,
		"POST /v1/follow":             a.follow.handleFollow,
		"DELETE /v1/followers/{name}": a.enrollment.handleForget,
		"GET /v1/status":              a.status.handleStatus,
		// Calls between keepers.
		"GET " + leasesPath:  a.handleLeases,
		"GET " + peerPath:    a.handlePeer,
		"GET " + leaderPath:  a.handleLeader,
		"POST " + rosterPath: a.enrollment.handleRoster,
	}
	mux := http.NewServeMux()
	for pattern, handle := range endpoints {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			a.counters.calls.Add(1)
			defer a.bodies.wrap(r)()
			a.write(w, handle(w, r))
		})
	}
	return mux
}

func (a *api) handleLeases(http.ResponseWriter, *http.Request) response {
	return okResponse(a.leases.live())
}

func (a *api) handlePeer(http.ResponseWriter, *http.Request) response {
	return okResponse(a.membership.status())
}

func (a *api) handleLeader(http.ResponseWriter, *http.Request) response {
	status, err := a.replication.leaderStatus()
	if err != nil {
		return unavailableResponse(errorNoMajority, effectNone, "%v", err)
	}
	return okResponse(status)
}

func (a *api) write(w http.ResponseWriter, result response) {
	if result.status >= http.StatusBadRequest {
		a.counters.callsRejected.Add(1)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout))
	if result.body == nil {
		w.WriteHeader(result.status)
		return
	}
	text, err := json.Marshal(result.body)
	if err != nil {
		a.log.Error("response encoding failed", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(result.status)
	_, _ = w.Write(append(text, '\n'))
}

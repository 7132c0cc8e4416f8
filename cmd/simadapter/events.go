package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"windflow/dispatch"
	"windflow/internal/settings"
)

// Names of the messages that contain an event for a controller.
const (
	messageEndpoints   = "ENDPOINTS"
	messageRequest     = "REQ"
	messageProgress    = "PROGRESS"
	messageAttemptEnd  = "ATTEMPT_END"
	messageStreaming   = "STREAMING"
	messageAborted     = "ABORTED"
	messageTimer       = "BELL"
	messageProbeResult = "PROBE_RESULT"
	messageInbox       = "INBOX"
)

var (
	states = map[string]dispatch.EndpointState{
		"live": dispatch.Live, "quiescing": dispatch.Draining, "dead": dispatch.Removed,
	}
	modes = map[string]dispatch.ListMode{
		"FULL": dispatch.ListComplete, "INCREMENTAL": dispatch.ListIncremental,
		"SAVED": dispatch.ListCached, "FAILED": dispatch.ListFailed,
	}
	outcomes = map[string]dispatch.Outcome{
		"served": dispatch.Served, "server_error": dispatch.EngineFailed,
		"turned_away": dispatch.EngineFull, "no_answer": dispatch.TimedOut, "no_connection": dispatch.ConnectFailed,
		"connection_lost": dispatch.ConnectionReset, "called_off": dispatch.Cancelled, "not_sent": dispatch.NotSent,
	}
)

// A bill is a number that encodes the work and the memory of an attempt: the work in milliseconds times billWorkFactor,
// plus the memory needed in units of billMemoryUnitMB.
const (
	billWorkFactor   = 4096
	billMemoryUnitMB = 4
)

// unknownLoad stands for a value that is missing in a load report.
const unknownLoad = -1

// wireEndpoint is an element of a REGISTER message.
type wireEndpoint struct {
	Executor  *uint64 `json:"executor"`
	Block     int     `json:"block"`
	Site      string  `json:"site"`
	Flavor    string  `json:"flavor"`
	Units     float64 `json:"units"`
	Condition string  `json:"condition"`
	BornNS    int64   `json:"born-ns"`
}

// endpoint converts the element. It fails if the executor is missing or the condition is unknown.
func (e wireEndpoint) endpoint() (dispatch.Endpoint, error) {
	if e.Executor == nil {
		return dispatch.Endpoint{}, errors.New("executor is missing")
	}
	state, err := settings.ParseEnum("condition", e.Condition, states)
	return dispatch.Endpoint{
		ID: dispatch.EngineID(*e.Executor), Cell: e.Block, Zone: e.Site, Kind: e.Flavor,
		CapacityWeight: e.Units, State: state, StartedAt: time.Duration(e.BornNS),
	}, err
}

// wireEvent has the fields of all messages that contain events. Each message uses some of them.
type wireEvent struct {
	Ref         *string            `json:"ref"`
	Sheet       int64              `json:"sheet"`
	Mode        string             `json:"mode"`
	EstimateNS  int64              `json:"estimate-ns"`
	TableGroup  *float64           `json:"table-group"`
	TimeLeftNS  int64              `json:"time-left-ns"`
	Resent      bool               `json:"resent"`
	Kind        string             `json:"kind"`
	Billing     json.RawMessage    `json:"billing"` // the tenant's name if it is a string, else no tenant
	Key         string             `json:"key"`
	WantMB      float64            `json:"want-mb"`
	Hop         int                `json:"hop"`
	What        int                `json:"what"`
	Amount      float64            `json:"amount"`
	Executor    uint64             `json:"executor"`
	Disposition string             `json:"disposition"`
	DelaySeenNS int64              `json:"delay-seen-ns"`
	Last        bool               `json:"last"`
	Bill        int64              `json:"bill"`
	Load        map[string]float64 `json:"load"`
	Tag         int64              `json:"tag"`
}

// event converts a message to an event. It returns nil for a message that a controller does not need.
func (h *host) event(name string, body json.RawMessage) (dispatch.Event, error) {
	var message wireEvent
	if err := decode(body, &message); err != nil {
		return nil, err
	}
	switch name {
	case messageEndpoints:
		return h.endpointList(&message)
	case messageTimer:
		return dispatch.TimerFired{Tag: message.Tag}, nil
	case messageProbeResult:
		return message.engineLoad(), nil
	case messageInbox:
		return nil, nil
	case messageRequest, messageProgress, messageAttemptEnd, messageStreaming, messageAborted:
		return message.requestEvent(name)
	}
	return nil, errors.New("unknown message")
}

// endpointList converts an ENDPOINTS message. It fails if the mode is unknown or the list was not registered.
func (h *host) endpointList(message *wireEvent) (dispatch.Event, error) {
	mode, err := settings.ParseEnum("field mode", message.Mode, modes)
	if err != nil {
		return nil, err
	}
	if mode == dispatch.ListFailed {
		return dispatch.EndpointList{Mode: mode}, nil
	}
	list, ok := h.lists[message.Sheet]
	if !ok {
		return nil, fmt.Errorf("field sheet: list %d was never registered", message.Sheet)
	}
	return dispatch.EndpointList{Mode: mode, Endpoints: list}, nil
}

// engineLoad converts the result of a probe. It returns nil if the result has no load report.
func (m *wireEvent) engineLoad() dispatch.Event {
	report := m.loadReport()
	if report == nil {
		return nil
	}
	return dispatch.EngineLoad{Engine: dispatch.EngineID(m.Executor), Report: *report}
}

// requestEvent converts a message about one request. It fails if the id of the request is missing.
func (m *wireEvent) requestEvent(name string) (dispatch.Event, error) {
	if m.Ref == nil || *m.Ref == "" {
		return nil, errors.New("field ref is missing")
	}
	id := dispatch.RequestID(*m.Ref)
	switch name {
	case messageRequest:
		return m.arrival(id), nil
	case messageProgress:
		kind := dispatch.ProgressKind(m.What)
		return dispatch.AttemptProgress{Request: id, Attempt: m.Hop, Kind: kind, Amount: m.Amount}, nil
	case messageAttemptEnd:
		return m.attemptEnd(id)
	case messageStreaming:
		return dispatch.ResponseStarted{Request: id, Attempt: m.Hop}, nil
	}
	return dispatch.ClientGone{Request: id}, nil
}

// arrival converts a REQ message. A table group outside the range of uint32 counts as none.
func (m *wireEvent) arrival(id dispatch.RequestID) dispatch.Event {
	group := int64(0)
	if m.TableGroup != nil && *m.TableGroup >= 0 && *m.TableGroup <= math.MaxUint32 {
		group = dispatch.TableGroupOf(uint32(*m.TableGroup))
	}
	return dispatch.Arrival{
		Request: id, Class: m.Kind, Tenant: m.tenant(), Key: m.Key, TableGroup: group,
		Estimate: time.Duration(m.EstimateNS), NeedMB: m.WantMB, TimeLeft: time.Duration(m.TimeLeftNS),
		Resent: m.Resent,
	}
}

// tenant returns the tenant's name, or "" if there is none.
func (m *wireEvent) tenant() string {
	var name string
	if err := json.Unmarshal(m.Billing, &name); err != nil {
		return ""
	}
	return name
}

// attemptEnd converts an ATTEMPT_END message. It fails if the disposition is unknown.
func (m *wireEvent) attemptEnd(id dispatch.RequestID) (dispatch.Event, error) {
	outcome, err := settings.ParseEnum("field disposition", m.Disposition, outcomes)
	if err != nil {
		return nil, err
	}
	return dispatch.AttemptEnd{
		Request: id, Attempt: m.Hop, Outcome: outcome,
		Took: time.Duration(m.DelaySeenNS), Last: m.Last, Report: m.loadReport(),
		Work:   time.Duration(m.Bill/billWorkFactor) * time.Millisecond,
		NeedMB: float64(m.Bill%billWorkFactor) * billMemoryUnitMB,
	}, nil
}

// loadReport converts the load report of a message. It returns nil if the message has none.
func (m *wireEvent) loadReport() *dispatch.LoadReport {
	if m.Load == nil {
		return nil
	}
	value := func(name string) float64 {
		if known, ok := m.Load[name]; ok {
			return known
		}
		return unknownLoad
	}
	return &dispatch.LoadReport{
		InFlight: value("rif"), Waiting: value("q"), Busy: value("busy"), Disk: value("x1"),
		Memory: value("x0"), Failing: value("fail_rate"),
	}
}

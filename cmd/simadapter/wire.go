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

// plain words a JSON error without Go's type names.
func plain(err error) string {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return fmt.Sprintf("field %s: %s has the wrong type", te.Field, te.Value)
	}
	return err.Error()
}

func decode(body json.RawMessage, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return errors.New(plain(err))
	}
	return nil
}

var (
	states = map[string]dispatch.EndpointState{"live": dispatch.Live, "quiescing": dispatch.Draining, "dead": dispatch.Removed}
	modes  = map[string]dispatch.ListMode{
		"FULL": dispatch.ListComplete, "INCREMENTAL": dispatch.ListIncremental,
		"SAVED": dispatch.ListCached, "FAILED": dispatch.ListFailed,
	}
	outcomes = map[string]dispatch.Outcome{
		"served": dispatch.Served, "server_error": dispatch.EngineFailed,
		"turned_away": dispatch.EngineFull, "no_answer": dispatch.TimedOut, "no_connection": dispatch.ConnectFailed,
		"connection_lost": dispatch.ConnectionReset, "called_off": dispatch.Cancelled, "not_sent": dispatch.NotSent,
	}
)

// A bill is milliseconds of work times billUnit, plus the memory needed in units of billMB.
const (
	billUnit = 4096
	billMB   = 4
)

// wireEntry is one element of a REGISTER.
type wireEntry struct {
	Executor  *uint64 `json:"executor"`
	Block     int     `json:"block"`
	Site      string  `json:"site"`
	Flavor    string  `json:"flavor"`
	Units     float64 `json:"units"`
	Condition string  `json:"condition"`
	Born      int64   `json:"born-ns"`
}

func (e wireEntry) engine() (dispatch.Endpoint, error) {
	if e.Executor == nil {
		return dispatch.Endpoint{}, errors.New("executor is missing")
	}
	state, err := settings.ParseEnum("condition", e.Condition, states)
	return dispatch.Endpoint{
		ID: dispatch.EngineID(*e.Executor), Cell: e.Block, Zone: e.Site, Kind: e.Flavor,
		CapacityWeight: e.Units, State: state, StartedAt: time.Duration(e.Born),
	}, err
}

// wireEvent has the fields of all events but START and REGISTER.
type wireEvent struct {
	Ref         *string            `json:"ref"`
	Sheet       int64              `json:"sheet"`
	Mode        string             `json:"mode"`
	Estimate    int64              `json:"estimate-ns"`
	TableGroup  *float64           `json:"table-group"`
	TimeLeft    int64              `json:"time-left-ns"`
	Resent      bool               `json:"resent"`
	Kind        string             `json:"kind"`
	Billing     any                `json:"billing"`
	Key         string             `json:"key"`
	WantMB      float64            `json:"want-mb"`
	Hop         int                `json:"hop"`
	What        int                `json:"what"`
	Amount      float64            `json:"amount"`
	Executor    uint64             `json:"executor"`
	Disposition string             `json:"disposition"`
	DelaySeen   int64              `json:"delay-seen-ns"`
	Last        bool               `json:"last"`
	Bill        int64              `json:"bill"`
	Load        map[string]float64 `json:"load"`
	Tag         int64              `json:"tag"`
}

// load translates a report; absent values are unknown.
func (m *wireEvent) load() *dispatch.LoadReport {
	if m.Load == nil {
		return nil
	}
	get := func(name string) float64 {
		if v, ok := m.Load[name]; ok {
			return v
		}
		return -1
	}
	return &dispatch.LoadReport{
		InFlight: get("rif"), Waiting: get("q"), Busy: get("busy"), Disk: get("x1"),
		Memory: get("x0"), Failing: get("fail_rate"),
	}
}

// event translates one event; nil means that there is nothing to tell.
func (h *host) event(name string, body json.RawMessage) (dispatch.Event, error) {
	var m wireEvent
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	ref := func() (dispatch.RequestID, error) {
		if m.Ref == nil || *m.Ref == "" {
			return "", errors.New("field ref is missing")
		}
		return dispatch.RequestID(*m.Ref), nil
	}
	switch name {
	case "ENDPOINTS":
		mode, err := settings.ParseEnum("field mode", m.Mode, modes)
		if err != nil {
			return nil, err
		}
		list, ok := h.sheets[m.Sheet]
		if !ok && mode != dispatch.ListFailed {
			return nil, fmt.Errorf("field sheet: list %d was never registered", m.Sheet)
		}
		if mode == dispatch.ListFailed {
			list = nil
		}
		return dispatch.EndpointList{Mode: mode, Endpoints: list}, nil
	case "REQ":
		id, err := ref()
		tenant, _ := m.Billing.(string)
		group := int64(0)
		if m.TableGroup != nil && *m.TableGroup >= 0 && *m.TableGroup <= math.MaxUint32 {
			group = dispatch.TableGroupOf(uint32(*m.TableGroup))
		}
		return dispatch.Arrival{
			Request: id, Class: m.Kind, Tenant: tenant, Key: m.Key, TableGroup: group,
			Estimate: time.Duration(m.Estimate), NeedMB: m.WantMB, TimeLeft: time.Duration(m.TimeLeft),
			Resent: m.Resent,
		}, err
	case "PROGRESS":
		id, err := ref()
		return dispatch.AttemptProgress{Request: id, Attempt: m.Hop, Kind: dispatch.ProgressKind(m.What), Amount: m.Amount}, err
	case "ATTEMPT_END":
		id, err := ref()
		if err != nil {
			return nil, err
		}
		outcome, err := settings.ParseEnum("field disposition", m.Disposition, outcomes)
		return dispatch.AttemptEnd{
			Request: id, Attempt: m.Hop, Outcome: outcome,
			Took: time.Duration(m.DelaySeen), Last: m.Last, Report: m.load(),
			Work: time.Duration(m.Bill/billUnit) * time.Millisecond, NeedMB: float64(m.Bill%billUnit) * billMB,
		}, err
	case "STREAMING":
		id, err := ref()
		return dispatch.ResponseStarted{Request: id, Attempt: m.Hop}, err
	case "ABORTED":
		id, err := ref()
		return dispatch.ClientGone{Request: id}, err
	case "BELL":
		return dispatch.TimerFired{Tag: m.Tag}, nil
	case "PROBE_RESULT":
		if l := m.load(); l != nil {
			return dispatch.EngineLoad{Engine: dispatch.EngineID(m.Executor), Report: *l}, nil
		}
		return nil, nil
	case "INBOX":
		return nil, nil
	}
	return nil, errors.New("unknown message")
}

// encode translates one action.
func encode(who int64, a dispatch.Action) map[string]any {
	fields := map[string]any{"who": who}
	name := ""
	switch a := a.(type) {
	case dispatch.StartAttempt:
		name, fields["ref"], fields["executor"] = "DISPATCH", a.Request, a.Engine
		if a.Timeout != 0 {
			fields["allow-for-ns"] = int64(a.Timeout)
		}
	case dispatch.SetResources:
		name, fields["ref"] = "ASSIGN_TERMS", a.Request
		fields["allot-mb"], fields["weight-class"] = a.GrantMB, a.Priority
	case dispatch.CancelAttempt:
		name, fields["ref"], fields["hop"] = "CANCEL", a.Request, a.Attempt
	case dispatch.Reject:
		name, fields["ref"] = "PUSH_BACK", a.Request
		if a.RetryAfter > 0 {
			fields["not-before-for-ns"] = int64(a.RetryAfter)
		}
	case dispatch.FailRequest:
		name, fields["ref"] = "ERROR", a.Request
	case dispatch.Subscribe:
		name, fields["on"] = "FOLLOW", true
	case dispatch.SetTimer:
		name, fields["tag"], fields["delay-ns"] = "SCHEDULE", a.Tag, int64(a.After)
	}
	return map[string]any{name: fields}
}

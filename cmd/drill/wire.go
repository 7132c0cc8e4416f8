package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"windflow/brain"
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

// word looks a wire word up in a table.
func word[T any](field, w string, table map[string]T) (T, error) {
	v, ok := table[w]
	if !ok {
		return v, fmt.Errorf("%s: unknown value %q", field, w)
	}
	return v, nil
}

var (
	semantics = map[string]brain.Semantics{"": brain.Idempotent, "idempotent": brain.Idempotent,
		"deduplicated": brain.Deduplicated, "at_most_once": brain.AtMostOnce}
	scopes = map[string]brain.Scope{"": brain.ScopeAll, "all": brain.ScopeAll, "zone": brain.ScopeZone,
		"cell": brain.ScopeCell}
	shortages = map[string]brain.Shortage{"": brain.ShortQueue, "queue": brain.ShortQueue,
		"trim": brain.ShortTrim, "swap": brain.ShortSwap}
	states = map[string]brain.EngineState{"live": brain.Live, "quiescing": brain.Draining, "dead": brain.Gone}
	modes  = map[string]brain.ListMode{"FULL": brain.ListFull, "INCREMENTAL": brain.ListChanges,
		"SAVED": brain.ListSaved, "FAILED": brain.ListFailed}
	outcomes = map[string]brain.Outcome{"served": brain.Served, "server_error": brain.Errored,
		"turned_away": brain.Full, "no_answer": brain.TimedOut, "no_connection": brain.ConnectFailed,
		"connection_lost": brain.Reset, "called_off": brain.Cancelled, "not_sent": brain.NotSent}
)

// settings is the wire form of brain.Config; unknown fields are ignored.
type settings struct {
	Me        int    `json:"me"`
	Balancers int    `json:"balancers"`
	Zone      string `json:"zone"`
	Discovery string `json:"discovery"`
	PeriodNS  int64  `json:"period-ns"`
	Classes   []struct {
		Name      string   `json:"name"`
		Stretch   float64  `json:"aim-stretch"`
		Credit    float64  `json:"credit"`
		Deadline  int64    `json:"deadline-ns"`
		Scope     string   `json:"dedup-scope"`
		Goal      int64    `json:"goal-time-ns"`
		LateValue float64  `json:"late-value"`
		Semantics string   `json:"semantics"`
		Window    int64    `json:"window-ns"`
		FifoByKey bool     `json:"fifo-by-key"`
		StaysIn   []string `json:"stays-in"`
		AllowedOn []string `json:"allowed-on"`
	} `json:"classes"`
	Kinds   []string `json:"kinds"`
	Parties []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota-rps"`
	} `json:"parties"`
	OverShareWorth float64 `json:"over-share-worth"`
	Limits         struct {
		AttemptsCap   int   `json:"attempts-cap"`
		Cancel        bool  `json:"cancel"`
		SecondCopies  bool  `json:"second-copies"`
		RetryAfter    bool  `json:"retry-after"`
		MaxRetryAfter int64 `json:"max-retry-after-ns"`
	} `json:"limits"`
	Rules struct {
		AskWithin       int64   `json:"ask-within-ns"`
		ColdFrom        float64 `json:"cold-from"`
		ColdNS          int64   `json:"cold-ns"`
		OverloadFactor  float64 `json:"overload-factor"`
		OverloadFor     int64   `json:"overload-for-ns"`
		KeyRest         int64   `json:"key-rest-ns"`
		BudgetFree      float64 `json:"budget-free"`
		ExtraPerRequest float64 `json:"extra-per-request"`
		LookBack        int64   `json:"look-back-ns"`
	} `json:"rules"`
	Specifics struct {
		Load       []bool    `json:"class-load"`
		Cores      []float64 `json:"cores-by-kind"`
		Grants     bool      `json:"grants-count"`
		MemoryMB   []float64 `json:"kind-memory-mb"`
		MaxGrant   float64   `json:"max-grant-share"`
		Overbooked string    `json:"overbooked"`
		NoteEvery  int64     `json:"note-period-ns"`
		Priorities bool      `json:"priorities"`
		Width      []int     `json:"width-by-class"`
		Yields     []bool    `json:"yields-to-loads"`
	} `json:"specifics"`
}

// at returns the i-th value of a per-class or per-kind list; an absent list gives the zero value.
func at[T any](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	var zero T
	return zero
}

// perItem checks that a list is absent or has one value for each of n items.
func perItem[T any](field string, list []T, n int) error {
	if len(list) != 0 && len(list) != n {
		return fmt.Errorf("%s: has %d values for %d entries", field, len(list), n)
	}
	return nil
}

// config translates the settings.
func (s *settings) config(nonce uint64) (brain.Config, error) {
	sp := &s.Specifics
	n, k := len(s.Classes), len(s.Kinds)
	for _, err := range []error{perItem("specifics.class-load", sp.Load, n),
		perItem("specifics.width-by-class", sp.Width, n), perItem("specifics.yields-to-loads", sp.Yields, n),
		perItem("specifics.cores-by-kind", sp.Cores, k), perItem("specifics.kind-memory-mb", sp.MemoryMB, k)} {
		if err != nil {
			return brain.Config{}, err
		}
	}
	shortage, err := word("specifics.overbooked", sp.Overbooked, shortages)
	if err != nil {
		return brain.Config{}, err
	}
	d := func(ns int64) time.Duration { return time.Duration(ns) }
	cfg := brain.Config{
		Seed: nonce, Instance: s.Me, Gateways: s.Balancers, Zone: s.Zone,
		OverShareWorth: s.OverShareWorth, MaxAttempts: s.Limits.AttemptsCap, Cancel: s.Limits.Cancel,
		SecondCopies: s.Limits.SecondCopies, RetryAfter: s.Limits.RetryAfter,
		MaxRetryAfter: d(s.Limits.MaxRetryAfter), AskedDiscovery: s.Discovery == "subscribe",
		Grants: sp.Grants, MaxGrantShare: sp.MaxGrant, Priorities: sp.Priorities, Shortage: shortage,
		NoteEvery: d(sp.NoteEvery), Tick: d(s.PeriodNS), AskWithin: d(s.Rules.AskWithin), ColdFrom: s.Rules.ColdFrom,
		ColdFor: d(s.Rules.ColdNS), OverloadFactor: s.Rules.OverloadFactor,
		OverloadFor: d(s.Rules.OverloadFor), KeyRest: d(s.Rules.KeyRest),
		Budget: brain.RetryBudget{Window: d(s.Rules.LookBack), Free: s.Rules.BudgetFree,
			PerRequest: s.Rules.ExtraPerRequest},
	}
	for i, c := range s.Classes {
		sem, err := word(fmt.Sprintf("classes[%d].semantics", i), c.Semantics, semantics)
		if err != nil {
			return cfg, err
		}
		scope, err := word(fmt.Sprintf("classes[%d].dedup-scope", i), c.Scope, scopes)
		if err != nil {
			return cfg, err
		}
		cfg.Classes = append(cfg.Classes, brain.Class{Name: c.Name, Aim: d(c.Goal), AimStretch: c.Stretch,
			Deadline: d(c.Deadline), Worth: c.Credit, LateWorth: c.LateValue, Semantics: sem, Scope: scope,
			Window: d(c.Window), OrderByKey: c.FifoByKey, Zones: c.StaysIn, Kinds: c.AllowedOn,
			Threads: at(sp.Width, i), Load: at(sp.Load, i), WaitsOnLoad: at(sp.Yields, i)})
	}
	for _, t := range s.Parties {
		cfg.Tenants = append(cfg.Tenants, brain.Tenant{Name: t.Name, Quota: t.Quota})
	}
	for i, name := range s.Kinds {
		cfg.Kinds = append(cfg.Kinds, brain.Kind{Name: name, Cores: at(sp.Cores, i), MemoryMB: at(sp.MemoryMB, i)})
	}
	return cfg, nil
}

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

func (e wireEntry) engine() (brain.Engine, error) {
	if e.Executor == nil {
		return brain.Engine{}, errors.New("executor is missing")
	}
	state, err := word("condition", e.Condition, states)
	return brain.Engine{ID: brain.EngineID(*e.Executor), Cell: e.Block, Zone: e.Site, Kind: e.Flavor,
		Size: e.Units, State: state, Born: time.Duration(e.Born)}, err
}

// wireEvent has the fields of all events but START and REGISTER.
type wireEvent struct {
	Ref         *string            `json:"ref"`
	Sheet       int64              `json:"sheet"`
	Mode        string             `json:"mode"`
	Estimate    int64              `json:"estimate-ns"`
	TableGroup  float64            `json:"table-group"`
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
	Load        map[string]float64 `json:"load"`
	Tag         int64              `json:"tag"`
}

// load translates a report; absent values are unknown.
func (m *wireEvent) load() *brain.Load {
	if m.Load == nil {
		return nil
	}
	get := func(name string) float64 {
		if v, ok := m.Load[name]; ok {
			return v
		}
		return -1
	}
	return &brain.Load{InFlight: get("rif"), Waiting: get("q"), Busy: get("busy"), Disk: get("x1"),
		Memory: get("x0"), Failing: get("fail_rate")}
}

// event translates one event; nil means that there is nothing to tell.
func (h *host) event(name string, body json.RawMessage) (brain.Event, error) {
	var m wireEvent
	if err := decode(body, &m); err != nil {
		return nil, err
	}
	ref := func() (brain.RequestID, error) {
		if m.Ref == nil || *m.Ref == "" {
			return "", errors.New("field ref is missing")
		}
		return brain.RequestID(*m.Ref), nil
	}
	switch name {
	case "ENDPOINTS":
		mode, err := word("field mode", m.Mode, modes)
		if err != nil {
			return nil, err
		}
		list, ok := h.sheets[m.Sheet]
		if !ok && mode != brain.ListFailed {
			return nil, fmt.Errorf("field sheet: list %d was never registered", m.Sheet)
		}
		if mode == brain.ListFailed {
			list = nil
		}
		return brain.EngineList{Mode: mode, Engines: list}, nil
	case "REQ":
		id, err := ref()
		tenant, _ := m.Billing.(string)
		return brain.Arrival{Request: id, Class: m.Kind, Tenant: tenant, Key: m.Key, Group: int64(m.TableGroup),
			Estimate: time.Duration(m.Estimate), NeedMB: m.WantMB, TimeLeft: time.Duration(m.TimeLeft),
			Resent: m.Resent}, err
	case "PROGRESS":
		id, err := ref()
		return brain.Note{Request: id, Attempt: m.Hop, Kind: brain.NoteKind(m.What), Amount: m.Amount}, err
	case "ATTEMPT_END":
		id, err := ref()
		if err != nil {
			return nil, err
		}
		outcome, err := word("field disposition", m.Disposition, outcomes)
		return brain.AttemptEnd{Request: id, Attempt: m.Hop, Outcome: outcome,
			Took: time.Duration(m.DelaySeen), Last: m.Last, Load: m.load()}, err
	case "STREAMING":
		id, err := ref()
		return brain.StreamStart{Request: id, Attempt: m.Hop}, err
	case "ABORTED":
		id, err := ref()
		return brain.Abort{Request: id}, err
	case "BELL":
		return brain.Timer{Tag: m.Tag}, nil
	case "PROBE_RESULT":
		return brain.ProbeResult{Engine: brain.EngineID(m.Executor), OK: m.Disposition == "served",
			Load: m.load()}, nil
	case "INBOX":
		return nil, nil
	}
	return nil, errors.New("unknown message")
}

// encode translates one action.
func encode(who int64, a brain.Action) map[string]any {
	fields := map[string]any{"who": who}
	name := ""
	switch a := a.(type) {
	case brain.Send:
		name, fields["ref"], fields["executor"] = "DISPATCH", a.Request, a.Engine
		if a.Timeout != 0 {
			fields["allow-for-ns"] = int64(a.Timeout)
		}
	case brain.SetTerms:
		name, fields["ref"] = "ASSIGN_TERMS", a.Request
		fields["allot-mb"], fields["weight-class"] = a.GrantMB, a.Priority
	case brain.Cancel:
		name, fields["ref"], fields["hop"] = "CANCEL", a.Request, a.Attempt
	case brain.Refuse:
		name, fields["ref"] = "PUSH_BACK", a.Request
		if a.RetryAfter > 0 {
			fields["not-before-for-ns"] = int64(a.RetryAfter)
		}
	case brain.Fail:
		name, fields["ref"] = "ERROR", a.Request
	case brain.Subscribe:
		name, fields["on"] = "FOLLOW", true
	case brain.SetTimer:
		name, fields["tag"], fields["delay-ns"] = "SCHEDULE", a.Tag, int64(a.After)
	}
	return map[string]any{name: fields}
}

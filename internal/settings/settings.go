// Package settings holds the one form of the settings that an instance is told, by the simulator's first
// message and by the configuration of a real query router alike, and their translation for the module.
package settings

import (
	"fmt"
	"time"

	"windflow/dispatch"
)

// ParseEnum looks a wire word up in a table.
func ParseEnum[T any](field, w string, table map[string]T) (T, error) {
	v, ok := table[w]
	if !ok {
		return v, fmt.Errorf("%s: unknown value %q", field, w)
	}
	return v, nil
}

var (
	semantics = map[string]dispatch.Semantics{
		"": dispatch.Idempotent, "idempotent": dispatch.Idempotent,
		"deduplicated": dispatch.IdempotentByKey, "at_most_once": dispatch.AtMostOnce,
	}
	scopes = map[string]dispatch.IdempotencyScope{
		"": dispatch.ScopeAll, "all": dispatch.ScopeAll, "zone": dispatch.ScopeZone,
		"cell": dispatch.ScopeCell,
	}
	shortages = map[string]dispatch.MemoryShortage{
		"": dispatch.ShortageWait, "queue": dispatch.ShortageWait,
		"trim": dispatch.ShortageShrink, "swap": dispatch.ShortagePage,
	}
)

// Settings is the wire form of dispatch.Config; unknown fields are ignored.
type Settings struct {
	RouterIndex int    `json:"me"`
	Routers     int    `json:"balancers"`
	Zone        string `json:"zone"`
	Discovery   string `json:"discovery"`
	PeriodNS    int64  `json:"period-ns"`
	Classes     []struct {
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
	Zones   []string `json:"failure-domains"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota-rps"`
	} `json:"parties"`
	OverQuotaWeight float64 `json:"over-share-worth"`
	Limits          struct {
		AttemptsCap   int   `json:"attempts-cap"`
		Cancel        bool  `json:"cancel"`
		SecondCopies  bool  `json:"second-copies"`
		RetryAfter    bool  `json:"retry-after"`
		MaxRetryAfter int64 `json:"max-retry-after-ns"`
		// The last two are for real sockets only; the module is not told them.
		ConnectTimeout int64 `json:"connect-timeout-ns"`
		ConnIdle       int64 `json:"conn-idle-ns"`
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

// check names the first number that makes no sense. The module checks its own terms as well; here each stands
// under the name that the person who wrote the file knows.
func (s *Settings) check() error {
	type number struct {
		field string
		v     float64
	}
	list := []number{
		{"balancers", float64(s.Routers)},
		{"period-ns", float64(s.PeriodNS)},
		{"limits.attempts-cap", float64(s.Limits.AttemptsCap)},
		{"limits.max-retry-after-ns", float64(s.Limits.MaxRetryAfter)},
		{"limits.connect-timeout-ns", float64(s.Limits.ConnectTimeout)},
		{"limits.conn-idle-ns", float64(s.Limits.ConnIdle)},
		{"rules.ask-within-ns", float64(s.Rules.AskWithin)},
		{"rules.cold-from", s.Rules.ColdFrom},
		{"rules.cold-ns", float64(s.Rules.ColdNS)},
		{"rules.overload-factor", s.Rules.OverloadFactor},
		{"rules.overload-for-ns", float64(s.Rules.OverloadFor)},
		{"rules.key-rest-ns", float64(s.Rules.KeyRest)},
		{"rules.look-back-ns", float64(s.Rules.LookBack)},
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		if c.Goal == 0 || c.Deadline == 0 {
			return fmt.Errorf("%sgoal-time-ns and %sdeadline-ns: both must be above 0", at, at)
		}
		list = append(list, number{at + "goal-time-ns", float64(c.Goal)}, number{at + "deadline-ns", float64(c.Deadline)},
			number{at + "aim-stretch", c.Stretch}, number{at + "credit", c.Credit},
			number{at + "late-value", c.LateValue}, number{at + "window-ns", float64(c.Window)})
	}
	for i, v := range s.Specifics.Width {
		list = append(list, number{fmt.Sprintf("specifics.width-by-class[%d]", i), float64(v)})
	}
	for i, v := range s.Specifics.Cores {
		list = append(list, number{fmt.Sprintf("specifics.cores-by-kind[%d]", i), v})
	}
	for i, v := range s.Specifics.MemoryMB {
		list = append(list, number{fmt.Sprintf("specifics.kind-memory-mb[%d]", i), v})
	}
	for _, n := range list {
		if n.v < 0 {
			return fmt.Errorf("%s: %v is below 0", n.field, n.v)
		}
	}
	return nil
}

// DispatchConfig translates the settings; nonce seeds the random numbers.
func (s *Settings) DispatchConfig(nonce uint64) (dispatch.Config, error) {
	if err := s.check(); err != nil {
		return dispatch.Config{}, err
	}
	sp := &s.Specifics
	n, k := len(s.Classes), len(s.Kinds)
	for _, err := range []error{
		perItem("specifics.class-load", sp.Load, n),
		perItem("specifics.width-by-class", sp.Width, n), perItem("specifics.yields-to-loads", sp.Yields, n),
		perItem("specifics.cores-by-kind", sp.Cores, k), perItem("specifics.kind-memory-mb", sp.MemoryMB, k),
	} {
		if err != nil {
			return dispatch.Config{}, err
		}
	}
	shortage, err := ParseEnum("specifics.overbooked", sp.Overbooked, shortages)
	if err != nil {
		return dispatch.Config{}, err
	}
	d := func(ns int64) time.Duration { return time.Duration(ns) }
	cfg := dispatch.Config{
		Seed: nonce, RouterIndex: s.RouterIndex, Routers: s.Routers, Zone: s.Zone,
		OverQuotaWeight: s.OverQuotaWeight, MaxAttempts: s.Limits.AttemptsCap, CancelAllowed: s.Limits.Cancel,
		HedgingAllowed: s.Limits.SecondCopies, RetryAfterAllowed: s.Limits.RetryAfter,
		MaxRetryAfter: d(s.Limits.MaxRetryAfter), PolledDiscovery: s.Discovery == "subscribe",
		Grants: sp.Grants, MaxGrantShare: sp.MaxGrant, Priorities: sp.Priorities, MemoryShortage: shortage,
		ProgressInterval: d(sp.NoteEvery), Tick: d(s.PeriodNS), DiscoveryTimeout: d(s.Rules.AskWithin), WarmUpInitialShare: s.Rules.ColdFrom,
		WarmUpDuration: d(s.Rules.ColdNS), WarmUpOverloadFactor: s.Rules.OverloadFactor,
		WarmUpOverloadWindow: d(s.Rules.OverloadFor), KeyCooldown: d(s.Rules.KeyRest),
		RetryBudget: dispatch.RetryBudget{
			Window: d(s.Rules.LookBack), Free: s.Rules.BudgetFree,
			PerRequest: s.Rules.ExtraPerRequest,
		},
	}
	for i, c := range s.Classes {
		sem, err := ParseEnum(fmt.Sprintf("classes[%d].semantics", i), c.Semantics, semantics)
		if err != nil {
			return cfg, err
		}
		scope, err := ParseEnum(fmt.Sprintf("classes[%d].dedup-scope", i), c.Scope, scopes)
		if err != nil {
			return cfg, err
		}
		cfg.Classes = append(cfg.Classes, dispatch.Class{
			Name: c.Name, LatencyObjective: d(c.Goal), ObjectiveStretch: c.Stretch,
			Deadline: d(c.Deadline), PriorityWeight: c.Credit, LateWeightShare: c.LateValue, Semantics: sem, IdempotencyScope: scope,
			IdempotencyWindow: d(c.Window), OrderByKey: c.FifoByKey, Zones: c.StaysIn, Kinds: c.AllowedOn,
			Threads: at(sp.Width, i), LocksTableGroup: at(sp.Load, i), BlockedByLoad: at(sp.Yields, i),
		})
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, dispatch.Tenant{Name: t.Name, Quota: t.Quota})
	}
	for i, name := range s.Kinds {
		cfg.Kinds = append(cfg.Kinds, dispatch.EngineKind{Name: name, Cores: at(sp.Cores, i), MemoryMB: at(sp.MemoryMB, i)})
	}
	return cfg, nil
}

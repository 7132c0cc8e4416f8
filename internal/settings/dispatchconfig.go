package settings

import (
	"fmt"
	"time"

	"windflow/dispatch"
)

// The names that the platform's settings have for enumerated values. An empty name selects the default.
var (
	semanticsByName = map[string]dispatch.Semantics{
		"": dispatch.Idempotent, "idempotent": dispatch.Idempotent,
		"deduplicated": dispatch.IdempotentByKey, "at_most_once": dispatch.AtMostOnce,
	}
	scopesByName = map[string]dispatch.IdempotencyScope{
		"": dispatch.ScopeAll, "all": dispatch.ScopeAll, "zone": dispatch.ScopeZone,
		"cell": dispatch.ScopeCell,
	}
	memoryShortagesByName = map[string]dispatch.MemoryShortage{
		"": dispatch.ShortageWait, "queue": dispatch.ShortageWait,
		"trim": dispatch.ShortageShrink, "swap": dispatch.ShortagePage,
	}
)

// polledDiscoveryName is the value of the discovery setting with which routers have to poll for changes of endpoints.
const polledDiscoveryName = "subscribe"

// ParseEnum returns the value of a name in a table. The error for an unknown name begins with the field.
func ParseEnum[T any](field, name string, table map[string]T) (T, error) {
	value, ok := table[name]
	if !ok {
		return value, fmt.Errorf("%s: unknown value %q", field, name)
	}
	return value, nil
}

// DispatchConfig checks the settings and converts them to a dispatch.Config with the given seed for random numbers. The
// error begins with the name of the invalid field in JSON.
func (s *Settings) DispatchConfig(seed uint64) (dispatch.Config, error) {
	if err := s.check(); err != nil {
		return dispatch.Config{}, err
	}
	cfg, err := s.scalarConfig(seed)
	if err != nil {
		return dispatch.Config{}, err
	}
	for i := range s.Classes {
		class, err := s.dispatchClass(i)
		if err != nil {
			return cfg, err
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	for _, tenant := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, dispatch.Tenant{Name: tenant.Name, Quota: tenant.Quota})
	}
	for i, name := range s.Kinds {
		cfg.Kinds = append(cfg.Kinds, dispatch.EngineKind{
			Name: name, Cores: valueAt(s.Specifics.KindCores, i), MemoryMB: valueAt(s.Specifics.KindMemoryMB, i),
		})
	}
	return cfg, nil
}

// scalarConfig converts all settings except the lists of classes, tenants and engine kinds.
func (s *Settings) scalarConfig(seed uint64) (dispatch.Config, error) {
	limits, rules, specifics := &s.Limits, &s.Rules, &s.Specifics
	shortage, err := ParseEnum("specifics.overbooked", specifics.MemoryShortage, memoryShortagesByName)
	if err != nil {
		return dispatch.Config{}, err
	}
	return dispatch.Config{
		Seed: seed, RouterIndex: s.RouterIndex, Routers: s.Routers, Zone: s.Zone,
		Tick: time.Duration(s.TickNS), OverQuotaWeight: s.OverQuotaWeight,

		MaxAttempts: limits.MaxAttempts, CancelAllowed: limits.CancelAllowed, HedgingAllowed: limits.HedgingAllowed,
		RetryAfter: dispatch.RetryAfter{
			Allowed: limits.RetryAfterAllowed, Max: time.Duration(limits.MaxRetryAfterNS),
		},

		PolledDiscovery:  s.Discovery == polledDiscoveryName,
		DiscoveryTimeout: time.Duration(rules.DiscoveryTimeoutNS), KeyCooldown: time.Duration(rules.KeyCooldownNS),
		WarmUp: dispatch.WarmUp{
			InitialShare: rules.WarmUpInitialShare, Duration: time.Duration(rules.WarmUpNS),
			OverloadFactor: rules.WarmUpOverloadFactor, OverloadWindow: time.Duration(rules.WarmUpOverloadWindowNS),
		},
		RetryBudget: dispatch.RetryBudget{
			Window: time.Duration(rules.RetryBudgetWindowNS), Free: rules.RetryBudgetFree,
			PerRequest: rules.RetryBudgetPerRequest,
		},

		Features: dispatch.EngineFeatures{
			Grants: specifics.GrantsEnabled, MaxGrantShare: specifics.MaxGrantShare, MemoryShortage: shortage,
			Priorities: specifics.PrioritiesEnabled, ProgressInterval: time.Duration(specifics.ProgressIntervalNS),
		},
	}, nil
}

// dispatchClass converts the class at an index of the list.
func (s *Settings) dispatchClass(index int) (dispatch.Class, error) {
	class, specifics := &s.Classes[index], &s.Specifics
	semantics, err := ParseEnum(fmt.Sprintf("classes[%d].semantics", index), class.Semantics, semanticsByName)
	if err != nil {
		return dispatch.Class{}, err
	}
	scope, err := ParseEnum(fmt.Sprintf("classes[%d].dedup-scope", index), class.IdempotencyScope, scopesByName)
	if err != nil {
		return dispatch.Class{}, err
	}
	return dispatch.Class{
		Name: class.Name, Deadline: time.Duration(class.DeadlineNS),
		LatencyObjective: time.Duration(class.LatencyObjectiveNS), ObjectiveStretch: class.ObjectiveStretch,
		PriorityWeight: class.PriorityWeight, LateWeightShare: class.LateWeightShare,
		Semantics: semantics, IdempotencyScope: scope, IdempotencyWindow: time.Duration(class.IdempotencyWindowNS),
		OrderByKey: class.OrderByKey, Zones: class.Zones, Kinds: class.Kinds,
		Threads:         valueAt(specifics.ClassThreads, index),
		LocksTableGroup: valueAt(specifics.ClassLocksTableGroup, index),
		BlockedByLoad:   valueAt(specifics.ClassBlockedByLoad, index),
	}, nil
}

// valueAt returns the value at an index of a list, or the zero value if the list is too short or absent.
func valueAt[T any](list []T, index int) T {
	if index < len(list) {
		return list[index]
	}
	var zero T
	return zero
}

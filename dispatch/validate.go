package dispatch

import (
	"errors"
	"fmt"
	"time"
)

// validate names the first setting that makes no sense.
func validate(cfg Config) error {
	if len(cfg.Classes) == 0 {
		return errors.New("classes: at least one is needed")
	}
	names := map[string]bool{}
	for i, k := range cfg.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		switch {
		case k.Name == "" || names[k.Name]:
			return fmt.Errorf("%s.name: %q is empty or used twice", at, k.Name)
		case k.LatencyObjective <= 0:
			return fmt.Errorf("%s.aim: %v is not above zero", at, k.LatencyObjective)
		case k.Deadline <= 0:
			return fmt.Errorf("%s.deadline: %v is not above zero", at, k.Deadline)
		case k.ObjectiveStretch < 0 || k.PriorityWeight < 0 || k.LateWeightShare < 0 || k.IdempotencyWindow < 0 || k.Threads < 0:
			return fmt.Errorf("%s: a stretch, worth, window or thread count is below zero", at)
		}
		names[k.Name] = true
	}
	for i, k := range cfg.Kinds {
		if k.Cores < 0 || k.MemoryMB < 0 {
			return fmt.Errorf("kinds[%d]: cores or memory below zero", i)
		}
	}
	for _, k := range []struct {
		name string
		d    time.Duration
	}{{"cold-for", cfg.WarmUpDuration}, {"overload-for", cfg.WarmUpOverloadWindow}, {"key-rest", cfg.KeyCooldown},
		{"budget.window", cfg.RetryBudget.Window}, {"ask-within", cfg.DiscoveryTimeout}, {"tick", cfg.Tick},
		{"max-retry-after", cfg.MaxRetryAfter}} {
		if k.d < 0 {
			return fmt.Errorf("%s: %v is below zero", k.name, k.d)
		}
	}
	if cfg.MaxAttempts < 0 || cfg.Routers < 0 || cfg.WarmUpInitialShare < 0 || cfg.WarmUpOverloadFactor < 0 {
		return errors.New("max-attempts, gateways, cold-from or overload-factor: below zero")
	}
	return nil
}

// Check names the first setting that makes no sense: New and Configure refuse the same ones.
func (cfg Config) Check() error { return validate(cfg) }

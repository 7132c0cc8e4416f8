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
		case k.Aim <= 0:
			return fmt.Errorf("%s.aim: %v is not above zero", at, k.Aim)
		case k.Deadline <= 0:
			return fmt.Errorf("%s.deadline: %v is not above zero", at, k.Deadline)
		case k.AimStretch < 0 || k.Worth < 0 || k.LateWorth < 0 || k.Window < 0 || k.Threads < 0:
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
	}{{"cold-for", cfg.ColdFor}, {"overload-for", cfg.OverloadFor}, {"key-rest", cfg.KeyRest},
		{"budget.window", cfg.Budget.Window}, {"ask-within", cfg.AskWithin}, {"tick", cfg.Tick},
		{"max-retry-after", cfg.MaxRetryAfter}} {
		if k.d < 0 {
			return fmt.Errorf("%s: %v is below zero", k.name, k.d)
		}
	}
	if cfg.MaxAttempts < 0 || cfg.Gateways < 0 || cfg.ColdFrom < 0 || cfg.OverloadFactor < 0 {
		return errors.New("max-attempts, gateways, cold-from or overload-factor: below zero")
	}
	return nil
}

// Check names the first setting that makes no sense: New and Configure refuse the same ones.
func (cfg Config) Check() error { return validate(cfg) }

package dispatch

import (
	"fmt"
	"time"
)

// ConfigError names the invalid setting of a Config and the reason.
type ConfigError struct {
	Field  string // path of the setting, such as "classes[0].name"
	Reason string
}

// Error returns the field and the reason in one line.
func (e *ConfigError) Error() string { return e.Field + ": " + e.Reason }

func configErrorf(field, format string, args ...any) error {
	return &ConfigError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// validate returns an error for the first invalid setting, or nil.
func validate(config Config) error {
	if err := validateClasses(config.Classes); err != nil {
		return err
	}
	for i, kind := range config.Kinds {
		if kind.Cores < 0 || kind.MemoryMB < 0 {
			return configErrorf(fmt.Sprintf("kinds[%d]", i),
				"cores and memory must not be negative, but are %v and %v MB", kind.Cores, kind.MemoryMB)
		}
	}
	for _, duration := range []struct {
		name  string
		value time.Duration
	}{
		{"cold-for", config.WarmUp.Duration},
		{"overload-for", config.WarmUp.OverloadWindow},
		{"key-rest", config.KeyCooldown},
		{"budget.window", config.RetryBudget.Window},
		{"ask-within", config.DiscoveryTimeout},
		{"tick", config.Tick},
		{"max-retry-after", config.RetryAfter.Max},
	} {
		if duration.value < 0 {
			return configErrorf(duration.name, "must not be negative, but is %v", duration.value)
		}
	}
	negativeWarmUp := config.WarmUp.InitialShare < 0 || config.WarmUp.OverloadFactor < 0
	if config.MaxAttempts < 0 || config.Routers < 0 || negativeWarmUp {
		return configErrorf("max-attempts, gateways, cold-from or overload-factor", "must not be negative")
	}
	return nil
}

func validateClasses(classes []Class) error {
	if len(classes) == 0 {
		return configErrorf("classes", "at least one class is required")
	}
	names := map[string]bool{}
	for i, class := range classes {
		path := fmt.Sprintf("classes[%d]", i)
		switch {
		case class.Name == "" || names[class.Name]:
			return configErrorf(path+".name", "%q is empty or already the name of another class", class.Name)
		case class.LatencyObjective <= 0:
			return configErrorf(path+".aim", "must be greater than zero, but is %v", class.LatencyObjective)
		case class.Deadline <= 0:
			return configErrorf(path+".deadline", "must be greater than zero, but is %v", class.Deadline)
		case class.ObjectiveStretch < 0 || class.PriorityWeight < 0 || class.LateWeightShare < 0 ||
			class.IdempotencyWindow < 0 || class.Threads < 0:
			return configErrorf(path, "stretch, worth, window and thread count must not be negative")
		}
		names[class.Name] = true
	}
	return nil
}

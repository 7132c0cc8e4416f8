package settings

import "fmt"

// numericSetting is a value that must not be negative, with the name of its field in JSON.
type numericSetting struct {
	field string
	value float64
}

// check returns an error for the first invalid setting, with the name of its field in JSON. dispatch.Config checks its
// own fields as well, but its errors do not have these names.
func (s *Settings) check() error {
	numeric := s.numericSettings()
	for i := range s.Classes {
		class, field := &s.Classes[i], fmt.Sprintf("classes[%d].", i)
		if class.LatencyObjectiveNS == 0 || class.DeadlineNS == 0 {
			return fmt.Errorf("%sgoal-time-ns and %sdeadline-ns: both must be above 0", field, field)
		}
		numeric = append(numeric, class.numericSettings(field)...)
	}
	numeric = append(numeric, s.Specifics.numericSettings()...)
	for _, setting := range numeric {
		if setting.value < 0 {
			return fmt.Errorf("%s: %v is below 0", setting.field, setting.value)
		}
	}
	return s.checkLengths()
}

func (s *Settings) numericSettings() []numericSetting {
	limits, rules := &s.Limits, &s.Rules
	return []numericSetting{
		{"balancers", float64(s.Routers)},
		{"period-ns", float64(s.TickNS)},
		{"limits.attempts-cap", float64(limits.MaxAttempts)},
		{"limits.max-retry-after-ns", float64(limits.MaxRetryAfterNS)},
		{"limits.connect-timeout-ns", float64(limits.ConnectTimeoutNS)},
		{"limits.conn-idle-ns", float64(limits.ConnectionIdleNS)},
		{"rules.ask-within-ns", float64(rules.DiscoveryTimeoutNS)},
		{"rules.cold-from", rules.WarmUpInitialShare},
		{"rules.cold-ns", float64(rules.WarmUpNS)},
		{"rules.overload-factor", rules.WarmUpOverloadFactor},
		{"rules.overload-for-ns", float64(rules.WarmUpOverloadWindowNS)},
		{"rules.key-rest-ns", float64(rules.KeyCooldownNS)},
		{"rules.look-back-ns", float64(rules.RetryBudgetWindowNS)},
	}
}

func (c *Class) numericSettings(field string) []numericSetting {
	return []numericSetting{
		{field + "goal-time-ns", float64(c.LatencyObjectiveNS)},
		{field + "deadline-ns", float64(c.DeadlineNS)},
		{field + "aim-stretch", c.ObjectiveStretch},
		{field + "credit", c.PriorityWeight},
		{field + "late-value", c.LateWeightShare},
		{field + "window-ns", float64(c.IdempotencyWindowNS)},
	}
}

func (s *Specifics) numericSettings() (numeric []numericSetting) {
	for i, threads := range s.ClassThreads {
		numeric = append(numeric, numericSetting{fmt.Sprintf("specifics.width-by-class[%d]", i), float64(threads)})
	}
	for i, cores := range s.KindCores {
		numeric = append(numeric, numericSetting{fmt.Sprintf("specifics.cores-by-kind[%d]", i), cores})
	}
	for i, memory := range s.KindMemoryMB {
		numeric = append(numeric, numericSetting{fmt.Sprintf("specifics.kind-memory-mb[%d]", i), memory})
	}
	return numeric
}

// checkLengths checks that each list of the specifics is empty or has one value for each class or engine kind.
func (s *Settings) checkLengths() error {
	specifics, classes, kinds := &s.Specifics, len(s.Classes), len(s.Kinds)
	for _, list := range []struct {
		field        string
		length, want int
	}{
		{"specifics.class-load", len(specifics.ClassLocksTableGroup), classes},
		{"specifics.width-by-class", len(specifics.ClassThreads), classes},
		{"specifics.yields-to-loads", len(specifics.ClassBlockedByLoad), classes},
		{"specifics.cores-by-kind", len(specifics.KindCores), kinds},
		{"specifics.kind-memory-mb", len(specifics.KindMemoryMB), kinds},
	} {
		if list.length != 0 && list.length != list.want {
			return fmt.Errorf("%s: has %d values, expected %d", list.field, list.length, list.want)
		}
	}
	return nil
}

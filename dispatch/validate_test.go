package dispatch

import (
	"errors"
	"strings"
	"testing"
)

// The error for an invalid setting is a *ConfigError that names the setting.
func TestInvalidSettingsAreNamed(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"classes":          func(c *Config) { c.Classes = nil },
		"classes[0].name":  func(c *Config) { c.Classes[0].Name = "" },
		"classes[1].aim":   func(c *Config) { c.Classes[1].LatencyObjective = -1 },
		"classes[0].deadl": func(c *Config) { c.Classes[0].Deadline = 0 },
		"cold-for":         func(c *Config) { c.WarmUp.Duration = -1 },
		"kinds[0]":         func(c *Config) { c.Kinds[0].Cores = -1 },
	} {
		config := twoClassConfig()
		change(&config)
		_, err := New(config)
		if configError := (*ConfigError)(nil); !errors.As(err, &configError) || !strings.Contains(err.Error(), name) {
			t.Errorf("setting %s: error is %v, want a *ConfigError that names the setting", name, err)
		}
	}
}

package dispatch

import (
	"strings"
	"testing"
)

func TestInvalidSettingsAreNamed(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"classes":          func(c *Config) { c.Classes = nil },
		"classes[0].name":  func(c *Config) { c.Classes[0].Name = "" },
		"classes[1].aim":   func(c *Config) { c.Classes[1].LatencyObjective = -1 },
		"classes[0].deadl": func(c *Config) { c.Classes[0].Deadline = 0 },
		"cold-for":         func(c *Config) { c.WarmUpDuration = -1 },
		"kinds[0]":         func(c *Config) { c.Kinds[0].Cores = -1 },
	} {
		config := twoClassConfig()
		spoil(&config)
		if _, err := New(config); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

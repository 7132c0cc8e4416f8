package settings

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"
)

// Node is the platform's configuration of one router.
type Node struct {
	Name             string              `json:"name"`
	Listen           string              `json:"listen"`
	Seed             string              `json:"seed"` // 64 bits in hex
	Limits           NodeLimits          `json:"limits"`
	DiscoveryAddress string              `json:"board"`
	AdminAddress     string              `json:"control"` // empty: no admin server
	KnownEndpoints   jsoniter.RawMessage `json:"known"`   // see ParseEndpoints
	RawSettings      jsoniter.RawMessage `json:"settings"`
	// Settings is decoded from RawSettings, and SeedValue from Seed.
	Settings  Settings `json:"-"`
	SeedValue uint64   `json:"-"`
}

// NodeLimits bounds the resources that the process may use. 0 selects a default.
type NodeLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// ReadNode reads a configuration file. The error for invalid content is a single line that names the field.
func ReadNode(path string) (*Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseNode(text)
}

// ParseNode parses a configuration. Unknown fields are ignored. The error is a single line that names the field.
func ParseNode(text []byte) (*Node, error) {
	node := &Node{}
	if err := Decode(text, node); err != nil {
		return nil, err
	}
	if err := node.checkAddresses(); err != nil {
		return nil, err
	}
	if node.Seed != "" {
		value, err := strconv.ParseUint(node.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("field seed: %q is not a hex number of at most 64 bits", node.Seed)
		}
		node.SeedValue = value
	}
	if node.Limits.MemoryMB < 0 || node.Limits.Sockets < 0 {
		return nil, errors.New("field limits: memory_mb or sockets is below 0")
	}
	if len(node.RawSettings) == 0 {
		return nil, errors.New("field settings is missing")
	}
	if err := Decode(node.RawSettings, &node.Settings); err != nil {
		return nil, fmt.Errorf("field settings: %w", err)
	}
	return node, nil
}

func (n *Node) checkAddresses() error {
	for _, field := range []struct {
		name, address string
		optional      bool
	}{{"listen", n.Listen, false}, {"board", n.DiscoveryAddress, false}, {"control", n.AdminAddress, true}} {
		if field.optional && field.address == "" {
			continue
		}
		if host, port, ok := strings.Cut(field.address, ":"); !ok || host == "" || port == "" {
			return fmt.Errorf("field %s: %q is not in the form address:port", field.name, field.address)
		}
	}
	return nil
}

package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"
)

// Node is the configuration of one real query router.
type Node struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"` // hex
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	DiscoveryAddress string              `json:"board"`
	AdminAddress     string              `json:"control"` // the operators' door; empty where there is none
	KnownEndpoints   jsoniter.RawMessage `json:"known"`
	RawSettings      jsoniter.RawMessage `json:"settings"`
	// Parsed is what Settings holds, and SeedValue what Seed does.
	Settings  Settings `json:"-"`
	SeedValue uint64   `json:"-"`
}

// ReadNode reads a configuration file. Its error is one line that names the field.
func ReadNode(path string) (*Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseNode(text)
}

// ParseNode reads a configuration; unknown fields are ignored.
func ParseNode(text []byte) (*Node, error) {
	n := &Node{}
	if err := Decode(text, n); err != nil {
		return nil, err
	}
	for _, f := range []struct{ name, value string }{{"listen", n.Listen}, {"board", n.DiscoveryAddress}} {
		if host, port, ok := strings.Cut(f.value, ":"); !ok || host == "" || port == "" {
			return nil, fmt.Errorf("field %s: %q is no address:port", f.name, f.value)
		}
	}
	if host, port, ok := strings.Cut(n.AdminAddress, ":"); n.AdminAddress != "" && (!ok || host == "" || port == "") {
		return nil, fmt.Errorf("field control: %q is no address:port", n.AdminAddress)
	}
	if n.Seed != "" {
		v, err := strconv.ParseUint(n.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("field seed: %q is not a hex number of 64 bits", n.Seed)
		}
		n.SeedValue = v
	}
	if n.Limits.MemoryMB < 0 || n.Limits.Sockets < 0 {
		return nil, errors.New("field limits: memory_mb or sockets is below zero")
	}
	if len(n.RawSettings) == 0 {
		return nil, errors.New("field settings is missing")
	}
	if err := Decode(n.RawSettings, &n.Settings); err != nil {
		return nil, fmt.Errorf("field settings: %w", err)
	}
	return n, nil
}

// ErrNotJSON says that a text is no JSON, or not the whole of it.
var ErrNotJSON = errors.New("not valid JSON")

// Decode reads JSON and words an error in one line with the field that it is about.
func Decode(text []byte, into any) error {
	err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, into)
	if err == nil {
		return nil
	}
	// json-iterator names Go's fields and types; the standard library is asked for the field's name in JSON.
	var te *json.UnmarshalTypeError
	if errors.As(json.Unmarshal(text, into), &te) {
		return fmt.Errorf("field %s: a %s does not fit", te.Field, te.Value)
	}
	if !jsoniter.Valid(text) {
		return ErrNotJSON
	}
	line, _, _ := strings.Cut(strings.ToValidUTF8(err.Error(), "?"), "\n")
	return errors.New(line)
}

package settings

import (
	"errors"
	"fmt"
	"io"
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
	Board    string              `json:"board"`
	Known    jsoniter.RawMessage `json:"known"`
	Settings jsoniter.RawMessage `json:"settings"`
	// Parsed is what Settings holds, and SeedValue what Seed does.
	Parsed    Settings `json:"-"`
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
	for _, f := range []struct{ name, value string }{{"listen", n.Listen}, {"board", n.Board}} {
		if host, port, ok := strings.Cut(f.value, ":"); !ok || host == "" || port == "" {
			return nil, fmt.Errorf("field %s: %q is no address:port", f.name, f.value)
		}
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
	if len(n.Settings) == 0 {
		return nil, errors.New("field settings is missing")
	}
	if err := Decode(n.Settings, &n.Parsed); err != nil {
		return nil, fmt.Errorf("field settings: %w", err)
	}
	return n, nil
}

// Decode reads JSON and words an error in one line with the field that it is about.
func Decode(text []byte, into any) error {
	if !jsoniter.Valid(text) {
		return errors.New("not valid JSON")
	}
	err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, into)
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	// json-iterator words the path as "pkg.Type.Field: Field: ReadX: ..., error found in #N byte ...".
	line, _, _ := strings.Cut(err.Error(), ", error found in")
	line, _, _ = strings.Cut(strings.ToValidUTF8(line, "?"), "\n")
	var path []string
	parts := strings.Split(line, ": ")
	for len(parts) > 1 && !strings.ContainsAny(parts[0], " ") && !strings.HasPrefix(strings.ToLower(parts[0]), "read") {
		if name := parts[0][strings.LastIndexByte(parts[0], '.')+1:]; !strings.HasPrefix(parts[0], "[]") {
			path = append(path, strings.ToLower(name))
		}
		parts = parts[1:]
	}
	if len(path) == 0 {
		return errors.New(line)
	}
	return fmt.Errorf("field %s: %s", strings.Join(path, "."), strings.Join(parts, ": "))
}

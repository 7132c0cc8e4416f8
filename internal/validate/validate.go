package validate

import (
	"errors"
	"fmt"

	"windflow/internal/decide/configerror"
	"windflow/internal/settings"
)

// NodeConfig checks the platform's configuration of a router. The error is one line that names the field.
func NodeConfig(text []byte) error {
	cfg, err := settings.ParseNode(text)
	if err != nil {
		return err
	}
	if _, _, err := settings.ParseEndpoints(cfg.KnownEndpoints); err != nil {
		return fmt.Errorf("field known: %w", err)
	}
	return checkUsable(cfg)
}

// checkUsable checks what dispatch and the division of resources require of a parsed configuration.
func checkUsable(cfg *settings.Node) error {
	dispatchConfig, err := DispatchConfig(cfg, cfg.SeedValue)
	if err == nil {
		err = dispatchConfig.Check()
	}
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	_, err = DivideResources(cfg, 0)
	return err
}

// Entries checks entries that are laid over a base configuration, the platform file of a router; nil if a router
// could use them. The same entries have the same error everywhere.
//
// The error is or wraps a *configerror.Error of kind Invalid. Its pointer is that of the entry which has the field
// that the error names; where it names none of them, the first, in the order of their pointers, with which the
// configuration stops being valid; empty if the base is not valid without them.
func Entries(base []byte, entries map[string]settings.Value) error {
	_, err := Overlay(base, entries)
	return err
}

// Overlay checks as Entries does, and returns the configuration that it checked.
func Overlay(base []byte, entries map[string]settings.Value) (*settings.Node, error) {
	text, err := settings.Overlay(base, entries)
	if err != nil {
		var rejected *configerror.Error
		if errors.As(err, &rejected) {
			return nil, err
		}
		return nil, baseError(err)
	}
	cfg, err := parseAndCheck(text)
	if err == nil {
		return cfg, nil
	}
	pointer := invalidEntry(err, base, entries)
	if pointer == "" {
		return nil, baseError(err)
	}
	return nil, configerror.Invalidf(pointer, "%s", err)
}

// parseAndCheck reads a configuration that entries are laid over.
func parseAndCheck(text []byte) (*settings.Node, error) {
	cfg, err := settings.ParseNode(text)
	if err != nil {
		return nil, err
	}
	return cfg, checkUsable(cfg)
}

// baseError is the error of a base configuration that is not valid itself.
func baseError(err error) error {
	return fmt.Errorf("the base configuration: %w", configerror.Invalidf("", "%s", err))
}

package validate

import (
	"errors"
	"fmt"

	"windflow/internal/decide/configerror"
	"windflow/internal/settings"
)

// NodeConfig checks the platform's configuration of a router. The error is a single line that names the invalid field.
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

// checkUsable checks that a parsed configuration meets the requirements of package dispatch and of DivideResources.
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

// Entries checks the configuration that results from applying entries to a base configuration, the platform file of a
// router. It returns nil if a router could use the result. The same entries cause the same error in every process.
//
// The error is or wraps a *configerror.Error of kind Invalid. Its pointer is that of the entry with the field that the
// error names. If the error names no entry's field, the pointer is that of the first entry, in the order of pointers,
// with which the configuration becomes invalid. It is empty if the base is invalid without entries.
func Entries(base []byte, entries map[string]settings.Value) error {
	_, err := Overlay(base, entries)
	return err
}

// Overlay checks entries as Entries does, and returns the resulting configuration.
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

// parseAndCheck parses and checks a configuration to which entries were applied.
func parseAndCheck(text []byte) (*settings.Node, error) {
	cfg, err := settings.ParseNode(text)
	if err != nil {
		return nil, err
	}
	return cfg, checkUsable(cfg)
}

// baseError returns the error for a base configuration that is invalid without entries.
func baseError(err error) error {
	return fmt.Errorf("invalid base configuration: %w", configerror.Invalidf("", "%s", err))
}

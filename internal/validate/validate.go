// Package validate tells what of a configuration can't be used, without any of what it would be used for: the router at its
// start, `windflow config check` and the keepers of the configuration all ask it, so that they can't differ. It opens
// nothing and links neither the network nor a front.
package validate

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"windflow/internal/decide/configerror"
	"windflow/internal/settings"
)

// NodeConfig reads a configuration of the platform's as a router would, and tells what can't be used: one line that names the
// field.
func NodeConfig(text []byte) error {
	cfg, err := settings.ParseNode(text)
	if err != nil {
		return err
	}
	if _, _, err := settings.ParseEndpoints(cfg.KnownEndpoints); err != nil {
		return fmt.Errorf("field known: %w", err)
	}
	return usable(cfg)
}

// usable tells what the module, or the division of the descriptors, can't use.
func usable(cfg *settings.Node) error {
	d, err := DispatchConfig(cfg, cfg.SeedValue)
	if err == nil {
		err = d.Check()
	}
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	_, err = DivideResources(cfg, 0)
	return err
}

// Entries checks entries laid over a base configuration, the platform file of a router; nil where a router could use them.
// The entry at fault is the one that holds the field which the check names; where it names none of them, the first, in the
// order of their pointers, from which on the configuration can't be used: the same for the same entries, whoever asks.
//
// The error is or wraps a *configerror.Error of kind Invalid, whose pointer is empty where the base is at fault by itself.
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
	cfg, err := settings.ParseNode(text)
	if err == nil {
		err = usable(cfg)
	}
	if err == nil {
		return cfg, nil
	}
	pointer := named(err.Error(), entries)
	if pointer == "" {
		pointer = culprit(base, entries)
	}
	if pointer == "" {
		return nil, baseError(err)
	}
	return nil, configerror.Invalidf(pointer, "%s", err)
}

// baseError says that the base configuration is at fault and none of the entries.
func baseError(err error) error {
	return fmt.Errorf("the base configuration: %w", configerror.Invalidf("", "%s", err))
}

// named gives the pointer of the entry that holds the field which a reason begins with, or lies in it; empty for none:
// "field settings: classes[2].name: ..." is /settings/classes/2/name.
func named(reason string, entries map[string]settings.Value) string {
	field, ok := strings.CutPrefix(reason, "field ")
	if !ok {
		return ""
	}
	if below, ok := strings.CutPrefix(field, "settings: "); ok {
		field = "settings." + strings.TrimPrefix(below, "field ")
	}
	field, _, _ = strings.Cut(field, ":")
	field, _, _ = strings.Cut(field, " ")
	at := "/" + strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(field)
	for _, p := range slices.Sorted(maps.Keys(entries)) {
		if p == at || strings.HasPrefix(p, at+"/") || strings.HasPrefix(at, p+"/") {
			return p
		}
	}
	return ""
}

// culprit gives the pointer of the entry at fault, of entries that can be laid over the base but not used then: the first
// in their order with which, and with those before it, the configuration can't be used. Empty where the base can't either.
func culprit(base []byte, entries map[string]settings.Value) string {
	order := slices.Sorted(maps.Keys(entries))
	bad := func(n int) bool {
		some := make(map[string]settings.Value, n)
		for _, p := range order[:n] {
			some[p] = entries[p]
		}
		text, err := settings.Overlay(base, some)
		if err != nil {
			return true
		}
		cfg, err := settings.ParseNode(text)
		return err != nil || usable(cfg) != nil
	}
	if bad(0) {
		// The entries may mend a base that can't be used by itself, so that only all of them together say.
		return ""
	}
	n := sort.Search(len(order), bad)
	return order[min(max(n, 1), len(order))-1]
}

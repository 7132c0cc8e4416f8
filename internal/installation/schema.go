package installation

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/google/jsonschema-go/jsonschema"
)

// validateDocument validates a document against the schema. The error has a line for each fault.
func validateDocument(document any) error {
	root := &jsonschema.Schema{}
	if err := json.Unmarshal(schemaJSON, root); err != nil {
		return err
	}
	if lines := schemaErrors(root, "", document); len(lines) > 0 {
		return errors.New(strings.Join(lines, "\n"))
	}
	return nil
}

// schemaErrors validates a value against its schema and returns a line for each fault. The library stops at the first
// fault and reports its position in the schema. Therefore each field is validated on its own here, and a fault is
// reported with the JSON pointer of the field.
func schemaErrors(schema *jsonschema.Schema, pointer string, value any) []string {
	if object, ok := value.(map[string]any); ok && schema.Type == "object" {
		return objectErrors(schema, pointer, object)
	}
	if list, ok := value.([]any); ok && schema.Items != nil {
		if lines := itemErrors(schema.Items, pointer, list); len(lines) > 0 {
			return lines
		}
	}
	return valueErrors(schema, pointer, value)
}

// objectErrors returns a line for each missing or unknown field, and the faults of the other fields.
func objectErrors(schema *jsonschema.Schema, pointer string, object map[string]any) (lines []string) {
	for _, name := range schema.Required {
		if _, ok := object[name]; !ok {
			lines = append(lines, fmt.Sprintf("%s: field %s is missing", pointerOrRoot(pointer), name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(object)) {
		field := schema.Properties[name]
		if field == nil {
			known := strings.Join(slices.Sorted(maps.Keys(schema.Properties)), ", ")
			lines = append(lines, fmt.Sprintf("%s: unknown field %s; expected one of %s", pointerOrRoot(pointer), name, known))
			continue
		}
		lines = append(lines, schemaErrors(field, pointer+"/"+name, object[name])...)
	}
	return lines
}

// itemErrors returns the faults of the items of a list.
func itemErrors(schema *jsonschema.Schema, pointer string, list []any) (lines []string) {
	for i, item := range list {
		lines = append(lines, schemaErrors(schema, fmt.Sprintf("%s/%d", pointer, i), item)...)
	}
	return lines
}

// valueErrors validates a value other than an object; of a list it checks the length. It returns at most one line.
func valueErrors(schema *jsonschema.Schema, pointer string, value any) []string {
	// A part of the schema that is resolved on its own cannot refer to definitions in the root schema.
	resolved, err := schema.Resolve(nil)
	if err != nil {
		return []string{fmt.Sprintf("%s: the schema is invalid: %v", pointerOrRoot(pointer), err)}
	}
	err = resolved.Validate(value)
	if err == nil {
		return nil
	}
	text := strings.ReplaceAll(strings.TrimPrefix(err.Error(), "validating root: "), "\n", " ")
	text = integerFraction.ReplaceAllString(text, "$1")
	if schema.Description != "" {
		text += " (" + schema.Description + ")"
	}
	return []string{pointerOrRoot(pointer) + ": " + text}
}

// integerFraction matches integers that the library writes as fractions, such as 9999/1 and 4096.000000.
var integerFraction = regexp.MustCompile(`\b([0-9]+)(?:/1|[.]0+)\b`)

// pointerOrRoot returns the pointer, or "/" for the empty pointer of the root.
func pointerOrRoot(pointer string) string {
	if pointer == "" {
		return "/"
	}
	return pointer
}

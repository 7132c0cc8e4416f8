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

// validateDocument checks a document against the schema. The error has a line for each fault.
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

// schemaErrors checks a value against its schema and returns a line for each fault in it. The library stops at the
// first one and names it by the position in the schema; here each field is checked by itself, and named by its JSON
// pointer.
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

// objectErrors checks the names of the fields and each field.
func objectErrors(schema *jsonschema.Schema, pointer string, object map[string]any) (lines []string) {
	for _, name := range schema.Required {
		if _, ok := object[name]; !ok {
			lines = append(lines, fmt.Sprintf("%s: missing: %s", pointerOrRoot(pointer), name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(object)) {
		field := schema.Properties[name]
		if field == nil {
			known := strings.Join(slices.Sorted(maps.Keys(schema.Properties)), ", ")
			lines = append(lines, fmt.Sprintf("%s: unknown field %s; known are %s", pointerOrRoot(pointer), name, known))
			continue
		}
		lines = append(lines, schemaErrors(field, pointer+"/"+name, object[name])...)
	}
	return lines
}

func itemErrors(schema *jsonschema.Schema, pointer string, list []any) (lines []string) {
	for i, item := range list {
		lines = append(lines, schemaErrors(schema, fmt.Sprintf("%s/%d", pointer, i), item)...)
	}
	return lines
}

// valueErrors checks a value that is no object, and the length of a list.
func valueErrors(schema *jsonschema.Schema, pointer string, value any) []string {
	// Definitions of the root schema can't be referred to from a part that is resolved by itself.
	resolved, err := schema.Resolve(nil)
	if err != nil {
		return []string{fmt.Sprintf("%s: the schema: %v", pointerOrRoot(pointer), err)}
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

// integerFraction matches integers that the library writes as fractions: 9999/1, 4096.000000.
var integerFraction = regexp.MustCompile(`\b([0-9]+)(?:/1|[.]0+)\b`)

// pointerOrRoot returns "/" for the pointer of the root, which is empty.
func pointerOrRoot(pointer string) string {
	if pointer == "" {
		return "/"
	}
	return pointer
}

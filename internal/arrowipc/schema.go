package arrowipc

// Limits on a schema.
const (
	// MaxColumns bounds the number of columns.
	MaxColumns = 2048
	// maxSchemaText bounds the bytes of all names, metadata and time zones of a schema. Arrow copies each of them, also
	// if several fields refer to the same bytes.
	maxSchemaText = 64 << 10
	// maxMetadataEntries bounds the entries of metadata of a message.
	maxMetadataEntries = 1024
	// maxDecimalDigits bounds the precision and scale of a decimal type. Arrow's widest decimal has 76 digits.
	maxDecimalDigits = 76
)

// Fields of the tables Schema, Field, KeyValue, Decimal and Timestamp in Schema.fbs, in their order.
const (
	schemaFields, schemaMetadata, schemaFeatures       = 1, 2, 3
	fieldName, fieldTypeKind, fieldType, fieldEncoding = 0, 2, 3, 4
	fieldChildren, fieldMetadata                       = 5, 6
	keyValueKey, keyValueValue                         = 0, 1
	decimalPrecision, decimalScale                     = 0, 1
	timestampZone                                      = 1
	featureSize                                        = 8
	typeDecimal, typeTimestamp                         = 7, 10
	typeBinaryView, typeUtf8View, typeAfter            = 23, 24, 27
)

// nestedTypes are the members of the union Type whose values contain values of other types, with their names.
var nestedTypes = map[byte]string{
	12: "list", 13: "struct", 14: "union", 16: "fixed_size_list", 17: "map", 21: "large_list",
	22: "run_end_encoded", 25: "list_view", 26: "large_list_view",
}

// schemaChecker sums up what a schema makes Arrow allocate.
type schemaChecker struct {
	textBytes, metadataEntries int
	viewColumns                int  // columns whose values are views and not in a dictionary
	viewDictionary             bool // a column has a dictionary whose values are views
}

func (c *schemaChecker) check(schema table) error {
	_, columns, err := schema.vector(schemaFields, offsetSize)
	if err != nil {
		return err
	}
	if columns > MaxColumns {
		return malformed("the schema has %d columns, at most %d are allowed", columns, MaxColumns)
	}
	if _, _, err := schema.vector(schemaFeatures, featureSize); err != nil {
		return err
	}
	if err := c.checkMetadata(schema, schemaMetadata); err != nil {
		return err
	}
	return schema.children(schemaFields, c.checkField)
}

func (c *schemaChecker) checkField(field table) error {
	name := field.text(fieldName)
	if err := c.addText(name); err != nil {
		return err
	}
	kind := field.octet(fieldTypeKind)
	if nested, ok := nestedTypes[kind]; ok {
		return malformed("column %q has the type %s, which has no text form", name, nested)
	}
	if kind >= typeAfter {
		return malformed("column %q has the unknown type %d", name, kind)
	}
	if _, children, err := field.vector(fieldChildren, offsetSize); err != nil || children > 0 {
		return malformed("column %q has children, which its type %d does not allow", name, kind)
	}
	if err := c.checkType(field, kind); err != nil {
		return err
	}
	if kind == typeBinaryView || kind == typeUtf8View {
		c.countView(field)
	}
	return c.checkMetadata(field, fieldMetadata)
}

func (c *schemaChecker) countView(field table) {
	if _, encoded := field.child(fieldEncoding); encoded {
		c.viewDictionary = true
		return
	}
	c.viewColumns++
}

// checkType checks the parameters of a type by which a single value can become long.
func (c *schemaChecker) checkType(field table, kind byte) error {
	parameters, ok := field.child(fieldType)
	if !ok {
		return malformed("column %q has no type", field.text(fieldName))
	}
	switch kind {
	case typeDecimal:
		precision, scale := parameters.integer32(decimalPrecision), parameters.integer32(decimalScale)
		if precision < 0 || precision > maxDecimalDigits || scale < -maxDecimalDigits || scale > maxDecimalDigits {
			return malformed("column %q has the type decimal(%d, %d), allowed are 0 to %d and -%d to %d",
				field.text(fieldName), precision, scale, maxDecimalDigits, maxDecimalDigits, maxDecimalDigits)
		}
	case typeTimestamp:
		return c.addText(parameters.text(timestampZone))
	}
	return nil
}

func (c *schemaChecker) checkMetadata(t table, field int) error {
	return t.children(field, func(entry table) error {
		if c.metadataEntries++; c.metadataEntries > maxMetadataEntries {
			return malformed("more than %d entries of metadata", maxMetadataEntries)
		}
		if err := c.addText(entry.text(keyValueKey)); err != nil {
			return err
		}
		return c.addText(entry.text(keyValueValue))
	})
}

func (c *schemaChecker) addText(text []byte) error {
	if c.textBytes += len(text); c.textBytes > maxSchemaText {
		return malformed("the names and metadata have more than %d bytes", maxSchemaText)
	}
	return nil
}

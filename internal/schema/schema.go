// Package schema validates handwritten JSON against a JSON schema, and reports the first invalid field.
package schema

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Validate validates data against a schema. name identifies the schema in errors about the schema itself. An
// error has one line; if a field is invalid, it begins with the path of the field.
func Validate(name string, schema, data []byte) error {
	compiled, err := compile(name, schema)
	if err != nil {
		return fmt.Errorf("invalid JSON schema: %w", err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("bad JSON: %s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	err = compiled.Validate(value)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return firstViolation(invalid)
	}
	return err
}

func compile(name string, schema []byte) (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		return nil, err
	}
	return compiler.Compile(name)
}

// firstViolation follows the first cause at each level of a validation error, and returns a description of the
// innermost one, preceded by the path of its field.
func firstViolation(invalid *jsonschema.ValidationError) error {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	description := invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return fmt.Errorf("/%s: %s", strings.Join(invalid.InstanceLocation, "/"), description)
}

// Package schema holds JSON that people write against a JSON schema, and names the first
// field that is wrong.
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

// Validate holds the data against the schema of a name. An error is one line; it begins with
// the field's path where a field is wrong.
func Validate(name string, schema, data []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	compiled, err := c.Compile(name)
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("bad JSON: %s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	var invalid *jsonschema.ValidationError
	if err := compiled.Validate(value); errors.As(err, &invalid) {
		for len(invalid.Causes) > 0 {
			invalid = invalid.Causes[0]
		}
		what := invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		return fmt.Errorf("/%s: %s", strings.Join(invalid.InstanceLocation, "/"), what)
	} else if err != nil {
		return err
	}
	return nil
}

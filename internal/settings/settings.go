// Package settings decodes the settings that the platform gives a limiter: the classes and plans of the service, the
// size of the tier, and what the platform allows. The simulator sends them at the start of a limiter; a limiter on
// sockets reads them from its configuration file. Only this package maps the platform's names to the terms of package
// admission.
package settings

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/admission"
)

// Settings are the settings of a limiter: those of its admission controller, and those that only a limiter on sockets
// needs.
type Settings struct {
	admission.Settings
	ConnectTimeout time.Duration // of a connection to a backend; 0 if not known
	IdleClose      time.Duration // idle time after which a backend closes a connection at the latest; 0 if not known
	MaxUnits       float64       // units that one request takes from a quota at most; 0 if not known
}

// Decode decodes the settings from a JSON object. It skips unknown keys, and missing keys leave a field at zero. It
// fails if the JSON is malformed, if there is no class, or if a class has an unknown effect or group; the error is a
// single line.
//
// The Epoch is not in the settings: the caller sets it.
func Decode(text []byte) (Settings, error) {
	var doc document
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, &doc); err != nil {
		return Settings{}, fmt.Errorf("bad JSON: %s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if len(doc.Classes) == 0 {
		return Settings{}, errors.New("no classes")
	}
	classes, err := doc.classes()
	if err != nil {
		return Settings{}, err
	}
	decoded := Settings{
		Settings:       doc.admissionSettings(),
		ConnectTimeout: Duration(doc.Allowed.ConnectTimeout),
		IdleClose:      Duration(doc.Allowed.IdleClose),
		MaxUnits:       doc.Service.MaxUnits,
	}
	decoded.Classes = classes
	decoded.Plans = doc.plans()
	return decoded, nil
}

// Duration converts a time as the platform writes it, in seconds with fractions, to the nearest
// nanosecond. The result is unspecified for NaN and beyond the range of time.Duration, about 292 years.
func Duration(seconds float64) time.Duration {
	return time.Duration(math.Round(seconds * float64(time.Second)))
}

// maxExcerpt is how many bytes of an external text an error quotes.
const maxExcerpt = 40

// Excerpt shortens an external text to the length that an error may quote.
func Excerpt(text string) string {
	if len(text) <= maxExcerpt {
		return text
	}
	return text[:maxExcerpt] + "..."
}

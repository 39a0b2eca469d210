// Package settings decodes the settings that the platform gives a limiter: the classes and plans of
// the service, the size of the tier, and what the site allows. The simulator sends them at the start
// of a limiter; a limiter on sockets has them in its configuration file. This is the one place where
// the platform's names are mapped to the terms of package admission.
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

// Settings configure a limiter: its admission controller, and what only a limiter on sockets needs.
type Settings struct {
	admission.Settings
	ConnectTimeout time.Duration // of a connection to a backend; 0 if not known
	IdleClose      time.Duration // after which at the latest a backend closes an idle connection; 0 if not known
	MaxUnits       float64       // that one request takes from a quota; 0 if not known
}

// Decode reads the settings, a JSON object. Keys that it does not know are skipped, and keys that are
// missing leave a zero. It fails if the JSON is malformed, if there is no class, and if a class has an
// effect or a group that is not known; the error is one plain line.
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
		MaxUnits:       doc.Service.MostUnits,
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

// maxExcerpt is how many bytes of a text from outside an error quotes.
const maxExcerpt = 40

// Excerpt shortens a text from outside to what an error may quote.
func Excerpt(text string) string {
	if len(text) <= maxExcerpt {
		return text
	}
	return text[:maxExcerpt] + "..."
}

package config

import (
	_ "embed"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/handover"
	"lemongate/internal/handover/link"
	"lemongate/internal/schema"
)

//go:embed operator.schema.json
var operatorSchema []byte

// Takeover is what the operators' file says of takeovers.
type Takeover struct {
	Dir     string // where the processes of a limiter find each other
	Silence time.Duration
	Trial   time.Duration
}

// operator is the operators' file as it stands.
type operator struct {
	Takeover struct {
		On        bool   `json:"on"`
		Dir       string `json:"dir"`
		SilenceMS int    `json:"silence_ms"`
		TrialS    int    `json:"trial_s"`
	} `json:"takeover"`
}

// Operator reads the operators' file into a configuration. With no path all that is set
// there is off.
func (c *Config) Operator(path string) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	var o operator
	if err := schema.Validate("operator.schema.json", operatorSchema, data); err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(data, &o); err != nil {
		return fmt.Errorf("operators' file: %s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if t := o.Takeover; t.On {
		if t.Dir == "" {
			t.Dir = os.TempDir()
		}
		c.Takeover = &Takeover{
			Dir: t.Dir, Silence: time.Duration(t.SilenceMS) * time.Millisecond, Trial: time.Duration(t.TrialS) * time.Second,
		}
	}
	return nil
}

// Path is where the processes of a limiter find each other.
func (t *Takeover) Path(name string) string { return link.Path(filepath.Clean(t.Dir), name) }

func (t *Takeover) limits() *handover.Limits {
	if t == nil {
		return nil
	}
	l := handover.DefaultLimits()
	if t.Silence > 0 {
		l.Silence = t.Silence
	}
	if t.Trial > 0 {
		l.Trial = t.Trial
	}
	return &l
}

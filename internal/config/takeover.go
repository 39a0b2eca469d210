package config

import (
	"cmp"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/handover"
	"lemongate/internal/handover/link"
	"lemongate/internal/lease"
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
	Leases struct {
		On       bool     `json:"on"`
		LengthMS int      `json:"length_ms"`
		Keepers  int      `json:"keepers"`
		Tasks    []string `json:"tasks"`
	} `json:"leases"`
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
	if l := o.Leases; l.On {
		c.Leases = &lease.Settings{
			Tasks: l.Tasks, Keepers: cmp.Or(l.Keepers, leaseKeepers), Drift: leaseDrift,
			Length: cmp.Or(time.Duration(l.LengthMS)*time.Millisecond, leaseLength),
			Floor:  uint64(time.Now().UnixMilli()),
		}
		if len(c.Peers) == 0 && c.Settings.Gateways > 1 {
			return errors.New("operators' file: /leases: there are no peers to agree with")
		}
	}
	return nil
}

// Defaults of leases, and the rate that clocks are assumed to be off by at most.
const (
	leaseKeepers = 5
	leaseLength  = 4 * time.Second
	leaseDrift   = 0.01
)

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

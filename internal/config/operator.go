package config

import (
	"cmp"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
	"lemongate/internal/lease"
	"lemongate/internal/rollingrestart"
	"lemongate/internal/schema"
)

// This file reads the operators' file, whose path is a command-line option. The keys are those of release
// 0.8.0.

// operatorSchemaName names the schema in errors.
const operatorSchemaName = "operator.schema.json"

//go:embed operator.schema.json
var operatorSchema []byte

// OperatorSchema returns the JSON schema of the operators' file.
func OperatorSchema() []byte { return operatorSchema }

// Defaults of the operators' file.
const (
	defaultAcceptors       = 5
	defaultLeaseDuration   = 4 * time.Second
	defaultUsagePeriod     = time.Minute
	defaultMaxRestarts     = 1
	defaultRestartDuration = 30 * time.Second
)

const (
	// clockDrift is the maximum rate error of a clock, as a fraction, that leases tolerate.
	clockDrift = 0.01
	// repliesPerLease is the number of replies that a lease holder receives from each other acceptor per lease
	// duration. It renews the lease every 0.4 of the duration, and receives a promise and an accept each time.
	repliesPerLease = 5
	// leaseMessageFraction is the fraction of the received datagrams that may be about leases; the rest is
	// gossip about quotas and backends.
	leaseMessageFraction = 0.3
)

var (
	errNoUsageDir   = errors.New("/rollup/dir: required if /leases/tasks contains rollup")
	errNoLeasePeers = errors.New("/leases: leases among several limiters require the addresses of the peers")
)

// operatorFile is the operators' file. Its schema bounds the values.
type operatorFile struct {
	HotRestart   hotRestartOptions   `json:"takeover"`
	Leases       leaseOptions        `json:"leases"`
	Usage        usageOptions        `json:"rollup"`
	RestartSlots restartSlotsOptions `json:"restarts"`
}

// hotRestartOptions configure hot restarts: a successor process takes over from the limiter's running process.
// The durations default to those of hotrestart.DefaultLimits.
type hotRestartOptions struct {
	Enabled            bool   `json:"on"`         // enables hot restarts
	Dir                string `json:"dir"`        // directory that both processes share; default: os.TempDir()
	HeartbeatTimeoutMS int    `json:"silence_ms"` // ms without a heartbeat after which the successor counts as failed
	ProbationS         int    `json:"trial_s"`    // duration of the probation in s, after which the predecessor ends
}

// leaseOptions configure leases, under each of which one limiter at a time does a task.
type leaseOptions struct {
	Enabled    bool     `json:"on"`        // enables leases
	DurationMS int      `json:"length_ms"` // duration of a lease, in ms; default: 4000
	Acceptors  int      `json:"keepers"`   // number of acceptors per task; default: 5
	Tasks      []string `json:"tasks"`     // names of the enabled tasks: values of core.Task...
}

// usageOptions configure usage accounting, which is a task under a lease.
type usageOptions struct {
	Dir     string `json:"dir"`      // directory of the usage files; required if the usage task is enabled
	PeriodS int    `json:"period_s"` // length of the period that a report covers, in s; default: 60
}

// restartSlotsOptions configure rolling restarts, whose coordination is a task under a lease.
type restartSlotsOptions struct {
	MaxConcurrent int `json:"most"`   // maximum number of limiters that restart at once; default: 1
	DurationS     int `json:"turn_s"` // time within which a granted restart has to begin, in s; default: 30
}

// LoadOperator reads the operators' file into a configuration that Load has returned, and validates it against
// the settings and the peers of that configuration. Features that the file does not enable stay disabled; with
// an empty path all of them do.
func (c *Config) LoadOperator(path string) error {
	if path == "" {
		return nil
	}
	if err := c.loadOperator(path); err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	return nil
}

func (c *Config) loadOperator(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := schema.Validate(operatorSchemaName, operatorSchema, data); err != nil {
		return err
	}
	var f operatorFile
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(data, &f); err != nil {
		return errors.New(singleLine(err))
	}
	c.setHotRestart(&f.HotRestart)
	return c.setLeases(&f)
}

func (c *Config) setHotRestart(o *hotRestartOptions) {
	if !o.Enabled {
		return
	}
	c.HotRestart = &HotRestart{
		Dir:               o.Dir,
		HeartbeatTimeout:  time.Duration(o.HeartbeatTimeoutMS) * time.Millisecond,
		ProbationDuration: time.Duration(o.ProbationS) * time.Second,
	}
	if o.Dir == "" {
		c.HotRestart.Dir = os.TempDir()
	}
}

// setLeases enables leases and the tasks under them, and validates their options.
func (c *Config) setLeases(f *operatorFile) error {
	o := &f.Leases
	if !o.Enabled {
		return nil
	}
	c.Leases = &lease.Settings{
		Tasks:         o.Tasks,
		AcceptorCount: cmp.Or(o.Acceptors, defaultAcceptors),
		ClockDrift:    clockDrift,
		Duration:      cmp.Or(time.Duration(o.DurationMS)*time.Millisecond, defaultLeaseDuration),
		MinToken:      uint64(time.Now().UnixMilli()),
	}
	if err := c.setUsage(&f.Usage); err != nil {
		return err
	}
	if err := c.setRestartSlots(&f.RestartSlots); err != nil {
		return err
	}
	return c.validateLeases()
}

func (c *Config) setUsage(o *usageOptions) error {
	if !slices.Contains(c.Leases.Tasks, core.TaskUsage) {
		return nil
	}
	if o.Dir == "" {
		return errNoUsageDir
	}
	c.Usage = Usage{Dir: o.Dir, Period: cmp.Or(time.Duration(o.PeriodS)*time.Second, defaultUsagePeriod)}
	return nil
}

func (c *Config) setRestartSlots(o *restartSlotsOptions) error {
	if !slices.Contains(c.Leases.Tasks, core.TaskRestarts) {
		return nil
	}
	if n := c.Settings.Limiters; n > rollingrestart.MaxLimiters {
		return fmt.Errorf("/leases/tasks: restart slots support at most %d limiters, there are %d", rollingrestart.MaxLimiters, n)
	}
	c.RestartSlots = core.RestartSlotSettings{
		MaxConcurrent: cmp.Or(o.MaxConcurrent, defaultMaxRestarts),
		Duration:      cmp.Or(time.Duration(o.DurationS)*time.Second, defaultRestartDuration),
	}
	return nil
}

func (c *Config) validateLeases() error {
	datagramsPerSecond := c.Settings.PeerMessagesPerSecond
	minDuration := minLeaseDuration(c.Leases, c.Settings.Limiters, datagramsPerSecond)
	if c.Leases.Duration < minDuration {
		return fmt.Errorf("/leases/length_ms: %d tasks with %d acceptors (keepers) require at least %d ms, as a limiter may receive %g datagrams per second",
			len(c.Leases.Tasks), c.Leases.AcceptorCount, minDuration.Milliseconds(), datagramsPerSecond)
	}
	if len(c.Peers) == 0 && c.Settings.Limiters > 1 {
		return errNoLeasePeers
	}
	return nil
}

// minLeaseDuration returns the shortest lease duration with which one limiter can hold all leases: it has to
// receive the replies of the acceptors, and may receive only datagramsPerSecond; 0 means no limit on datagrams.
func minLeaseDuration(s *lease.Settings, limiters int, datagramsPerSecond float64) time.Duration {
	if datagramsPerSecond <= 0 {
		return 0
	}
	otherAcceptors := min(s.AcceptorCount, limiters) - 1
	replies := float64(len(s.Tasks) * repliesPerLease * otherAcceptors)
	return time.Duration(replies / (leaseMessageFraction * datagramsPerSecond) * float64(time.Second))
}

// SocketPath returns the path of the socket through which the processes of a limiter find each other.
func (h *HotRestart) SocketPath(name string) string { return link.Path(filepath.Clean(h.Dir), name) }

// limits returns the timeouts of hot restarts; nil if hot restarts are disabled.
func (h *HotRestart) limits() *hotrestart.Limits {
	if h == nil {
		return nil
	}
	limits := hotrestart.DefaultLimits()
	if h.HeartbeatTimeout > 0 {
		limits.HeartbeatTimeout = h.HeartbeatTimeout
	}
	if h.ProbationDuration > 0 {
		limits.ProbationDuration = h.ProbationDuration
	}
	return &limits
}

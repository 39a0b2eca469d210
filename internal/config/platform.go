package config

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/discovery"
	"lemongate/internal/settings"
)

// This file reads the platform's configuration: the file that ROUTER_CONFIG names, and environment
// variables that override some of its options.

// Environment variables that are read. All but pathVariable override an option of the file.
const (
	pathVariable      = "ROUTER_CONFIG"
	nameVariable      = "ROUTER_NAME"
	listenVariable    = "ROUTER_LISTEN"
	discoveryVariable = "ROUTER_DISCOVERY"
	consoleVariable   = "ROUTER_CONSOLE"
)

// maxPlans is the number of plans that gossip can distinguish: it has one byte for the plan of a customer.
const maxPlans = 255

var (
	errNoPath         = errors.New(pathVariable + " is not set")
	errNegativeLimits = errors.New("limits: cores, memory_mb or sockets is negative")
	errNoPlans        = errors.New("settings: no plans")
)

// platformFile is the platform's configuration file. No option has a default other than its zero value.
type platformFile struct {
	Name       string              `json:"name"`        // of the limiter
	Listen     string              `json:"listen"`      // host:port at which clients connect; required
	Discovery  string              `json:"discovery"`   // host:port of endpoint discovery; required
	Console    string              `json:"console"`     // host:port of the administration server; empty for none
	Seed       string              `json:"seed"`        // 16 hex digits, or any text
	Limits     Limits              `json:"limits"`      // of this limiter; 0 for no limit
	PeerListen string              `json:"peer_listen"` // host:port for datagrams of limiters; empty disables gossip
	Peers      []string            `json:"peers"`       // host:port of each limiter, by number; required with peer_listen
	PeersAll   string              `json:"peers_all"`   // host:port that reaches all limiters; empty for none
	Known      jsoniter.RawMessage `json:"known"`       // endpoint list, as discovery sends it; optional
	Settings   jsoniter.RawMessage `json:"settings"`    // of the service, see package settings; required
}

// Load reads the platform's configuration at the start of the program. env returns the value of an
// environment variable. origin is the wall-clock time at which the program's clock was at zero.
func Load(env func(string) string, origin time.Time) (*Config, error) {
	return load(env, origin, false)
}

// Reload reads the platform's configuration again. The address of discovery in the file, if there is one,
// takes precedence over the environment, which still has the address from the start.
func Reload(env func(string) string, origin time.Time) (*Config, error) {
	return load(env, origin, true)
}

func load(env func(string) string, origin time.Time, reloading bool) (*Config, error) {
	c, err := readPlatformFile(env, origin, reloading)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

func readPlatformFile(env func(string) string, origin time.Time, reloading bool) (*Config, error) {
	path := env(pathVariable)
	if path == "" {
		return nil, errNoPath
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f platformFile
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("bad JSON: %s", singleLine(err))
	}
	f.applyEnvironment(env, reloading)
	return f.decode(origin)
}

// singleLine returns the text of an error as one line.
func singleLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }

// applyEnvironment sets the options for which an environment variable is set. When reloading, the address of
// discovery is taken from the environment only if the file has none.
func (f *platformFile) applyEnvironment(env func(string) string, reloading bool) {
	for _, option := range []struct {
		variable string
		value    *string
	}{
		{nameVariable, &f.Name},
		{listenVariable, &f.Listen},
		{discoveryVariable, &f.Discovery},
		{consoleVariable, &f.Console},
	} {
		if reloading && option.variable == discoveryVariable && f.Discovery != "" {
			continue
		}
		if text := env(option.variable); text != "" {
			*option.value = text
		}
	}
}

// decode validates the file and returns its configuration.
func (f *platformFile) decode(origin time.Time) (*Config, error) {
	c := &Config{
		Name: f.Name, ListenAddr: f.Listen, DiscoveryAddr: f.Discovery, AdminAddr: f.Console,
		Limits: f.Limits, Seed: parseSeed(f.Seed),
	}
	var err error
	if c.Settings, err = settings.Decode(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	// All machines read the same clock, so a later start has a later epoch, unless it has wrapped in between.
	c.Settings.Epoch = NewEpoch()
	if err := c.decodeKnownEndpoints(f.Known, origin); err != nil {
		return nil, err
	}
	if err := c.validateAddresses(); err != nil {
		return nil, err
	}
	if err := c.decodePeers(f); err != nil {
		return nil, err
	}
	return c, c.validate()
}

func (c *Config) decodeKnownEndpoints(data []byte, origin time.Time) error {
	if len(data) == 0 {
		return nil
	}
	list, generation, err := discovery.Decode(data, origin)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	c.KnownEndpoints, c.KnownGeneration = list.Endpoints, generation
	return nil
}

func (c *Config) validateAddresses() error {
	for _, address := range []struct {
		option, value string
		optional      bool
	}{
		{"listen", c.ListenAddr, false},
		{"discovery", c.DiscoveryAddr, false},
		{"console", c.AdminAddr, true},
	} {
		if address.optional && address.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return fmt.Errorf("%s: %w", address.option, err)
		}
	}
	return nil
}

// decodePeers decodes the addresses of the limiters. Without peer_listen gossip is disabled, whatever the
// settings allow.
func (c *Config) decodePeers(f *platformFile) (err error) {
	if f.PeerListen == "" {
		c.Settings.GossipEnabled = false
		return nil
	}
	if c.PeerListen, err = netip.ParseAddrPort(f.PeerListen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	if f.PeersAll != "" {
		if c.PeerBroadcast, err = netip.ParseAddrPort(f.PeersAll); err != nil {
			return fmt.Errorf("peers_all: %w", err)
		}
	}
	for number, text := range f.Peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peers: address of limiter %d: %w", number, err)
		}
		c.Peers = append(c.Peers, peer)
	}
	return nil
}

// validate finds errors that would otherwise show later or not at all.
func (c *Config) validate() error {
	s := &c.Settings
	switch {
	case s.Limiters > 1 && (s.Self < 0 || s.Self >= s.Limiters):
		return fmt.Errorf("settings: me: limiter number %d is out of range for %d limiters", s.Self, s.Limiters)
	case c.PeerListen.IsValid() && len(c.Peers) != max(s.Limiters, 1):
		return fmt.Errorf("peers: %d addresses for %d limiters", len(c.Peers), s.Limiters)
	case c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0:
		return errNegativeLimits
	}
	if err := c.validatePlans(); err != nil {
		return err
	}
	return c.validateClasses()
}

func (c *Config) validatePlans() error {
	plans := c.Settings.Plans
	if len(plans) == 0 {
		return errNoPlans
	}
	if len(plans) > maxPlans {
		return fmt.Errorf("settings: %d plans, %d at most", len(plans), maxPlans)
	}
	names := map[string]bool{}
	for _, plan := range plans {
		if names[plan.Name] {
			return fmt.Errorf("settings: duplicate plan %q", plan.Name)
		}
		names[plan.Name] = true
	}
	return nil
}

func (c *Config) validateClasses() error {
	names := map[string]bool{}
	for _, class := range c.Settings.Classes {
		if class.Name == "" || class.Deadline <= 0 {
			return fmt.Errorf("settings: class %q: a name and a positive deadline are required", class.Name)
		}
		if names[class.Name] {
			return fmt.Errorf("settings: duplicate class %q", class.Name)
		}
		names[class.Name] = true
	}
	return nil
}

// parseSeed returns the number that hexadecimal digits stand for, or the hash of any other text.
func parseSeed(text string) uint64 {
	if number, err := strconv.ParseUint(text, 16, 64); err == nil {
		return number
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // never fails
	return hash.Sum64()
}

// NewEpoch returns the epoch of a limiter that starts now: the Unix time in ms, modulo 2^32. It wraps every
// 49.7 days, so epochs differ from start to start but do not always increase.
func NewEpoch() uint32 { return uint32(time.Now().UnixMilli()) }

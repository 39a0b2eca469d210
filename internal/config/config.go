// Package config turns the environment and the configuration file into typed
// settings. What is wrong with them is told in one plain error.
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

	"lemongate/internal/core"
	"lemongate/internal/discovery"
	"lemongate/internal/lease"
	"lemongate/internal/settings"
)

// Config is all that the program is told.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Discovery string
	Console   string // where operators call; empty for nowhere
	Seed      uint64
	Limits    Limits

	PeerListen netip.AddrPort
	Peers      []netip.AddrPort // by the limiters' numbers
	PeersAll   netip.AddrPort   // reaches all of them

	HotRestart   *HotRestart     // nil for none
	Leases       *lease.Settings // nil for none
	Usage        Usage
	RestartSlots core.RestartSlots // planned restarts

	KnownEndpoints []core.Endpoint // the backends as last known
	Generation     int64           // of that list
	Settings       settings.Settings
}

// Limits are the platform's for one limiter; zero means none is told.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// file is the configuration file as it stands.
type file struct {
	Name       string              `json:"name"`
	Listen     string              `json:"listen"`
	Discovery  string              `json:"discovery"`
	Console    string              `json:"console"`
	Seed       string              `json:"seed"`
	Limits     Limits              `json:"limits"`
	PeerListen string              `json:"peer_listen"`
	Peers      []string            `json:"peers"`
	PeersAll   string              `json:"peers_all"`
	Known      jsoniter.RawMessage `json:"known"`
	Settings   jsoniter.RawMessage `json:"settings"`
}

// Load reads the file that ROUTER_CONFIG names; ROUTER_NAME, ROUTER_LISTEN,
// ROUTER_DISCOVERY and ROUTER_CONSOLE go before what the file says. Origin is the Unix time at
// which the program's clock stood at zero.
func Load(env func(string) string, origin time.Time) (*Config, error) {
	return load(env, origin, false)
}

// Reload reads the file again. What it says of discovery goes before the
// environment, which still holds what was so at the start.
func Reload(env func(string) string, origin time.Time) (*Config, error) {
	return load(env, origin, true)
}

func load(env func(string) string, origin time.Time, again bool) (*Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("configuration: ROUTER_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := parse(data, env, origin, again)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

func parse(data []byte, env func(string) string, origin time.Time, again bool) (*Config, error) {
	var f file
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("bad JSON: %s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	for name, to := range map[string]*string{
		"ROUTER_NAME": &f.Name, "ROUTER_LISTEN": &f.Listen, "ROUTER_DISCOVERY": &f.Discovery,
		"ROUTER_CONSOLE": &f.Console,
	} {
		if again && name == "ROUTER_DISCOVERY" && *to != "" {
			continue
		}
		if v := env(name); v != "" {
			*to = v
		}
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Console: f.Console, Limits: f.Limits, Seed: seed(f.Seed)}
	var err error
	if c.Settings, err = settings.Decode(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	// Every machine reads the same clock, so a later start has a later epoch.
	c.Settings.Epoch = uint32(time.Now().UnixMilli())
	if len(f.Known) > 0 {
		list, generation, err := discovery.Decode(f.Known, origin)
		if err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		c.KnownEndpoints, c.Generation = list.Endpoints, generation
	}
	for _, at := range []struct{ what, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, err := netip.ParseAddrPort(at.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", at.what, err)
		}
	}
	if c.Console != "" {
		if _, err := netip.ParseAddrPort(c.Console); err != nil {
			return nil, fmt.Errorf("console: %w", err)
		}
	}
	if err := c.peers(&f); err != nil {
		return nil, err
	}
	return c, c.check()
}

// peers reads the addresses of the other limiters, where there are any.
func (c *Config) peers(f *file) (err error) {
	if f.PeerListen == "" {
		c.Settings.GossipEnabled = false // there is nothing to tell it through
		return nil
	}
	if c.PeerListen, err = netip.ParseAddrPort(f.PeerListen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	if f.PeersAll != "" {
		if c.PeersAll, err = netip.ParseAddrPort(f.PeersAll); err != nil {
			return fmt.Errorf("peers_all: %w", err)
		}
	}
	for i, p := range f.Peers {
		at, err := netip.ParseAddrPort(p)
		if err != nil {
			return fmt.Errorf("peers: number %d: %w", i, err)
		}
		c.Peers = append(c.Peers, at)
	}
	return nil
}

// plansMost is how many plans limiters can tell apart in what they say of customers.
const plansMost = 255

// check finds what would only fail later, or quietly.
func (c *Config) check() error {
	s := &c.Settings
	switch {
	case s.Limiters > 1 && (s.Self < 0 || s.Self >= s.Limiters):
		return fmt.Errorf("settings: me is %d of %d", s.Self, s.Limiters)
	case c.PeerListen.IsValid() && len(c.Peers) != max(s.Limiters, 1):
		return fmt.Errorf("peers: %d addresses for %d limiters", len(c.Peers), s.Limiters)
	case c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0:
		return errors.New("limits: below zero")
	case len(s.Plans) == 0:
		return errors.New("settings: no plans")
	case len(s.Plans) > plansMost:
		return fmt.Errorf("settings: %d plans, %d at most", len(s.Plans), plansMost)
	}
	names := map[string]bool{}
	for _, p := range s.Plans {
		if names[p.Name] {
			return fmt.Errorf("settings: plan %q twice", p.Name)
		}
		names[p.Name] = true
	}
	clear(names)
	for _, class := range s.Classes {
		if class.Name == "" || class.Deadline <= 0 {
			return fmt.Errorf("settings: class %q: no deadline", class.Name)
		}
		if names[class.Name] {
			return fmt.Errorf("settings: class %q twice", class.Name)
		}
		names[class.Name] = true
	}
	return nil
}

// seed takes 16 hex digits as they are and any other text by its hash.
func seed(text string) uint64 {
	if v, err := strconv.ParseUint(text, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// Core is the part of the configuration that the reducer needs.
func (c *Config) Core() core.Config {
	return core.Config{
		Settings: c.Settings.Settings, Seed: c.Seed, KnownEndpoints: c.KnownEndpoints, Discovery: c.Discovery, PublishesMetrics: c.Console != "",
		Generation: c.Generation, HotRestart: c.HotRestart.limits(), Epoch: c.Settings.Epoch,
		Leases: c.Leases, UsagePeriod: c.Usage.Period, RestartSlots: c.RestartSlots,
	}
}

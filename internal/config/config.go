// Package config reads the configuration of a limiter: the platform's (platform.go), from a file and the
// environment, and the operators' (operator.go), from a file of their own. Each error is one line and reports
// the first fault found.
package config

import (
	"net/netip"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/lease"
	"lemongate/internal/settings"
)

// Config is the complete configuration of a limiter.
type Config struct {
	Name          string // of the limiter; its processes find each other by it
	ListenAddr    string // host:port at which clients connect
	DiscoveryAddr string // host:port of endpoint discovery
	AdminAddr     string // host:port of the administration server; empty for none
	Seed          uint64 // seed of all random choices
	Limits        Limits

	PeerListen    netip.AddrPort   // address at which datagrams of other limiters are received; zero for no gossip
	Peers         []netip.AddrPort // addresses of the limiters, by number
	PeerBroadcast netip.AddrPort   // address that reaches all limiters; zero for none

	HotRestart   *HotRestart              // nil if hot restarts are disabled
	Leases       *lease.Settings          // nil if leases are disabled
	Usage        Usage                    // usage accounting
	RestartSlots core.RestartSlotSettings // of rolling restarts; zero if they are disabled

	KnownEndpoints  []core.Endpoint   // the last endpoint list that the platform had
	KnownGeneration int64             // generation of that list
	Settings        settings.Settings // of the service: classes, plans, and what the platform allows
}

// customersPerMB is the number of customers that are known at once for each MB of the memory limit: about a sixteenth of it.
const customersPerMB = 64

// Limits are the platform's limits for one limiter. Zero means no limit.
type Limits struct {
	Cores    float64 `json:"cores"`     // CPU cores
	MemoryMB int64   `json:"memory_mb"` // MiB
	Sockets  int     `json:"sockets"`   // open sockets
}

// HotRestart is the configuration of hot restarts.
type HotRestart struct {
	Dir               string        // directory in which the processes of a limiter find each other
	HeartbeatTimeout  time.Duration // zero for the default of hotrestart.DefaultLimits
	ProbationDuration time.Duration // zero for the default of hotrestart.DefaultLimits
}

// Usage is the configuration of usage accounting; zero if it is disabled.
type Usage struct {
	Dir    string        // directory of the usage files
	Period time.Duration // length of the period that a report covers, in whole seconds
}

// Core returns the part of the configuration that package core needs.
func (c *Config) Core() core.Config {
	return core.Config{
		Settings:         c.Settings.Settings,
		MaxCustomers:     int(c.Limits.MemoryMB) * customersPerMB,
		Seed:             c.Seed,
		KnownEndpoints:   c.KnownEndpoints,
		Discovery:        c.DiscoveryAddr,
		PublishesMetrics: c.AdminAddr != "",
		KnownGeneration:  c.KnownGeneration,
		HotRestart:       c.HotRestart.limits(),
		Epoch:            c.Settings.Epoch,
		Leases:           c.Leases,
		UsagePeriod:      c.Usage.Period,
		RestartSlots:     c.RestartSlots,
	}
}

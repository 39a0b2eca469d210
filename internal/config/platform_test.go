package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// validConfig is a valid configuration file, of limiter 1 in a tier of 2 limiters.
const validConfig = `{"name":"n3","listen":"127.0.0.4:8443","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "peer_listen":"127.0.0.4:7946","peers":["127.0.0.3:7946","127.0.0.5:7946"],"peers_all":"127.0.0.6:7946",
 "known":{"generation":41,"reset":true,"instances":[
  {"instanceId":"s-1","hostPort":"127.0.0.7:1","zone":"a","cell":1,"lifecycle":"up","weight":1,"startedAtMs":0}]},
 "settings":{"siblings":2,"me":1,"zone":"a","granularity_s":0.002,"more":{},
  "classes":[{"name":"read","effect":"idempotent","group":"all","on_time_s":0.75,"deadline_s":2,"importance":2}],
  "tiers_of_service":[{"name":"small","refill":2,"depth":7}],"family_info":{"most_units":4,"peer_in_per_s":40},
  "allowed":{"peers":true,"connect_timeout_s":0.25,"idle_close_s":15,"max_attempts":5}}}`

// loadFunc is the type of Load and Reload.
type loadFunc func(env func(string) string, origin time.Time) (*Config, error)

// loadContent calls load with a configuration file of the given content, and with the environment variables env.
func loadContent(t *testing.T, load loadFunc, content string, env map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return load(func(name string) string {
		if name == "ROUTER_CONFIG" {
			return path
		}
		return env[name]
	}, time.Now())
}

func TestLoad(t *testing.T) {
	c, err := loadContent(t, Load, validConfig, map[string]string{"ROUTER_NAME": "n9"})
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Name != "n9" || c.ListenAddr != "127.0.0.4:8443" || c.Seed != 0x8c1f30d27a5be964 || c.Limits != (Limits{1, 192, 1024}) ||
		len(c.Peers) != 2 || c.PeerBroadcast.String() != "127.0.0.6:7946" || len(c.KnownEndpoints) != 1 || c.KnownGeneration != 41 ||
		s.Self != 1 || s.ConnectTimeout != 250*time.Millisecond || s.IdleClose != 15*time.Second || s.MaxUnits != 4 || !s.GossipEnabled {
		t.Errorf("configuration %+v, want that of validConfig, with the name n9 from the environment", c)
	}
}

// After the start the environment still has the address of discovery at that time. A reload therefore prefers
// the address in the file, if there is one.
func TestReload(t *testing.T) {
	env := map[string]string{"ROUTER_DISCOVERY": "127.0.0.9:1", "ROUTER_NAME": "n9"}
	if c, err := loadContent(t, Load, validConfig, env); err != nil || c.DiscoveryAddr != "127.0.0.9:1" {
		t.Errorf("at the start: %+v, %v; want discovery at 127.0.0.9:1", c, err)
	}
	if c, err := loadContent(t, Reload, validConfig, env); err != nil || c.DiscoveryAddr != "127.0.0.2:8500" || c.Name != "n9" {
		t.Errorf("reloaded: %+v, %v; want discovery at 127.0.0.2:8500 and name n9", c, err)
	}
	if c, err := loadContent(t, Reload, strings.Replace(validConfig, `"discovery":"127.0.0.2:8500",`, "", 1), env); err != nil || c.DiscoveryAddr != "127.0.0.9:1" {
		t.Errorf("reloaded without an address in the file: %+v, %v; want discovery at 127.0.0.9:1", c, err)
	}
}

// Without an address for datagrams of other limiters gossip is disabled, even if the settings allow it.
func TestGossipDisabledWithoutPeers(t *testing.T) {
	c, err := loadContent(t, Load, strings.Replace(validConfig, `"peer_listen":"127.0.0.4:7946",`, "", 1), nil)
	if err != nil || c.Settings.GossipEnabled {
		t.Errorf("without peer_listen: error %v, want none and gossip disabled", err)
	}
}

// plansJSON returns n plans with distinct names, as JSON.
func plansJSON(n int) string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf(`{"name":"p%d"}`, i))
	}
	return strings.Join(list, ",")
}

// An invalid configuration gives an error of one line.
func TestMalformed(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{validConfig, "{\n", "bad JSON"},
		{`"listen":"127.0.0.4:8443"`, `"listen":"here"`, "listen: "},
		{`"discovery":"127.0.0.2:8500",`, "", "discovery: "},
		{`"peer_listen":"127.0.0.4:7946"`, `"peer_listen":"x"`, "peer_listen: "},
		{`"127.0.0.5:7946"]`, `"x"]`, "peers: address of limiter 1: "},
		{`,"127.0.0.5:7946"]`, `]`, "peers: 1 addresses for 2 limiters"},
		{`"peers_all":"127.0.0.6:7946"`, `"peers_all":"x"`, "peers_all: "},
		{`"me":1`, `"me":2`, "me: limiter number 2 is out of range for 2 limiters"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits"},
		{`"instanceId":"s-1"`, `"instanceId":""`, "known: "},
		{`"deadline_s":2,`, "", "a positive deadline"},
		{`{"name":"small","refill":2,"depth":7}`, "", "no plans"},
		{`{"name":"small","refill":2,"depth":7}`, `{"name":"small"},{"name":"Small"},{"name":"small"}`, `duplicate plan "small"`},
		{`{"name":"small","refill":2,"depth":7}`, plansJSON(256), "256 plans, 255 at most"},
		{`"classes":[`, `"classes":[{"name":"read","effect":"at_most_once","deadline_s":9},`, `duplicate class "read"`},
		{`"effect":"idempotent"`, `"effect":"x"`, "unknown effect"},
		{`"settings":{`, `"other":{`, "settings: "},
	} {
		if !strings.Contains(validConfig, test.old) {
			t.Fatalf("%s is not in the valid configuration", test.old)
		}
		_, err := loadContent(t, Load, strings.Replace(validConfig, test.old, test.new, 1), nil)
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that contains %s", test.new, err, test.want)
		}
	}
	if _, err := Load(func(string) string { return "" }, time.Now()); err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
		t.Errorf("without a path: error %v, want one that names ROUTER_CONFIG", err)
	}
}

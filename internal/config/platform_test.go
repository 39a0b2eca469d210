package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const text = `{"name":"n3","listen":"127.0.0.4:8443","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "peer_listen":"127.0.0.4:7946","peers":["127.0.0.3:7946","127.0.0.5:7946"],"peers_all":"127.0.0.6:7946",
 "known":{"generation":41,"reset":true,"instances":[
  {"instanceId":"s-1","hostPort":"127.0.0.7:1","zone":"a","cell":1,"lifecycle":"up","weight":1,"startedAtMs":0}]},
 "settings":{"siblings":2,"me":1,"zone":"a","granularity_s":0.002,"more":{},
  "classes":[{"name":"read","effect":"idempotent","group":"all","on_time_s":0.75,"deadline_s":2,"importance":2}],
  "tiers_of_service":[{"name":"small","refill":2,"depth":7}],"family_info":{"most_units":4,"peer_in_per_s":40},
  "allowed":{"peers":true,"connect_timeout_s":0.25,"idle_close_s":15,"max_attempts":5}}}`

type loadFunc func(env func(string) string, origin time.Time) (*Config, error)

func read(t *testing.T, load loadFunc, content string, env map[string]string) (*Config, error) {
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
	c, err := read(t, Load, text, map[string]string{"ROUTER_NAME": "n9"})
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Name != "n9" || c.ListenAddr != "127.0.0.4:8443" || c.Seed != 0x8c1f30d27a5be964 || c.Limits != (Limits{1, 192, 1024}) ||
		len(c.Peers) != 2 || c.PeerBroadcast.String() != "127.0.0.6:7946" || len(c.KnownEndpoints) != 1 || c.KnownGeneration != 41 ||
		s.Self != 1 || s.ConnectTimeout != 250*time.Millisecond || s.IdleClose != 15*time.Second || s.MaxUnits != 4 || !s.GossipEnabled {
		t.Errorf("%+v", c)
	}
}

// After a start the environment still has the address of discovery at that time: at a reload that of the
// file counts, if it has one.
func TestReload(t *testing.T) {
	env := map[string]string{"ROUTER_DISCOVERY": "127.0.0.9:1", "ROUTER_NAME": "n9"}
	if c, err := read(t, Load, text, env); err != nil || c.DiscoveryAddr != "127.0.0.9:1" {
		t.Errorf("at the start: %+v, %v", c, err)
	}
	if c, err := read(t, Reload, text, env); err != nil || c.DiscoveryAddr != "127.0.0.2:8500" || c.Name != "n9" {
		t.Errorf("reloaded: %+v, %v", c, err)
	}
	if c, err := read(t, Reload, strings.Replace(text, `"discovery":"127.0.0.2:8500",`, "", 1), env); err != nil || c.DiscoveryAddr != "127.0.0.9:1" {
		t.Errorf("reloaded without an address: %+v, %v", c, err)
	}
}

// Without an address for datagrams of peers there is no gossip, whatever the settings allow.
func TestGossipDisabledWithoutPeers(t *testing.T) {
	c, err := read(t, Load, strings.Replace(text, `"peer_listen":"127.0.0.4:7946",`, "", 1), nil)
	if err != nil || c.Settings.GossipEnabled {
		t.Errorf("%v", err)
	}
}

// plansJSON returns so many plans, each with its own name.
func plansJSON(n int) string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf(`{"name":"p%d"}`, i))
	}
	return strings.Join(list, ",")
}

// An invalid configuration gives an error of one line.
func TestMalformed(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{text, "{\n", "bad JSON"},
		{`"listen":"127.0.0.4:8443"`, `"listen":"here"`, "listen: "},
		{`"discovery":"127.0.0.2:8500",`, "", "discovery: "},
		{`"peer_listen":"127.0.0.4:7946"`, `"peer_listen":"x"`, "peer_listen: "},
		{`"127.0.0.5:7946"]`, `"x"]`, "peers: number 1"},
		{`,"127.0.0.5:7946"]`, `]`, "peers: 1 addresses for 2 limiters"},
		{`"peers_all":"127.0.0.6:7946"`, `"peers_all":"x"`, "peers_all: "},
		{`"me":1`, `"me":2`, "me is 2 of 2"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits"},
		{`"instanceId":"s-1"`, `"instanceId":""`, "known: "},
		{`"deadline_s":2,`, "", "no deadline"},
		{`{"name":"small","refill":2,"depth":7}`, "", "no plans"},
		{`{"name":"small","refill":2,"depth":7}`, `{"name":"small"},{"name":"Small"},{"name":"small"}`, `plan "small" twice`},
		{`{"name":"small","refill":2,"depth":7}`, plansJSON(256), "256 plans, 255 at most"},
		{`"classes":[`, `"classes":[{"name":"read","effect":"at_most_once","deadline_s":9},`, `class "read" twice`},
		{`"effect":"idempotent"`, `"effect":"x"`, "unknown effect"},
		{`"settings":{`, `"other":{`, "settings: "},
	} {
		if !strings.Contains(text, c.old) {
			t.Fatalf("%s is not in the text", c.old)
		}
		_, err := read(t, Load, strings.Replace(text, c.old, c.new, 1), nil)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
	}
	if _, err := Load(func(string) string { return "" }, time.Now()); err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
		t.Errorf("no path: %v", err)
	}
}

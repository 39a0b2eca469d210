package core

import (
	"errors"
	"testing"
	"time"

	"lemongate/internal/admission"
)

// A new configuration changes the address at which the endpoint list is watched, and nothing else. One read is in
// progress at a time, with one more read if a reload was requested meanwhile, and a reload is possible in any phase but
// the last. A configuration that cannot be read changes nothing and causes one log message.
func TestReload(t *testing.T) {
	m, _ := New(time.Hour, Config{
		Settings: testSettings, Seed: 1, Discovery: "old:1", KnownEndpoints: []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0)},
	})
	readCount := func(ev Event) int { return len(effectsOf[ReloadConfig](m.Step(time.Hour, ev))) }
	if first, second, third := readCount(ReloadRequested{}), readCount(ReloadRequested{}), readCount(ReloadRequested{}); first != 1 || second+third != 0 {
		t.Errorf("reload requested three times: read %d, %d, %d times, want 1, 0, 0", first, second, third)
	}
	got := m.Step(time.Hour, &ConfigReloaded{Discovery: "new:1"})
	watched := effectsOf[WatchEndpoints](got)
	if len(watched) != 1 || watched[0].Addr != "new:1" || len(effectsOf[ReloadConfig](got)) != 1 {
		t.Errorf("new address: effects %+v, want it watched, and the configuration read once more", got)
	}
	m.Step(time.Hour, ShutdownRequested{})
	got = m.Step(time.Hour, &ConfigReloaded{Err: errors.New("bad JSON")})
	if len(effectsOf[WatchEndpoints](got))+len(effectsOf[ReloadConfig](got)) != 0 || len(effectsOf[Log](got)) != 1 {
		t.Errorf("an unreadable configuration caused %+v, want one log message, nothing watched or read", got)
	}
	if readCount(ReloadRequested{}) != 1 {
		t.Error("configuration not read while draining")
	}
	got = m.Step(time.Hour, &ConfigReloaded{Discovery: "new:1"})
	if len(effectsOf[WatchEndpoints](got)) != 0 {
		t.Errorf("an unchanged address caused %+v, want no WatchEndpoints", got)
	}
	if c := m.Counters(); c.Reloads != 2 || c.ReloadsFailed != 1 || c.LiveBackends != 1 {
		t.Errorf("counters %+v, want 2 reloads, 1 failed reload and 1 live backend", c)
	}
	m.Step(time.Hour, ServerClosed{})
	if readCount(ReloadRequested{}) != 0 {
		t.Error("configuration read after the process stopped")
	}
}

package core

import (
	"errors"
	"testing"
	"time"

	"lemongate/internal/admission"
)

// A new configuration changes where the endpoint list is watched and nothing else. It is read by one
// reader at a time, once more if that was requested meanwhile, and in any phase; one that cannot be read
// changes nothing and leaves one log message.
func TestReload(t *testing.T) {
	m, _ := New(time.Hour, Config{
		Settings: testSettings, Seed: 1, Discovery: "old:1", KnownEndpoints: []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0)},
	})
	reads := func(ev Event) int { return len(effectsOf[ReloadConfig](m.Step(time.Hour, ev))) }
	if a, b, c := reads(ReloadRequested{}), reads(ReloadRequested{}), reads(ReloadRequested{}); a != 1 || b+c != 0 {
		t.Errorf("requested three times: read %d, %d, %d times", a, b, c)
	}
	got := m.Step(time.Hour, &ConfigReloaded{Discovery: "new:1"})
	watched := effectsOf[WatchEndpoints](got)
	if len(watched) != 1 || watched[0].Addr != "new:1" || len(effectsOf[ReloadConfig](got)) != 1 {
		t.Errorf("%+v, want the new address watched and the file read once more", got)
	}
	m.Step(time.Hour, ShutdownRequested{})
	got = m.Step(time.Hour, &ConfigReloaded{Err: errors.New("bad JSON")})
	if len(effectsOf[WatchEndpoints](got))+len(effectsOf[ReloadConfig](got)) != 0 || len(effectsOf[Log](got)) != 1 {
		t.Errorf("a bad file brought %+v", got)
	}
	if reads(ReloadRequested{}) != 1 {
		t.Error("not read while draining")
	}
	got = m.Step(time.Hour, &ConfigReloaded{Discovery: "new:1"})
	if len(effectsOf[WatchEndpoints](got)) != 0 {
		t.Errorf("the same address brought %+v", got)
	}
	if c := m.Counters(); c.Reloads != 2 || c.ReloadsFailed != 1 || c.LiveBackends != 1 {
		t.Errorf("%+v", c)
	}
	m.Step(time.Hour, ServerClosed{})
	if reads(ReloadRequested{}) != 0 {
		t.Error("read after the end")
	}
}

package settings

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"lemongate/internal/admission"
)

const ms = time.Millisecond

// everyField sets every field that is mapped, to a distinct value where possible.
const everyField = `{
	"me": 3,
	"siblings": 11,
	"zone": "hall-b",
	"zones": ["hall-a", "hall-b"],
	"granularity_s": 0.0021,
	"membership_mode": "ask",
	"weight_source": "nominal",
	"an unknown key": {"me": 99},
	"classes": [
		{"name": "read", "effect": "idempotent", "group": "all", "window_s": 1.1, "on_time_s": 0.29, "deadline_s": 2.3, "importance": 4.1},
		{"name": "post", "effect": "deduplicated", "group": "zone", "window_s": 3.7, "on_time_s": 1.2, "deadline_s": 5.9, "importance": 3.2},
		{"name": "pay", "effect": "at_most_once", "group": "cell", "window_s": 6.1, "on_time_s": 0.57, "deadline_s": 7.3, "importance": 2.7},
		{"name": "keyed", "effect": "deduplicated", "window_s": 4.3, "on_time_s": 0.83, "deadline_s": 8.9, "importance": 1.9}
	],
	"tiers_of_service": [
		{"name": "starter", "refill": 1.6, "depth": 7.5, "concurrency": 12, "pays": 0.5, "never_over_rate": 13.5, "never_over_depth": 78.5, "excess_worth": 0.3, "over_cost": 0.45, "tolerance": 8.0},
		{"name": "city", "refill": 5.9, "depth": 34.25, "concurrency": 17, "pays": 1.1, "never_over_rate": 19.5, "never_over_depth": 91.5, "excess_worth": 0.35, "over_cost": 0.65, "tolerance": 9.0}
	],
	"feedback": {"fields": ["latency_ms", "util"], "how": "answers"},
	"clients": {"marks_retry": true},
	"family_info": {"peer_in_per_s": 41.5, "most_units": 6.5},
	"allowed": {
		"max_attempts": 5, "may_cancel": true, "probes": true, "peers": true, "retry_after": true,
		"max_retry_after_s": 1.13, "connect_timeout_s": 0.251, "idle_close_s": 15.7
	},
	"rules": {"drain_grace_s": 0.26, "cold_from": 0.17, "warm_within_s": 17.3, "fall_multiple": 4.4, "fall_s": 1.58}
}`

// everyFieldDecoded is the result of release 0.8.0 for everyField.
var everyFieldDecoded = Settings{
	Settings: admission.Settings{
		Self:            3,
		Limiters:        11,
		Zone:            "hall-b",
		ClockResolution: 2100 * time.Microsecond,
		Classes: []admission.Class{{
			Name: "read", Idempotency: admission.Idempotent, IdempotencyScope: admission.ScopeAll,
			IdempotencyWindow: 1100 * ms, LatencyObjective: 290 * ms, Deadline: 2300 * ms, Weight: 4.1,
		}, {
			Name: "post", Idempotency: admission.IdempotentByKey, IdempotencyScope: admission.ScopeZone,
			IdempotencyWindow: 3700 * ms, LatencyObjective: 1200 * ms, Deadline: 5900 * ms, Weight: 3.2,
		}, {
			Name: "pay", Idempotency: admission.NonIdempotent, IdempotencyScope: admission.ScopeCell,
			IdempotencyWindow: 6100 * ms, LatencyObjective: 570 * ms, Deadline: 7300 * ms, Weight: 2.7,
		}, {
			Name: "keyed", Idempotency: admission.IdempotentByKey, IdempotencyScope: admission.ScopeCell,
			IdempotencyWindow: 4300 * ms, LatencyObjective: 830 * ms, Deadline: 8900 * ms, Weight: 1.9,
		}},
		Plans: []admission.Plan{{
			Name: "starter", Rate: 1.6, Burst: 7.5, MaxConcurrent: 12, WeightFactor: 0.5,
			ExcessFraction: 0.3, OverQuotaCost: 0.45, CeilingRate: 13.5, CeilingBurst: 78.5,
		}, {
			Name: "city", Rate: 5.9, Burst: 34.25, MaxConcurrent: 17, WeightFactor: 1.1,
			ExcessFraction: 0.35, OverQuotaCost: 0.65, CeilingRate: 19.5, CeilingBurst: 91.5,
		}},
		ClientsMarkRetries:    true,
		MaxAttempts:           5,
		MayCancel:             true,
		MayProbe:              true,
		GossipEnabled:         true,
		PeerMessagesPerSecond: 41.5,
		MaxRetryAfter:         1130 * ms,
		LoadReportFields:      []string{"latency_ms", "util"},
		CapacitiesKnown:       true,
		PollEndpoints:         true,
		DrainGrace:            260 * ms,
		SlowStartFraction:     0.17,
		SlowStartDuration:     17300 * ms,
		OverloadMultiple:      4.4,
		OverloadDuration:      1580 * ms,
	},
	ConnectTimeout: 251 * ms,
	IdleClose:      15700 * ms,
	MaxUnits:       6.5,
}

// Every name of the platform is mapped to the same field as in release 0.8.0.
func TestDecodeEveryField(t *testing.T) {
	got, err := Decode([]byte(everyField))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, everyFieldDecoded) {
		t.Errorf("got\n%+v\nwant\n%+v", got, everyFieldDecoded)
	}
}

// everyFieldDecoded has no zero field but the epoch, which is not in the settings: everyField leaves out no field. Each
// field of list entries is set in at least one entry.
func TestEveryFieldIsSet(t *testing.T) {
	zero := map[string]bool{}
	recordZeroFields(zero, "", reflect.ValueOf(everyFieldDecoded))
	for name, isZero := range zero {
		if isZero != (name == ".Settings.Epoch") {
			t.Errorf("%s: is zero: %v, want only the epoch to be zero", name, isZero)
		}
	}
}

// recordZeroFields records which fields of a value are zero. A field of list entries counts as zero if it is zero
// in all entries.
func recordZeroFields(zero map[string]bool, name string, value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			recordZeroFields(zero, name+"."+value.Type().Field(i).Name, value.Field(i))
		}
	case reflect.Slice:
		for i := range value.Len() {
			recordZeroFields(zero, name+"[]", value.Index(i))
		}
	default:
		zeroBefore, seen := zero[name]
		zero[name] = value.IsZero() && (zeroBefore || !seen)
	}
}

// Each boolean setting, set alone, changes exactly its own field; missing settings leave zero values.
func TestDecodeSwitches(t *testing.T) {
	for _, test := range []struct {
		text string
		want admission.Settings
	}{
		{``, admission.Settings{}},
		{`,"clients":{"marks_retry":true}`, admission.Settings{ClientsMarkRetries: true}},
		{`,"allowed":{"may_cancel":true}`, admission.Settings{MayCancel: true}},
		{`,"allowed":{"probes":true}`, admission.Settings{MayProbe: true}},
		{`,"allowed":{"peers":true}`, admission.Settings{GossipEnabled: true}},
		{`,"allowed":{"retry_after":true}`, admission.Settings{}},
		{`,"allowed":{"max_retry_after_s":1.5}`, admission.Settings{}},
		{`,"allowed":{"retry_after":true,"max_retry_after_s":1.5}`, admission.Settings{MaxRetryAfter: 1500 * ms}},
		{`,"membership_mode":"ask"`, admission.Settings{PollEndpoints: true}},
		{`,"membership_mode":"push"`, admission.Settings{}},
		{`,"weight_source":"none"`, admission.Settings{}},
		{`,"weight_source":"nominal"`, admission.Settings{CapacitiesKnown: true}},
		{`,"weight_source":"rough"`, admission.Settings{CapacitiesKnown: true}},
		{`,"weight_source":"live"`, admission.Settings{}},
	} {
		want := Settings{Settings: test.want}
		want.Classes = []admission.Class{{Name: "read", Idempotency: admission.Idempotent}}
		got, err := Decode([]byte(`{"classes":[{"name":"read","effect":"idempotent"}]` + test.text + `}`))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got\n%+v, %v\nwant\n%+v", test.text, got, err, want)
		}
	}
}

// Invalid settings are rejected with a one-line error that names the problem.
func TestDecodeErrors(t *testing.T) {
	const longName = "0123456789012345678901234567890123456789"
	for text, want := range map[string]string{
		`{}`:                 "no classes",
		`{"classes":[]}`:     "no classes",
		`null`:               "no classes",
		``:                   "bad JSON: ",
		`{`:                  "bad JSON: ",
		`[]`:                 "bad JSON: ",
		"{\n\"me\":\n\"x\"}": "bad JSON: ",
		`{"classes":[{"name":"read","effect":""}]}`:                                             `class "read": unknown effect ""`,
		`{"classes":[{"name":"read","effect":"safe"}]}`:                                         `class "read": unknown effect "safe"`,
		`{"classes":[{"name":"read","effect":"idempotent","group":"rack"}]}`:                    `class "read": unknown group "rack"`,
		fmt.Sprintf(`{"classes":[{"name":"%sx","effect":"idempotent","group":"r"}]}`, longName): `class "` + longName + `...": unknown group "r"`,
	} {
		got, err := Decode([]byte(text))
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want one line that begins with %s", text, err, want)
		}
		if !reflect.DeepEqual(got, Settings{}) {
			t.Errorf("%q: got settings %+v with the error, want zero settings", text, got)
		}
	}
}

// Seconds are rounded to the nearest nanosecond: many decimal fractions are slightly less as a float64.
func TestDuration(t *testing.T) {
	for seconds, want := range map[float64]time.Duration{0: 0, 0.29: 290 * ms, 1.13: 1130 * ms, -0.57: -570 * ms, 2.5e-9: 3} {
		if got := Duration(seconds); got != want {
			t.Errorf("%v: got %v, want %v", seconds, got, want)
		}
	}
}

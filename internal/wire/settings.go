package wire

import (
	"errors"
	"fmt"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/admission"
)

// Settings are what a limiter is told at its start: what the Gateway decides
// by, and what only a program on sockets needs.
type Settings struct {
	admission.Settings
	ConnectTimeout time.Duration // a connection that takes longer has failed
	IdleClose      time.Duration // a backend closes a connection at the latest when idle for this long
	MostUnits      float64       // the most that one request takes from a quota; 0 if not told
}

// facts is the part of the settings that a Gateway uses, as it stands on the
// wire. Keys that are not here are skipped.
type facts struct {
	Me          int      `json:"me"`
	Siblings    int      `json:"siblings"`
	Zone        string   `json:"zone"`
	Granularity float64  `json:"granularity_s"`
	Membership  string   `json:"membership_mode"`
	SizesBy     string   `json:"weight_source"`
	Classes     []class  `json:"classes"`
	Plans       []plan   `json:"tiers_of_service"`
	Feedback    feedback `json:"feedback"`
	Clients     struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	Family struct {
		PeerInPerS float64 `json:"peer_in_per_s"`
		MostUnits  float64 `json:"most_units"`
	} `json:"family_info"`
	Allowed struct {
		MaxAttempts   int     `json:"max_attempts"`
		MayCancel     bool    `json:"may_cancel"`
		Probes        bool    `json:"probes"`
		Peers         bool    `json:"peers"`
		RetryAfter    bool    `json:"retry_after"`
		MaxRetryAfter float64 `json:"max_retry_after_s"`
		ConnectS      float64 `json:"connect_timeout_s"`
		IdleS         float64 `json:"idle_close_s"`
	} `json:"allowed"`
	Rules struct {
		DrainGrace   float64 `json:"drain_grace_s"`
		ColdFrom     float64 `json:"cold_from"`
		WarmWithin   float64 `json:"warm_within_s"`
		FallMultiple float64 `json:"fall_multiple"`
		FallS        float64 `json:"fall_s"`
	} `json:"rules"`
}

type feedback struct {
	Fields []string `json:"fields"`
}

type class struct {
	Name     string  `json:"name"`
	Effect   string  `json:"effect"`
	Group    string  `json:"group"`
	Window   float64 `json:"window_s"`
	OnTime   float64 `json:"on_time_s"`
	Deadline float64 `json:"deadline_s"`
	Worth    float64 `json:"importance"`
}

type plan struct {
	Name         string  `json:"name"`
	Refill       float64 `json:"refill"`
	Depth        float64 `json:"depth"`
	Concurrency  int     `json:"concurrency"`
	Pays         float64 `json:"pays"`
	CeilingRate  float64 `json:"never_over_rate"`
	CeilingDepth float64 `json:"never_over_depth"`
	Excess       float64 `json:"excess_worth"`
	Over         float64 `json:"over_cost"`
}

var effects = map[string]admission.Idempotency{
	"idempotent": admission.Idempotent, "deduplicated": admission.IdempotentByKey, "at_most_once": admission.NonIdempotent,
}

var groups = map[string]admission.IdempotencyScope{
	"all": admission.ScopeAll, "zone": admission.ScopeZone, "cell": admission.ScopeCell,
	"": admission.ScopeCell,
}

// DecodeSettings reads the settings object, as the simulator sends it and as
// a real limiter finds it in its configuration.
func DecodeSettings(text []byte) (Settings, error) {
	var f facts
	var none Settings
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, &f); err != nil {
		return none, fmt.Errorf("bad JSON: %s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if len(f.Classes) == 0 {
		return none, errors.New("no classes")
	}
	s := Settings{
		ConnectTimeout: seconds(f.Allowed.ConnectS), IdleClose: seconds(f.Allowed.IdleS), MostUnits: f.Family.MostUnits,
	}
	s.Settings = admission.Settings{
		Self: f.Me, Limiters: f.Siblings, Zone: f.Zone, ClockResolution: seconds(f.Granularity),
		ClientsMarkRetries: f.Clients.MarksRetry, MaxAttempts: f.Allowed.MaxAttempts, MayCancel: f.Allowed.MayCancel, MayProbe: f.Allowed.Probes,
		GossipEnabled: f.Allowed.Peers, PeerMessagesPerSecond: f.Family.PeerInPerS,
		LoadReportFields:  f.Feedback.Fields,
		CapacitiesKnown:   f.SizesBy == "nominal" || f.SizesBy == "rough",
		PollEndpoints:     f.Membership == "ask",
		DrainGrace:        seconds(f.Rules.DrainGrace),
		SlowStartFraction: f.Rules.ColdFrom, SlowStartDuration: seconds(f.Rules.WarmWithin),
		OverloadMultiple: f.Rules.FallMultiple, OverloadDuration: seconds(f.Rules.FallS),
	}
	if f.Allowed.RetryAfter {
		s.MaxRetryAfter = seconds(f.Allowed.MaxRetryAfter)
	}
	for _, c := range f.Classes {
		effect, known := effects[c.Effect]
		if !known {
			return none, fmt.Errorf("class %q: unknown effect %q", clip(c.Name), clip(c.Effect))
		}
		group, known := groups[c.Group]
		if !known {
			return none, fmt.Errorf("class %q: unknown group %q", clip(c.Name), clip(c.Group))
		}
		s.Classes = append(s.Classes, admission.Class{
			Name: c.Name, Idempotency: effect, IdempotencyScope: group, IdempotencyWindow: seconds(c.Window),
			LatencyObjective: seconds(c.OnTime), Deadline: seconds(c.Deadline), Weight: c.Worth,
		})
	}
	for _, p := range f.Plans {
		s.Plans = append(s.Plans, admission.Plan{
			Name: p.Name, Rate: p.Refill, Burst: p.Depth, MaxConcurrent: p.Concurrency, WeightFactor: p.Pays,
			CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingDepth, ExcessFraction: p.Excess, OverQuotaCost: p.Over,
		})
	}
	return s, nil
}

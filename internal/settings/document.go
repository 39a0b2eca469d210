package settings

import (
	"fmt"

	"lemongate/internal/admission"
)

// document is the part of the platform's settings that a limiter uses. The tags are the platform's
// names; a name that ends in _s is a time in seconds.
type document struct {
	Self            int             `json:"me"`       // number of this limiter, from 0
	Limiters        int             `json:"siblings"` // number of limiters in the tier
	Zone            string          `json:"zone"`
	ClockResolution float64         `json:"granularity_s"`
	Membership      string          `json:"membership_mode"`
	CapacitySource  string          `json:"weight_source"`
	Classes         []classDocument `json:"classes"`
	Plans           []planDocument  `json:"tiers_of_service"`
	LoadReports     struct {
		Fields []string `json:"fields"`
	} `json:"feedback"`
	Clients struct {
		MarkRetries bool `json:"marks_retry"`
	} `json:"clients"`
	Service struct {
		PeerMessagesPerSecond float64 `json:"peer_in_per_s"`
		MaxUnits              float64 `json:"most_units"` // of one request
	} `json:"family_info"`
	Allowed allowedDocument `json:"allowed"`
	Rules   rulesDocument   `json:"rules"`
}

// allowedDocument is what the platform allows.
type allowedDocument struct {
	MaxAttempts    int     `json:"max_attempts"` // of one request
	Cancel         bool    `json:"may_cancel"`
	Probes         bool    `json:"probes"`
	Gossip         bool    `json:"peers"`
	RetryAfter     bool    `json:"retry_after"`
	MaxRetryAfter  float64 `json:"max_retry_after_s"`
	ConnectTimeout float64 `json:"connect_timeout_s"`
	IdleClose      float64 `json:"idle_close_s"`
}

// rulesDocument has the parameters of the rules on draining, slow start and overload.
type rulesDocument struct {
	DrainGrace        float64 `json:"drain_grace_s"`
	SlowStartFraction float64 `json:"cold_from"` // of the capacity
	SlowStartDuration float64 `json:"warm_within_s"`
	OverloadMultiple  float64 `json:"fall_multiple"` // of the capacity
	OverloadDuration  float64 `json:"fall_s"`
}

// classDocument is a request class.
type classDocument struct {
	Name              string  `json:"name"`
	Effect            string  `json:"effect"` // a key of idempotencies
	Group             string  `json:"group"`  // a key of idempotencyScopes
	IdempotencyWindow float64 `json:"window_s"`
	LatencyObjective  float64 `json:"on_time_s"`
	Deadline          float64 `json:"deadline_s"`
	Weight            float64 `json:"importance"`
}

// planDocument is a plan. Rates are in units per second, bursts in units.
type planDocument struct {
	Name           string  `json:"name"`
	Rate           float64 `json:"refill"`
	Burst          float64 `json:"depth"`
	MaxConcurrent  int     `json:"concurrency"` // attempts in flight
	WeightFactor   float64 `json:"pays"`
	CeilingRate    float64 `json:"never_over_rate"`
	CeilingBurst   float64 `json:"never_over_depth"`
	ExcessFraction float64 `json:"excess_worth"` // of the weight
	OverQuotaCost  float64 `json:"over_cost"`    // fraction of the weight
}

// membershipPoll is the membership mode in which changes to the endpoint list are only delivered when polled for.
const membershipPoll = "ask"

// The capacity sources that give each backend a capacity which does not change with its load.
const (
	capacityNominal = "nominal"
	capacityRough   = "rough"
)

// idempotencies maps the values of a class's effect.
var idempotencies = map[string]admission.Idempotency{
	"idempotent":   admission.Idempotent,
	"deduplicated": admission.IdempotentByKey,
	"at_most_once": admission.NonIdempotent,
}

// idempotencyScopes maps the values of a class's group. A missing group means the narrowest scope.
var idempotencyScopes = map[string]admission.IdempotencyScope{
	"all":  admission.ScopeAll,
	"zone": admission.ScopeZone,
	"cell": admission.ScopeCell,
	"":     admission.ScopeCell,
}

// admissionSettings maps all settings but the classes and the plans.
func (doc *document) admissionSettings() admission.Settings {
	mapped := admission.Settings{
		Self:                  doc.Self,
		Limiters:              doc.Limiters,
		Zone:                  doc.Zone,
		ClockResolution:       Duration(doc.ClockResolution),
		ClientsMarkRetries:    doc.Clients.MarkRetries,
		MaxAttempts:           doc.Allowed.MaxAttempts,
		MayCancel:             doc.Allowed.Cancel,
		MayProbe:              doc.Allowed.Probes,
		GossipEnabled:         doc.Allowed.Gossip,
		PeerMessagesPerSecond: doc.Service.PeerMessagesPerSecond,
		LoadReportFields:      doc.LoadReports.Fields,
		CapacitiesKnown:       doc.CapacitySource == capacityNominal || doc.CapacitySource == capacityRough,
		PollEndpoints:         doc.Membership == membershipPoll,
		DrainGrace:            Duration(doc.Rules.DrainGrace),
		SlowStartFraction:     doc.Rules.SlowStartFraction,
		SlowStartDuration:     Duration(doc.Rules.SlowStartDuration),
		OverloadMultiple:      doc.Rules.OverloadMultiple,
		OverloadDuration:      Duration(doc.Rules.OverloadDuration),
	}
	if doc.Allowed.RetryAfter {
		mapped.MaxRetryAfter = Duration(doc.Allowed.MaxRetryAfter)
	}
	return mapped
}

// classes maps the classes.
func (doc *document) classes() ([]admission.Class, error) {
	var classes []admission.Class
	for _, c := range doc.Classes {
		mapped, err := c.class()
		if err != nil {
			return nil, err
		}
		classes = append(classes, mapped)
	}
	return classes, nil
}

func (c *classDocument) class() (admission.Class, error) {
	idempotency, known := idempotencies[c.Effect]
	if !known {
		return admission.Class{}, fmt.Errorf("class %q: unknown effect %q", Excerpt(c.Name), Excerpt(c.Effect))
	}
	scope, known := idempotencyScopes[c.Group]
	if !known {
		return admission.Class{}, fmt.Errorf("class %q: unknown group %q", Excerpt(c.Name), Excerpt(c.Group))
	}
	return admission.Class{
		Name:              c.Name,
		Idempotency:       idempotency,
		IdempotencyScope:  scope,
		IdempotencyWindow: Duration(c.IdempotencyWindow),
		LatencyObjective:  Duration(c.LatencyObjective),
		Deadline:          Duration(c.Deadline),
		Weight:            c.Weight,
	}, nil
}

// plans maps the plans.
func (doc *document) plans() []admission.Plan {
	var plans []admission.Plan
	for _, p := range doc.Plans {
		plans = append(plans, admission.Plan{
			Name:           p.Name,
			Rate:           p.Rate,
			Burst:          p.Burst,
			MaxConcurrent:  p.MaxConcurrent,
			WeightFactor:   p.WeightFactor,
			CeilingRate:    p.CeilingRate,
			CeilingBurst:   p.CeilingBurst,
			ExcessFraction: p.ExcessFraction,
			OverQuotaCost:  p.OverQuotaCost,
		})
	}
	return plans
}

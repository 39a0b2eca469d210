package admission

import (
	"time"

	"lemongate/internal/memento"
	"lemongate/internal/quota"
	"lemongate/internal/rate"
)

// This file defines the stored form of a Controller, and is the only place that maps it to the types of the Controller.
// The field tags are a format that other releases read; the Go fields, on both sides, may be renamed freely.

func ledgerState(l *quota.Ledger) *quota.LedgerState {
	if l == nil {
		return nil
	}
	state := l.State()
	return &state
}

// limiterState is the stored form of a Controller. It contains neither what follows from the settings or from other
// state, nor requests, which stay in their process.
type limiterState struct {
	Now                     time.Duration           `json:"now"`
	Started                 bool                    `json:"running"`
	Classes                 []classState            `json:"classes"`
	Backends                map[string]backendState `json:"known"`
	MeanLoad                float64                 `json:"meanLoad"`
	Ledger                  *quota.LedgerState      `json:"ledger"`
	Customers               []customerState         `json:"order"`
	FirstRequestAt          time.Duration           `json:"first"`
	ShuttingDown            bool                    `json:"left"`
	InitialUtilizations     []float64               `json:"starting"`
	Peers                   map[int]peerState       `json:"peers"`
	RequestsPacedUntil      time.Duration           `json:"paced"`
	MessagesPacedUntil      time.Duration           `json:"pacedAll"`
	NextObservationsAt      time.Duration           `json:"nextNews"`
	UrgentUntil             time.Duration           `json:"alarm"`
	ProbeAllowance          allowanceState          `json:"probes"`
	Rejections              rejectionsState         `json:"turned"`
	NextControlAt           time.Duration           `json:"nextPeriod"`
	FractionalWindow        allowanceState          `json:"carry"`
	SlowStartAllowance      allowanceState          `json:"cold"`
	WindowScale             float64                 `json:"scale"`
	UpstreamPressure        float64                 `json:"strain"`
	QuotaRate               float64                 `json:"quotas"`
	MedianLatencyPerAttempt float64                 `json:"typical"`
	WindowWasFull           bool                    `json:"bound"`
	RetryTokens             float64                 `json:"retryTokens"`
	AttemptRate             rateState               `json:"sendRate"`
	PollDue                 bool                    `json:"watch"`
}

// classState is the stored form of a requestClass.
type classState struct {
	classSettingsState
	Share              float64           `json:"share"`
	Credit             float64           `json:"credit"`
	RecentBudgets      [16]time.Duration `json:"budgets"`
	BudgetsSeen        int               `json:"asked"`
	UsualBudget        time.Duration     `json:"usual"`
	Arrivals           int               `json:"arrivals"`
	Completed          int               `json:"ended"`
	LatencySum         float64           `json:"latency"`
	AttemptsMeasured   int               `json:"served"`
	AttemptLatencySum  float64           `json:"work"`
	ArrivalRate        float64           `json:"rate"`
	MeanLatency        float64           `json:"mean"`
	MeanSquaredLatency float64           `json:"mean2"`
	LatencySamples     int               `json:"answers"`
	IdleLatency        float64           `json:"idle"`
}

// classSettingsState is the stored form of a Class of the settings.
type classSettingsState struct {
	Name              string           `json:"Name"`
	Idempotency       Idempotency      `json:"Effect"`
	IdempotencyScope  IdempotencyScope `json:"Group"`
	IdempotencyWindow time.Duration    `json:"Window"`
	LatencyObjective  time.Duration    `json:"Aim"`
	Deadline          time.Duration    `json:"Deadline"`
	Weight            float64          `json:"Worth"`
}

// backendState is the stored form of a backend and its measurements.
type backendState struct {
	backendEntryState
	LatencyPerAttempt    float64               `json:"slope"`
	Samples              float64               `json:"answers"`
	LastResponseAt       time.Duration         `json:"seen"`
	FailureRate          float64               `json:"fails"`
	NextRecoveryAt       time.Duration         `json:"until"`
	ConsecutiveEjections int                   `json:"doubts"`
	RejectedUntil        map[int]time.Duration `json:"turned"`
	Unavailable          bool                  `json:"gone"`
	RemovedAt            time.Duration         `json:"left"`
	GossipKey            uint32                `json:"key"`
	RelativeLoad         float64               `json:"load"`
	ObservedAt           time.Duration         `json:"heard"`
	GossipRepeats        int                   `json:"told"`
	AnnouncedFailureRate float64               `json:"toldFails"`
	InitialReportSeen    bool                  `json:"reported"`
}

// backendEntryState is the stored form of an entry of the endpoint list.
type backendEntryState struct {
	ID               string        `json:"ID"`
	Zone             string        `json:"Zone"`
	Cell             int           `json:"Cell"`
	State            BackendState  `json:"State"`
	RelativeCapacity float64       `json:"Size"`
	StartedAt        time.Duration `json:"Started"`
}

// customerState is the stored form of a customer.
type customerState struct {
	Name         string        `json:"name"`
	PlanIndex    int           `json:"number"`
	FirstLimiter int           `json:"first"`
	SetSize      int           `json:"size"`
	LastSeen     time.Duration `json:"seen"`
	MeanUnits    float64       `json:"units"`
}

// peerState is the stored form of a peer.
type peerState struct {
	Number          int           `json:"number"`
	Epoch           uint32        `json:"epoch"`
	Known           bool          `json:"known"`
	LastReceivedSeq uint32        `json:"seq"`
	LastSentSeq     uint32        `json:"sent"`
	DueAt           time.Duration `json:"due"`
	PacedUntil      time.Duration `json:"paced"`
	Queued          bool          `json:"waits"`
}

// allowanceState is the stored form of a rate.Allowance.
type allowanceState struct {
	Amount    float64       `json:"amount"`
	UpdatedAt time.Duration `json:"at"`
}

// rejectionsState is the stored form of RejectionCounts.
type rejectionsState struct {
	OverQuota    uint64 `json:"beyond"`
	WindowFull   uint64 `json:"full"`
	QueueTimeout uint64 `json:"held"`
	NotRetried   uint64 `json:"tried"`
}

// rateState is the stored form of a rate.Decaying.
type rateState struct {
	PerSecond float64       `json:"rate"`
	UpdatedAt time.Duration `json:"at"`
}

// settingsState is the form of Settings from which the fingerprint is computed.
type settingsState struct {
	Epoch                 uint32               `json:"Epoch"`
	Self                  int                  `json:"Self"`
	Limiters              int                  `json:"Gateways"`
	Zone                  string               `json:"Zone"`
	ClockResolution       time.Duration        `json:"Tick"`
	Classes               []classSettingsState `json:"Classes"`
	Plans                 []planState          `json:"Plans"`
	ClientsMarkRetries    bool                 `json:"MarksRetry"`
	MaxAttempts           int                  `json:"MaxAttempts"`
	MayCancel             bool                 `json:"MayCancel"`
	MayProbe              bool                 `json:"MayProbe"`
	GossipEnabled         bool                 `json:"MayTell"`
	PeerMessagesPerSecond float64              `json:"PeerInPerSec"`
	MaxRetryAfter         time.Duration        `json:"MaxRetryAfter"`
	LoadReportFields      []string             `json:"ReportFields"`
	CapacitiesKnown       bool                 `json:"SizesKnown"`
	PollEndpoints         bool                 `json:"PullList"`
	DrainGrace            time.Duration        `json:"DrainGrace"`
	SlowStartFraction     float64              `json:"ColdFrom"`
	SlowStartDuration     time.Duration        `json:"WarmWithin"`
	OverloadMultiple      float64              `json:"FallMultiple"`
	OverloadDuration      time.Duration        `json:"FallWithin"`
}

// planState is the stored form of a Plan of the settings.
type planState struct {
	Name           string  `json:"Name"`
	Rate           float64 `json:"Rate"`
	Burst          float64 `json:"Burst"`
	MaxConcurrent  int     `json:"Open"`
	WeightFactor   float64 `json:"Price"`
	ExcessFraction float64 `json:"Excess"`
	OverQuotaCost  float64 `json:"Over"`
	CeilingRate    float64 `json:"CeilingRate"`
	CeilingBurst   float64 `json:"CeilingBurst"`
}

func newLimiterState(ctl *Controller) limiterState {
	return limiterState{
		Now:                     ctl.now,
		Started:                 ctl.started,
		Classes:                 memento.List(ctl.classes.all, newClassState),
		Backends:                memento.Values(ctl.endpoints.byID, newBackendState),
		MeanLoad:                ctl.reports.meanLoad,
		Ledger:                  ledgerState(ctl.customers.ledger),
		Customers:               memento.List(ctl.customers.order, newCustomerState),
		FirstRequestAt:          ctl.customers.firstRequestAt,
		ShuttingDown:            ctl.customers.shuttingDown,
		InitialUtilizations:     ctl.reports.initialUtilizations,
		Peers:                   memento.Values(ctl.gossip.peers, newPeerState),
		RequestsPacedUntil:      ctl.gossip.requestsPacedUntil,
		MessagesPacedUntil:      ctl.gossip.messagesPacedUntil,
		NextObservationsAt:      ctl.gossip.nextObservationsAt,
		UrgentUntil:             ctl.gossip.urgentUntil,
		ProbeAllowance:          newAllowanceState(ctl.reports.probes),
		Rejections:              newRejectionsState(ctl.rejections),
		NextControlAt:           ctl.control.nextAt,
		FractionalWindow:        newAllowanceState(ctl.window.fraction),
		SlowStartAllowance:      newAllowanceState(ctl.slowStart),
		WindowScale:             ctl.window.scale,
		UpstreamPressure:        ctl.window.pressure,
		QuotaRate:               ctl.window.quotaRate,
		MedianLatencyPerAttempt: ctl.endpoints.medianLatencyPerAttempt,
		WindowWasFull:           ctl.window.wasFull,
		RetryTokens:             ctl.retries.tokens,
		AttemptRate:             newRateState(ctl.window.attemptRate),
		PollDue:                 ctl.endpoints.pollDue,
	}
}

// restore copies the state into a new Controller. The ledger needs its configuration and is restored separately.
func (s limiterState) restore(ctl *Controller) {
	ctl.now = s.Now
	ctl.started = s.Started
	ctl.classes.all = memento.List(s.Classes, classState.restore)
	ctl.endpoints.byID = memento.Values(s.Backends, backendState.restore)
	ctl.reports.meanLoad = s.MeanLoad
	ctl.customers.order = memento.List(s.Customers, customerState.restore)
	ctl.customers.firstRequestAt = s.FirstRequestAt
	ctl.customers.shuttingDown = s.ShuttingDown
	ctl.reports.initialUtilizations = s.InitialUtilizations
	ctl.gossip.peers = memento.Values(s.Peers, peerState.restore)
	ctl.gossip.requestsPacedUntil = s.RequestsPacedUntil
	ctl.gossip.messagesPacedUntil = s.MessagesPacedUntil
	ctl.gossip.nextObservationsAt = s.NextObservationsAt
	ctl.gossip.urgentUntil = s.UrgentUntil
	ctl.reports.probes = s.ProbeAllowance.restore()
	ctl.rejections = s.Rejections.restore()
	ctl.control.nextAt = s.NextControlAt
	ctl.window.fraction = s.FractionalWindow.restore()
	ctl.slowStart = s.SlowStartAllowance.restore()
	ctl.window.scale = s.WindowScale
	ctl.window.pressure = s.UpstreamPressure
	ctl.window.quotaRate = s.QuotaRate
	ctl.endpoints.medianLatencyPerAttempt = s.MedianLatencyPerAttempt
	ctl.window.wasFull = s.WindowWasFull
	ctl.retries.tokens = s.RetryTokens
	ctl.window.attemptRate = s.AttemptRate.restore()
	ctl.endpoints.pollDue = s.PollDue
}

func newClassState(class *requestClass) classState {
	return classState{
		classSettingsState: newClassSettingsState(class.Class),
		Share:              class.share,
		Credit:             class.credit,
		RecentBudgets:      class.recentBudgets,
		BudgetsSeen:        class.budgetsSeen,
		UsualBudget:        class.usualBudget,
		Arrivals:           class.arrivals,
		Completed:          class.completed,
		LatencySum:         class.latencySum,
		AttemptsMeasured:   class.attemptsMeasured,
		AttemptLatencySum:  class.attemptLatencySum,
		ArrivalRate:        class.arrivalRate,
		MeanLatency:        class.meanLatency,
		MeanSquaredLatency: class.meanSquaredLatency,
		LatencySamples:     class.latencySamples,
		IdleLatency:        class.idleLatency,
	}
}

func (s classState) restore() *requestClass {
	return &requestClass{
		Class:              s.classSettingsState.restore(),
		share:              s.Share,
		credit:             s.Credit,
		recentBudgets:      s.RecentBudgets,
		budgetsSeen:        s.BudgetsSeen,
		usualBudget:        s.UsualBudget,
		arrivals:           s.Arrivals,
		completed:          s.Completed,
		latencySum:         s.LatencySum,
		attemptsMeasured:   s.AttemptsMeasured,
		attemptLatencySum:  s.AttemptLatencySum,
		arrivalRate:        s.ArrivalRate,
		meanLatency:        s.MeanLatency,
		meanSquaredLatency: s.MeanSquaredLatency,
		latencySamples:     s.LatencySamples,
		idleLatency:        s.IdleLatency,
	}
}

func newClassSettingsState(class Class) classSettingsState {
	return classSettingsState{
		Name:              class.Name,
		Idempotency:       class.Idempotency,
		IdempotencyScope:  class.IdempotencyScope,
		IdempotencyWindow: class.IdempotencyWindow,
		LatencyObjective:  class.LatencyObjective,
		Deadline:          class.Deadline,
		Weight:            class.Weight,
	}
}

func (s classSettingsState) restore() Class {
	return Class{
		Name:              s.Name,
		Idempotency:       s.Idempotency,
		IdempotencyScope:  s.IdempotencyScope,
		IdempotencyWindow: s.IdempotencyWindow,
		LatencyObjective:  s.LatencyObjective,
		Deadline:          s.Deadline,
		Weight:            s.Weight,
	}
}

func newBackendState(b *backend) backendState {
	return backendState{
		backendEntryState:    newBackendEntryState(b.Backend),
		LatencyPerAttempt:    b.latencyPerAttempt,
		Samples:              b.samples,
		LastResponseAt:       b.lastResponseAt,
		FailureRate:          b.failureRate,
		NextRecoveryAt:       b.nextRecoveryAt,
		ConsecutiveEjections: b.consecutiveEjections,
		RejectedUntil:        b.rejectedUntil,
		Unavailable:          b.unavailable,
		RemovedAt:            b.removedAt,
		GossipKey:            b.gossipKey,
		RelativeLoad:         b.relativeLoad,
		ObservedAt:           b.observedAt,
		GossipRepeats:        b.gossipRepeats,
		AnnouncedFailureRate: b.announcedFailureRate,
		InitialReportSeen:    b.initialReportSeen,
	}
}

func (s backendState) restore() *backend {
	return &backend{
		Backend:              s.backendEntryState.restore(),
		latencyPerAttempt:    s.LatencyPerAttempt,
		samples:              s.Samples,
		lastResponseAt:       s.LastResponseAt,
		failureRate:          s.FailureRate,
		nextRecoveryAt:       s.NextRecoveryAt,
		consecutiveEjections: s.ConsecutiveEjections,
		rejectedUntil:        s.RejectedUntil,
		unavailable:          s.Unavailable,
		removedAt:            s.RemovedAt,
		gossipKey:            s.GossipKey,
		relativeLoad:         s.RelativeLoad,
		observedAt:           s.ObservedAt,
		gossipRepeats:        s.GossipRepeats,
		announcedFailureRate: s.AnnouncedFailureRate,
		initialReportSeen:    s.InitialReportSeen,
	}
}

func newBackendEntryState(entry Backend) backendEntryState {
	return backendEntryState{
		ID:               entry.ID,
		Zone:             entry.Zone,
		Cell:             entry.Cell,
		State:            entry.State,
		RelativeCapacity: entry.RelativeCapacity,
		StartedAt:        entry.StartedAt,
	}
}

func (s backendEntryState) restore() Backend {
	return Backend{
		ID:               s.ID,
		Zone:             s.Zone,
		Cell:             s.Cell,
		State:            s.State,
		RelativeCapacity: s.RelativeCapacity,
		StartedAt:        s.StartedAt,
	}
}

func newCustomerState(c *customer) customerState {
	return customerState{
		Name:         c.name,
		PlanIndex:    c.planIndex,
		FirstLimiter: c.firstLimiter,
		SetSize:      c.setSize,
		LastSeen:     c.lastSeen,
		MeanUnits:    c.meanUnits,
	}
}

func (s customerState) restore() *customer {
	return &customer{
		name:         s.Name,
		planIndex:    s.PlanIndex,
		firstLimiter: s.FirstLimiter,
		setSize:      s.SetSize,
		lastSeen:     s.LastSeen,
		meanUnits:    s.MeanUnits,
	}
}

func newPeerState(p *peer) peerState {
	return peerState{
		Number:          p.number,
		Epoch:           p.epoch,
		Known:           p.known,
		LastReceivedSeq: p.lastReceivedSeq,
		LastSentSeq:     p.lastSentSeq,
		DueAt:           p.dueAt,
		PacedUntil:      p.pacedUntil,
		Queued:          p.queued,
	}
}

func (s peerState) restore() *peer {
	return &peer{
		number:          s.Number,
		epoch:           s.Epoch,
		known:           s.Known,
		lastReceivedSeq: s.LastReceivedSeq,
		lastSentSeq:     s.LastSentSeq,
		dueAt:           s.DueAt,
		pacedUntil:      s.PacedUntil,
		queued:          s.Queued,
	}
}

func newAllowanceState(allowance rate.Allowance) allowanceState {
	return allowanceState{
		Amount:    allowance.Amount,
		UpdatedAt: allowance.UpdatedAt,
	}
}

func (s allowanceState) restore() rate.Allowance {
	return rate.Allowance{
		Amount:    s.Amount,
		UpdatedAt: s.UpdatedAt,
	}
}

func newRejectionsState(counts RejectionCounts) rejectionsState {
	return rejectionsState{
		OverQuota:    counts.OverQuota,
		WindowFull:   counts.WindowFull,
		QueueTimeout: counts.QueueTimeout,
		NotRetried:   counts.NotRetried,
	}
}

func (s rejectionsState) restore() RejectionCounts {
	return RejectionCounts{
		OverQuota:    s.OverQuota,
		WindowFull:   s.WindowFull,
		QueueTimeout: s.QueueTimeout,
		NotRetried:   s.NotRetried,
	}
}

func newRateState(decaying rate.Decaying) rateState {
	return rateState{
		PerSecond: decaying.PerSecond,
		UpdatedAt: decaying.UpdatedAt,
	}
}

func (s rateState) restore() rate.Decaying {
	return rate.Decaying{
		PerSecond: s.PerSecond,
		UpdatedAt: s.UpdatedAt,
	}
}

func newSettingsState(settings Settings) settingsState {
	return settingsState{
		Epoch:                 settings.Epoch,
		Self:                  settings.Self,
		Limiters:              settings.Limiters,
		Zone:                  settings.Zone,
		ClockResolution:       settings.ClockResolution,
		Classes:               memento.List(settings.Classes, newClassSettingsState),
		Plans:                 memento.List(settings.Plans, newPlanState),
		ClientsMarkRetries:    settings.ClientsMarkRetries,
		MaxAttempts:           settings.MaxAttempts,
		MayCancel:             settings.MayCancel,
		MayProbe:              settings.MayProbe,
		GossipEnabled:         settings.GossipEnabled,
		PeerMessagesPerSecond: settings.PeerMessagesPerSecond,
		MaxRetryAfter:         settings.MaxRetryAfter,
		LoadReportFields:      settings.LoadReportFields,
		CapacitiesKnown:       settings.CapacitiesKnown,
		PollEndpoints:         settings.PollEndpoints,
		DrainGrace:            settings.DrainGrace,
		SlowStartFraction:     settings.SlowStartFraction,
		SlowStartDuration:     settings.SlowStartDuration,
		OverloadMultiple:      settings.OverloadMultiple,
		OverloadDuration:      settings.OverloadDuration,
	}
}

func newPlanState(plan Plan) planState {
	return planState{
		Name:           plan.Name,
		Rate:           plan.Rate,
		Burst:          plan.Burst,
		MaxConcurrent:  plan.MaxConcurrent,
		WeightFactor:   plan.WeightFactor,
		ExcessFraction: plan.ExcessFraction,
		OverQuotaCost:  plan.OverQuotaCost,
		CeilingRate:    plan.CeilingRate,
		CeilingBurst:   plan.CeilingBurst,
	}
}

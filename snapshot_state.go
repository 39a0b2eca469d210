package lemongate

import (
	"time"

	"lemongate/internal/memento"
	"lemongate/internal/quota"
)

// This file is the stored form of a Gateway, and the one place where it is mapped to the live
// types. The field tags are a format that other releases read; a live field may be renamed freely.

func ledgerState(l *quota.Ledger) *quota.LedgerState {
	if l == nil {
		return nil
	}
	state := l.State()
	return &state
}

// limiterState is the stored form of a Gateway, without what follows from its settings or from
// other state, and without requests, which stay where they are.
type limiterState struct {
	Now                        time.Duration           `json:"now"`
	Started                    bool                    `json:"running"`
	Classes                    []classState            `json:"classes"`
	Backends                   map[string]backendState `json:"known"`
	MeanLoad                   float64                 `json:"meanLoad"`
	Ledger                     *quota.LedgerState      `json:"ledger"`
	Customers                  []customerState         `json:"order"`
	FirstRequestAt             time.Duration           `json:"first"`
	Leaving                    bool                    `json:"left"`
	InitialUtilizations        []float64               `json:"starting"`
	Peers                      map[int]peerState       `json:"peers"`
	TransferRequestsPacedUntil time.Duration           `json:"paced"`
	MessagesPacedUntil         time.Duration           `json:"pacedAll"`
	NextObservationsAt         time.Duration           `json:"nextNews"`
	UrgentUntil                time.Duration           `json:"alarm"`
	ProbeAllowance             allowanceState          `json:"probes"`
	Rejections                 rejectionsState         `json:"turned"`
	NextControlAt              time.Duration           `json:"nextPeriod"`
	FractionalWindow           allowanceState          `json:"carry"`
	SlowStartAllowance         allowanceState          `json:"cold"`
	WindowScale                float64                 `json:"scale"`
	UpstreamPressure           float64                 `json:"strain"`
	QuotaRate                  float64                 `json:"quotas"`
	MedianLatencyPerAttempt    float64                 `json:"typical"`
	WindowWasFull              bool                    `json:"bound"`
	RetryTokens                float64                 `json:"retryTokens"`
	AttemptRate                rateState               `json:"sendRate"`
	PollDue                    bool                    `json:"watch"`
}

// classState is the stored form of a class.
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
	Name              string        `json:"Name"`
	Effect            Effect        `json:"Effect"`
	IdempotencyScope  Group         `json:"Group"`
	IdempotencyWindow time.Duration `json:"Window"`
	LatencyObjective  time.Duration `json:"Aim"`
	Deadline          time.Duration `json:"Deadline"`
	Weight            float64       `json:"Worth"`
}

// backendState is the stored form of what is known of a backend.
type backendState struct {
	backendEntryState
	LatencyPerAttempt    float64               `json:"slope"`
	Samples              float64               `json:"answers"`
	LastResponseAt       time.Duration         `json:"seen"`
	FailureRate          float64               `json:"fails"`
	EjectedUntil         time.Duration         `json:"until"`
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

// backendEntryState is the stored form of an entry of the list of backends.
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

// allowanceState is the stored form of a saved amount.
type allowanceState struct {
	Amount    float64       `json:"amount"`
	UpdatedAt time.Duration `json:"at"`
}

// rejectionsState is the stored form of the counts of rejections.
type rejectionsState struct {
	OverQuota        uint64 `json:"beyond"`
	WindowFull       uint64 `json:"full"`
	QueueTimeout     uint64 `json:"held"`
	RetriesExhausted uint64 `json:"tried"`
}

// rateState is the stored form of a decayed rate.
type rateState struct {
	Rate      float64       `json:"rate"`
	UpdatedAt time.Duration `json:"at"`
}

// settingsState is the form of Settings of which the fingerprint is taken.
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

func newLimiterState(x *Gateway) limiterState {
	return limiterState{
		Now:                        x.now,
		Started:                    x.running,
		Classes:                    memento.List(x.classes, newClassState),
		Backends:                   memento.Values(x.known, newBackendState),
		MeanLoad:                   x.meanLoad,
		Ledger:                     ledgerState(x.ledger),
		Customers:                  memento.List(x.order, newCustomerState),
		FirstRequestAt:             x.first,
		Leaving:                    x.left,
		InitialUtilizations:        x.starting,
		Peers:                      memento.Values(x.peers, newPeerState),
		TransferRequestsPacedUntil: x.paced,
		MessagesPacedUntil:         x.pacedAll,
		NextObservationsAt:         x.nextNews,
		UrgentUntil:                x.alarm,
		ProbeAllowance:             newAllowanceState(x.probes),
		Rejections:                 newRejectionsState(x.turned),
		NextControlAt:              x.nextPeriod,
		FractionalWindow:           newAllowanceState(x.carry),
		SlowStartAllowance:         newAllowanceState(x.cold),
		WindowScale:                x.scale,
		UpstreamPressure:           x.strain,
		QuotaRate:                  x.quotas,
		MedianLatencyPerAttempt:    x.typical,
		WindowWasFull:              x.bound,
		RetryTokens:                x.retryTokens,
		AttemptRate:                newRateState(x.sendRate),
		PollDue:                    x.watch,
	}
}

// restore puts the state into a Gateway that knows its settings alone. The ledger needs the
// configuration and is restored apart.
func (s limiterState) restore(g *Gateway) {
	g.now = s.Now
	g.running = s.Started
	g.classes = memento.List(s.Classes, classState.restore)
	g.known = memento.Values(s.Backends, backendState.restore)
	g.meanLoad = s.MeanLoad
	g.order = memento.List(s.Customers, customerState.restore)
	g.first = s.FirstRequestAt
	g.left = s.Leaving
	g.starting = s.InitialUtilizations
	g.peers = memento.Values(s.Peers, peerState.restore)
	g.paced = s.TransferRequestsPacedUntil
	g.pacedAll = s.MessagesPacedUntil
	g.nextNews = s.NextObservationsAt
	g.alarm = s.UrgentUntil
	g.probes = s.ProbeAllowance.restore()
	g.turned = s.Rejections.restore()
	g.nextPeriod = s.NextControlAt
	g.carry = s.FractionalWindow.restore()
	g.cold = s.SlowStartAllowance.restore()
	g.scale = s.WindowScale
	g.strain = s.UpstreamPressure
	g.quotas = s.QuotaRate
	g.typical = s.MedianLatencyPerAttempt
	g.bound = s.WindowWasFull
	g.retryTokens = s.RetryTokens
	g.sendRate = s.AttemptRate.restore()
	g.watch = s.PollDue
}

func newClassState(x *class) classState {
	return classState{
		classSettingsState: newClassSettingsState(x.Class),
		Share:              x.share,
		Credit:             x.credit,
		RecentBudgets:      x.budgets,
		BudgetsSeen:        x.asked,
		UsualBudget:        x.usual,
		Arrivals:           x.arrivals,
		Completed:          x.ended,
		LatencySum:         x.latency,
		AttemptsMeasured:   x.served,
		AttemptLatencySum:  x.work,
		ArrivalRate:        x.rate,
		MeanLatency:        x.mean,
		MeanSquaredLatency: x.mean2,
		LatencySamples:     x.answers,
		IdleLatency:        x.idle,
	}
}

func (s classState) restore() *class {
	return &class{
		Class:    s.classSettingsState.restore(),
		share:    s.Share,
		credit:   s.Credit,
		budgets:  s.RecentBudgets,
		asked:    s.BudgetsSeen,
		usual:    s.UsualBudget,
		arrivals: s.Arrivals,
		ended:    s.Completed,
		latency:  s.LatencySum,
		served:   s.AttemptsMeasured,
		work:     s.AttemptLatencySum,
		rate:     s.ArrivalRate,
		mean:     s.MeanLatency,
		mean2:    s.MeanSquaredLatency,
		answers:  s.LatencySamples,
		idle:     s.IdleLatency,
	}
}

func newClassSettingsState(x Class) classSettingsState {
	return classSettingsState{
		Name:              x.Name,
		Effect:            x.Effect,
		IdempotencyScope:  x.Group,
		IdempotencyWindow: x.Window,
		LatencyObjective:  x.Aim,
		Deadline:          x.Deadline,
		Weight:            x.Worth,
	}
}

func (s classSettingsState) restore() Class {
	return Class{
		Name:     s.Name,
		Effect:   s.Effect,
		Group:    s.IdempotencyScope,
		Window:   s.IdempotencyWindow,
		Aim:      s.LatencyObjective,
		Deadline: s.Deadline,
		Worth:    s.Weight,
	}
}

func newBackendState(x *backend) backendState {
	return backendState{
		backendEntryState:    newBackendEntryState(x.Backend),
		LatencyPerAttempt:    x.slope,
		Samples:              x.answers,
		LastResponseAt:       x.seen,
		FailureRate:          x.fails,
		EjectedUntil:         x.until,
		ConsecutiveEjections: x.doubts,
		RejectedUntil:        x.turned,
		Unavailable:          x.gone,
		RemovedAt:            x.left,
		GossipKey:            x.key,
		RelativeLoad:         x.load,
		ObservedAt:           x.heard,
		GossipRepeats:        x.told,
		AnnouncedFailureRate: x.toldFails,
		InitialReportSeen:    x.reported,
	}
}

func (s backendState) restore() *backend {
	return &backend{
		Backend:   s.backendEntryState.restore(),
		slope:     s.LatencyPerAttempt,
		answers:   s.Samples,
		seen:      s.LastResponseAt,
		fails:     s.FailureRate,
		until:     s.EjectedUntil,
		doubts:    s.ConsecutiveEjections,
		turned:    s.RejectedUntil,
		gone:      s.Unavailable,
		left:      s.RemovedAt,
		key:       s.GossipKey,
		load:      s.RelativeLoad,
		heard:     s.ObservedAt,
		told:      s.GossipRepeats,
		toldFails: s.AnnouncedFailureRate,
		reported:  s.InitialReportSeen,
	}
}

func newBackendEntryState(x Backend) backendEntryState {
	return backendEntryState{
		ID:               x.ID,
		Zone:             x.Zone,
		Cell:             x.Cell,
		State:            x.State,
		RelativeCapacity: x.Size,
		StartedAt:        x.Started,
	}
}

func (s backendEntryState) restore() Backend {
	return Backend{
		ID:      s.ID,
		Zone:    s.Zone,
		Cell:    s.Cell,
		State:   s.State,
		Size:    s.RelativeCapacity,
		Started: s.StartedAt,
	}
}

func newCustomerState(x *customer) customerState {
	return customerState{
		Name:         x.name,
		PlanIndex:    x.number,
		FirstLimiter: x.first,
		SetSize:      x.size,
		LastSeen:     x.seen,
		MeanUnits:    x.units,
	}
}

func (s customerState) restore() *customer {
	return &customer{
		name:   s.Name,
		number: s.PlanIndex,
		first:  s.FirstLimiter,
		size:   s.SetSize,
		seen:   s.LastSeen,
		units:  s.MeanUnits,
	}
}

func newPeerState(x *peer) peerState {
	return peerState{
		Number:          x.number,
		Epoch:           x.epoch,
		Known:           x.known,
		LastReceivedSeq: x.seq,
		LastSentSeq:     x.sent,
		DueAt:           x.due,
		PacedUntil:      x.paced,
		Queued:          x.waits,
	}
}

func (s peerState) restore() *peer {
	return &peer{
		number: s.Number,
		epoch:  s.Epoch,
		known:  s.Known,
		seq:    s.LastReceivedSeq,
		sent:   s.LastSentSeq,
		due:    s.DueAt,
		paced:  s.PacedUntil,
		waits:  s.Queued,
	}
}

func newAllowanceState(x saved) allowanceState {
	return allowanceState{
		Amount:    x.amount,
		UpdatedAt: x.at,
	}
}

func (s allowanceState) restore() saved {
	return saved{
		amount: s.Amount,
		at:     s.UpdatedAt,
	}
}

func newRejectionsState(x Turned) rejectionsState {
	return rejectionsState{
		OverQuota:        x.Beyond,
		WindowFull:       x.Full,
		QueueTimeout:     x.Held,
		RetriesExhausted: x.Tried,
	}
}

func (s rejectionsState) restore() Turned {
	return Turned{
		Beyond: s.OverQuota,
		Full:   s.WindowFull,
		Held:   s.QueueTimeout,
		Tried:  s.RetriesExhausted,
	}
}

func newRateState(x decayed) rateState {
	return rateState{
		Rate:      x.rate,
		UpdatedAt: x.at,
	}
}

func (s rateState) restore() decayed {
	return decayed{
		rate: s.Rate,
		at:   s.UpdatedAt,
	}
}

func newSettingsState(x Settings) settingsState {
	return settingsState{
		Epoch:                 x.Epoch,
		Self:                  x.Self,
		Limiters:              x.Gateways,
		Zone:                  x.Zone,
		ClockResolution:       x.Tick,
		Classes:               memento.List(x.Classes, newClassSettingsState),
		Plans:                 memento.List(x.Plans, newPlanState),
		ClientsMarkRetries:    x.MarksRetry,
		MaxAttempts:           x.MaxAttempts,
		MayCancel:             x.MayCancel,
		MayProbe:              x.MayProbe,
		GossipEnabled:         x.MayTell,
		PeerMessagesPerSecond: x.PeerInPerSec,
		MaxRetryAfter:         x.MaxRetryAfter,
		LoadReportFields:      x.ReportFields,
		CapacitiesKnown:       x.SizesKnown,
		PollEndpoints:         x.PullList,
		DrainGrace:            x.DrainGrace,
		SlowStartFraction:     x.ColdFrom,
		SlowStartDuration:     x.WarmWithin,
		OverloadMultiple:      x.FallMultiple,
		OverloadDuration:      x.FallWithin,
	}
}

func newPlanState(x Plan) planState {
	return planState{
		Name:           x.Name,
		Rate:           x.Rate,
		Burst:          x.Burst,
		MaxConcurrent:  x.Open,
		WeightFactor:   x.Price,
		ExcessFraction: x.Excess,
		OverQuotaCost:  x.Over,
		CeilingRate:    x.CeilingRate,
		CeilingBurst:   x.CeilingBurst,
	}
}

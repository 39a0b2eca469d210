package quota

import (
	"time"

	"lemongate/internal/gossip"
	"lemongate/internal/memento"
	"lemongate/internal/rate"
)

// This file defines the stored form of a Ledger, and is the only place where it is mapped to the live types.

// Restore returns the Ledger that a process of this limiter stored. The configuration has to be the one that
// the Ledger had there.
func Restore(s LedgerState, c Config) *Ledger {
	l := s.restore()
	if l.accounts == nil {
		l.accounts = map[uint32][]*Account{}
	}
	if l.peers == nil {
		l.peers = map[int]*peer{}
	}
	l.rebuildDerived(c)
	return l
}

// LedgerState is the stored form of a Ledger: what one process of a limiter hands over to the
// next. Its field tags are a format that other releases read; a live field may be renamed freely.
type LedgerState struct {
	Counters       countersState             `json:"Count"`
	StartState     StartState                `json:"standing"`
	StartedAt      time.Duration             `json:"born"`
	LastMessageAt  time.Duration             `json:"now"`
	TotalDemand    rateState                 `json:"total"`
	MeanDemand     float64                   `json:"mean"`
	DemandVariance float64                   `json:"spread"`
	Ticks          int                       `json:"looks"`
	Accounts       map[uint32][]accountState `json:"accounts"`
	SweepIndex     int                       `json:"swept"`
	Peers          map[int]peerState         `json:"peers"`
	LastNonce      uint16                    `json:"nonce"`
	HotCursor      int                       `json:"hotAt"`
	ReadyPeers     []int                     `json:"ready"`
	// Not in 0.9.1 and earlier.
	RestartedInService bool `json:"replaced,omitempty"`
}

// countersState is the stored form of Counters.
type countersState struct {
	RequestsSent         uint64  `json:"asks"`
	GrantsSent           uint64  `json:"answers"`
	UnitsReceived        float64 `json:"got"`
	UnitsSent            float64 `json:"moved"`
	UnitsUnacknowledged  float64 `json:"unheard"`
	RateReclaimed        float64 `json:"reclaimed"`
	UnitsRecovered       float64 `json:"strayed"`
	AdmittedWithoutGrant uint64  `json:"on_chance"`
	Waited               uint64  `json:"waited"`
	Accounts             int     `json:"accounts"`
	StartState           string  `json:"standing"`
	SilentPeers          int     `json:"silent"`
	PeersDeclaredDead    uint64  `json:"dead"`
}

// rateState is the stored form of a rate.Decaying.
type rateState struct {
	Rate      float64       `json:"rate"`
	UpdatedAt time.Duration `json:"at"`
}

// accountState is the stored form of an Account.
type accountState struct {
	CustomerHash            uint32         `json:"Hash"`
	PlanIndex               int            `json:"Plan"`
	SlotsInUse              int            `json:"Open"`
	Evicted                 bool           `json:"Gone"`
	FirstLimiter            int            `json:"first"`
	SetSize                 int            `json:"size"`
	BaseFraction            float64        `json:"part"`
	EvenFraction            float64        `json:"even"`
	CeilingFraction         float64        `json:"roof"`
	Owners                  []int          `json:"homes"`
	OwnerRank               int            `json:"mine"`
	OwnerView               ownerViewState `json:"view"`
	Credit                  allowanceState `json:"credit"`
	UnreportedUnits         float64        `json:"debt"`
	UnreportedDemand        float64        `json:"unasked"`
	TransferAllowance       float64        `json:"thin"`
	TransferOutstanding     bool           `json:"asked"`
	OwnerDecision           int            `json:"word"`
	LevelHintReceived       bool           `json:"hinted"`
	LastGrantAt             time.Duration  `json:"granted"`
	CeilingInTransit        []transitState `json:"flying"`
	CeilingUnitsInTransit   float64        `json:"aloft"`
	BaseSlots               int            `json:"places"`
	Lenders                 []int          `json:"lenders"`
	AdvancedTo              time.Duration  `json:"at"`
	LastSeen                time.Duration  `json:"seen"`
	QuotaLevel              float64        `json:"quota"`
	CeilingLevel            float64        `json:"ceiling"`
	UnresolvedUnits         float64        `json:"doubt"`
	ReservedUnits           float64        `json:"held"`
	LargestRequest          float64        `json:"largest"`
	AdmittedWhileUnresolved bool           `json:"taken"`
	Demand                  rateState      `json:"demand"`
	Links                   []linkState    `json:"links"`
	Consumed                uint16         `json:"drawn"`
	TotalLevel              float64        `json:"whole"`
	TotalKnown              bool           `json:"wholly"`
	StartedFull             bool           `json:"fresh"`
	UnallocatedUnits        float64        `json:"strays"`
	UnallocatedReports      int            `json:"views"`
	UnallocatedSince        time.Duration  `json:"since"`
}

// ownerViewState is the stored form of an ownerView.
type ownerViewState struct {
	Known      bool          `json:"known"`
	Level      float64       `json:"level"`
	Demand     float64       `json:"demand"`
	ReceivedAt time.Duration `json:"at"`
}

// allowanceState is the stored form of a rate.Allowance.
type allowanceState struct {
	Amount    float64       `json:"amount"`
	UpdatedAt time.Duration `json:"at"`
}

// transitState is the stored form of an inTransit.
type transitState struct {
	Units     float64       `json:"units"`
	ArrivesBy time.Duration `json:"until"`
}

// linkState is the stored form of a link.
type linkState struct {
	PeerID                int                `json:"peer"`
	Epoch                 uint32             `json:"epoch"`
	Pending               bool               `json:"pending"`
	Nonce                 uint16             `json:"nonce"`
	RequestedAt           time.Duration      `json:"since"`
	LastSentAt            time.Duration      `json:"told"`
	Queued                bool               `json:"queued"`
	QuotaWanted           float64            `json:"want"`
	CeilingWanted         float64            `json:"over"`
	SlotsWanted           int                `json:"wantTo"`
	NextTransferRequestAt time.Duration      `json:"rest"`
	Borrowed              loanState          `json:"got"`
	Lent                  []grantRecordState `json:"out"`
	LentToEarlierEpochs   []loanState        `json:"outBefore,omitempty"` // not in 0.9.1 and earlier
	LastGrant             grantState         `json:"answer"`
	CeilingBorrowedUntil  time.Duration      `json:"leant"`
	DemandToReport        uint8              `json:"extra"`
	Known                 bool               `json:"known"`
	Recovered             bool               `json:"heir"`
	Restarted             bool               `json:"reborn"`
	Level                 float64            `json:"level"`
	Consumed              uint16             `json:"drawn"`
	Demand                float64            `json:"asks"`
	ReportedAt            time.Duration      `json:"heard"`
	ReturnDue             bool               `json:"needed"`
}

// loanState is the stored form of a loan.
type loanState struct {
	Share     float64       `json:"share"`
	Slots     int           `json:"places"`
	ExpiresAt time.Duration `json:"until"`
}

// grantRecordState is the stored form of a grantRecord.
type grantRecordState struct {
	loanState
	Nonce        uint16        `json:"nonce"`
	QuotaUnits   float64       `json:"units"`
	CeilingUnits float64       `json:"over"`
	DeliveredBy  time.Duration `json:"settled"`
	Message      grantState    `json:"answer"`
}

// grantState is the stored form of a gossip.Grant.
type grantState struct {
	Customer     uint32 `json:"Customer"`
	Nonce        uint16 `json:"Nonce"`
	QuotaUnits   uint16 `json:"Units"`
	CeilingUnits uint16 `json:"Over"`
	Consumed     uint16 `json:"Drawn"`
	Share        uint8  `json:"Share"`
	Level        int8   `json:"Level"`
	Demand       uint8  `json:"Demand"`
	Slots        uint8  `json:"Places"`
	TotalLevel   uint8  `json:"Whole"`
}

// peerState is the stored form of a peer.
type peerState struct {
	Epoch          uint32        `json:"epoch"`
	Known          bool          `json:"known"`
	Acked          bool          `json:"acked"`
	AckedAt        time.Duration `json:"ackedAt"`
	LastReceivedAt time.Duration `json:"heard"`
	SilentUntil    time.Duration `json:"silentUntil"`
	Unresponsive   bool          `json:"missed"`
	Dead           bool          `json:"dead"`
	QueuedGrants   []grantState  `json:"answers"`
	QueuedForSend  bool          `json:"waiting"`
}

// State returns the state that another process of this limiter needs to continue.
func (l *Ledger) State() LedgerState {
	return LedgerState{
		Counters:           newCountersState(l.Counts),
		StartState:         l.startState,
		StartedAt:          l.startedAt,
		LastMessageAt:      l.lastMessageAt,
		TotalDemand:        newRateState(l.totalDemand),
		MeanDemand:         l.meanDemand,
		DemandVariance:     l.demandVariance,
		Ticks:              l.ticks,
		Accounts:           memento.Values(l.accounts, func(list []*Account) []accountState { return memento.List(list, newAccountState) }),
		SweepIndex:         l.sweepIndex,
		Peers:              memento.Values(l.peers, newPeerState),
		LastNonce:          l.lastNonce,
		HotCursor:          l.hotCursor,
		ReadyPeers:         l.readyPeers,
		RestartedInService: l.restartedInService,
	}
}

// restore returns a Ledger without its configuration and what rebuildDerived builds.
func (s LedgerState) restore() *Ledger {
	return &Ledger{
		Counts:             s.Counters.restore(),
		startState:         s.StartState,
		startedAt:          s.StartedAt,
		lastMessageAt:      s.LastMessageAt,
		totalDemand:        s.TotalDemand.restore(),
		meanDemand:         s.MeanDemand,
		demandVariance:     s.DemandVariance,
		ticks:              s.Ticks,
		accounts:           memento.Values(s.Accounts, func(list []accountState) []*Account { return memento.List(list, accountState.restore) }),
		sweepIndex:         s.SweepIndex,
		peers:              memento.Values(s.Peers, peerState.restore),
		lastNonce:          s.LastNonce,
		hotCursor:          s.HotCursor,
		readyPeers:         s.ReadyPeers,
		restartedInService: s.RestartedInService,
	}
}

func newCountersState(x Counters) countersState {
	return countersState{
		RequestsSent:         x.RequestsSent,
		GrantsSent:           x.GrantsSent,
		UnitsReceived:        x.UnitsReceived,
		UnitsSent:            x.UnitsSent,
		UnitsUnacknowledged:  x.UnitsUnacknowledged,
		RateReclaimed:        x.RateReclaimed,
		UnitsRecovered:       x.UnitsRecovered,
		AdmittedWithoutGrant: x.AdmittedWithoutGrant,
		Waited:               x.Waited,
		Accounts:             x.Accounts,
		StartState:           x.StartState,
		SilentPeers:          x.SilentPeers,
		PeersDeclaredDead:    x.PeersDeclaredDead,
	}
}

func (s countersState) restore() Counters {
	return Counters{
		RequestsSent:         s.RequestsSent,
		GrantsSent:           s.GrantsSent,
		UnitsReceived:        s.UnitsReceived,
		UnitsSent:            s.UnitsSent,
		UnitsUnacknowledged:  s.UnitsUnacknowledged,
		RateReclaimed:        s.RateReclaimed,
		UnitsRecovered:       s.UnitsRecovered,
		AdmittedWithoutGrant: s.AdmittedWithoutGrant,
		Waited:               s.Waited,
		Accounts:             s.Accounts,
		StartState:           s.StartState,
		SilentPeers:          s.SilentPeers,
		PeersDeclaredDead:    s.PeersDeclaredDead,
	}
}

func newRateState(x rate.Decaying) rateState {
	return rateState{
		Rate:      x.PerSecond,
		UpdatedAt: x.UpdatedAt,
	}
}

func (s rateState) restore() rate.Decaying {
	return rate.Decaying{
		PerSecond: s.Rate,
		UpdatedAt: s.UpdatedAt,
	}
}

func newAccountState(x *Account) accountState {
	return accountState{
		CustomerHash:            x.CustomerHash,
		PlanIndex:               x.PlanIndex,
		SlotsInUse:              x.SlotsInUse,
		Evicted:                 x.Evicted,
		FirstLimiter:            x.firstLimiter,
		SetSize:                 x.setSize,
		BaseFraction:            x.baseFraction,
		EvenFraction:            x.evenFraction,
		CeilingFraction:         x.ceilingFraction,
		Owners:                  x.owners,
		OwnerRank:               x.ownerRank,
		OwnerView:               newOwnerViewState(x.ownerView),
		Credit:                  newAllowanceState(x.credit),
		UnreportedUnits:         x.unreportedUnits,
		UnreportedDemand:        x.unreportedDemand,
		TransferAllowance:       x.transferAllowance,
		TransferOutstanding:     x.transferOutstanding,
		OwnerDecision:           int(x.ownerDecision),
		LevelHintReceived:       x.levelHintReceived,
		LastGrantAt:             x.lastGrantAt,
		CeilingInTransit:        memento.List(x.ceilingInTransit, newTransitState),
		CeilingUnitsInTransit:   x.ceilingUnitsInTransit,
		BaseSlots:               x.baseSlots,
		Lenders:                 x.lenders,
		AdvancedTo:              x.advancedTo,
		LastSeen:                x.lastSeen,
		QuotaLevel:              x.quotaLevel,
		CeilingLevel:            x.ceilingLevel,
		UnresolvedUnits:         x.unresolvedUnits,
		ReservedUnits:           x.reservedUnits,
		LargestRequest:          x.largestRequest,
		AdmittedWhileUnresolved: x.admittedWhileUnresolved,
		Demand:                  newRateState(x.demand),
		Links:                   memento.List(x.links, newLinkState),
		Consumed:                x.consumed,
		TotalLevel:              x.totalLevel,
		TotalKnown:              x.totalKnown,
		StartedFull:             x.startedFull,
		UnallocatedUnits:        x.unallocatedUnits,
		UnallocatedReports:      x.unallocatedReports,
		UnallocatedSince:        x.unallocatedSince,
	}
}

func (s accountState) restore() *Account {
	return &Account{
		CustomerHash:            s.CustomerHash,
		PlanIndex:               s.PlanIndex,
		SlotsInUse:              s.SlotsInUse,
		Evicted:                 s.Evicted,
		firstLimiter:            s.FirstLimiter,
		setSize:                 s.SetSize,
		baseFraction:            s.BaseFraction,
		evenFraction:            s.EvenFraction,
		ceilingFraction:         s.CeilingFraction,
		owners:                  s.Owners,
		ownerRank:               s.OwnerRank,
		ownerView:               s.OwnerView.restore(),
		credit:                  s.Credit.restore(),
		unreportedUnits:         s.UnreportedUnits,
		unreportedDemand:        s.UnreportedDemand,
		transferAllowance:       s.TransferAllowance,
		transferOutstanding:     s.TransferOutstanding,
		ownerDecision:           ownerDecision(s.OwnerDecision),
		levelHintReceived:       s.LevelHintReceived,
		lastGrantAt:             s.LastGrantAt,
		ceilingInTransit:        memento.List(s.CeilingInTransit, transitState.restore),
		ceilingUnitsInTransit:   s.CeilingUnitsInTransit,
		baseSlots:               s.BaseSlots,
		lenders:                 s.Lenders,
		advancedTo:              s.AdvancedTo,
		lastSeen:                s.LastSeen,
		quotaLevel:              s.QuotaLevel,
		ceilingLevel:            s.CeilingLevel,
		unresolvedUnits:         s.UnresolvedUnits,
		reservedUnits:           s.ReservedUnits,
		largestRequest:          s.LargestRequest,
		admittedWhileUnresolved: s.AdmittedWhileUnresolved,
		demand:                  s.Demand.restore(),
		links:                   memento.List(s.Links, linkState.restore),
		consumed:                s.Consumed,
		totalLevel:              s.TotalLevel,
		totalKnown:              s.TotalKnown,
		startedFull:             s.StartedFull,
		unallocatedUnits:        s.UnallocatedUnits,
		unallocatedReports:      s.UnallocatedReports,
		unallocatedSince:        s.UnallocatedSince,
	}
}

func newOwnerViewState(x ownerView) ownerViewState {
	return ownerViewState{
		Known:      x.known,
		Level:      x.level,
		Demand:     x.demand,
		ReceivedAt: x.receivedAt,
	}
}

func (s ownerViewState) restore() ownerView {
	return ownerView{
		known:      s.Known,
		level:      s.Level,
		demand:     s.Demand,
		receivedAt: s.ReceivedAt,
	}
}

func newAllowanceState(x rate.Allowance) allowanceState {
	return allowanceState{
		Amount:    x.Amount,
		UpdatedAt: x.UpdatedAt,
	}
}

func (s allowanceState) restore() rate.Allowance {
	return rate.Allowance{
		Amount:    s.Amount,
		UpdatedAt: s.UpdatedAt,
	}
}

func newTransitState(x inTransit) transitState {
	return transitState{
		Units:     x.units,
		ArrivesBy: x.arrivesBy,
	}
}

func (s transitState) restore() inTransit {
	return inTransit{
		units:     s.Units,
		arrivesBy: s.ArrivesBy,
	}
}

func newLinkState(x *link) linkState {
	return linkState{
		PeerID:                x.peerID,
		Epoch:                 x.epoch,
		Pending:               x.pending,
		Nonce:                 x.nonce,
		RequestedAt:           x.requestedAt,
		LastSentAt:            x.lastSentAt,
		Queued:                x.queued,
		QuotaWanted:           x.quotaWanted,
		CeilingWanted:         x.ceilingWanted,
		SlotsWanted:           x.slotsWanted,
		NextTransferRequestAt: x.nextTransferRequestAt,
		Borrowed:              newLoanState(x.borrowed),
		Lent:                  memento.List(x.lent, newGrantRecordState),
		LentToEarlierEpochs:   memento.List(x.lentToEarlierEpochs, newLoanState),
		LastGrant:             newGrantState(x.lastGrant),
		CeilingBorrowedUntil:  x.ceilingBorrowedUntil,
		DemandToReport:        x.demandToReport,
		Known:                 x.known,
		Recovered:             x.recovered,
		Restarted:             x.restarted,
		Level:                 x.level,
		Consumed:              x.consumed,
		Demand:                x.demand,
		ReportedAt:            x.reportedAt,
		ReturnDue:             x.returnDue,
	}
}

func (s linkState) restore() *link {
	return &link{
		peerID:                s.PeerID,
		epoch:                 s.Epoch,
		pending:               s.Pending,
		nonce:                 s.Nonce,
		requestedAt:           s.RequestedAt,
		lastSentAt:            s.LastSentAt,
		queued:                s.Queued,
		quotaWanted:           s.QuotaWanted,
		ceilingWanted:         s.CeilingWanted,
		slotsWanted:           s.SlotsWanted,
		nextTransferRequestAt: s.NextTransferRequestAt,
		borrowed:              s.Borrowed.restore(),
		lent:                  memento.List(s.Lent, grantRecordState.restore),
		lentToEarlierEpochs:   memento.List(s.LentToEarlierEpochs, loanState.restore),
		lastGrant:             s.LastGrant.restore(),
		ceilingBorrowedUntil:  s.CeilingBorrowedUntil,
		demandToReport:        s.DemandToReport,
		known:                 s.Known,
		recovered:             s.Recovered,
		restarted:             s.Restarted,
		level:                 s.Level,
		consumed:              s.Consumed,
		demand:                s.Demand,
		reportedAt:            s.ReportedAt,
		returnDue:             s.ReturnDue,
	}
}

func newLoanState(x loan) loanState {
	return loanState{
		Share:     x.share,
		Slots:     x.slots,
		ExpiresAt: x.expiresAt,
	}
}

func (s loanState) restore() loan {
	return loan{
		share:     s.Share,
		slots:     s.Slots,
		expiresAt: s.ExpiresAt,
	}
}

func newGrantRecordState(x grantRecord) grantRecordState {
	return grantRecordState{
		loanState:    newLoanState(x.loan),
		Nonce:        x.nonce,
		QuotaUnits:   x.quotaUnits,
		CeilingUnits: x.ceilingUnits,
		DeliveredBy:  x.deliveredBy,
		Message:      newGrantState(x.message),
	}
}

func (s grantRecordState) restore() grantRecord {
	return grantRecord{
		loan:         s.loanState.restore(),
		nonce:        s.Nonce,
		quotaUnits:   s.QuotaUnits,
		ceilingUnits: s.CeilingUnits,
		deliveredBy:  s.DeliveredBy,
		message:      s.Message.restore(),
	}
}

func newGrantState(x gossip.Grant) grantState {
	return grantState{
		Customer:     x.Customer,
		Nonce:        x.Nonce,
		QuotaUnits:   x.QuotaUnits,
		CeilingUnits: x.CeilingUnits,
		Consumed:     x.Consumed,
		Share:        x.Share,
		Level:        x.Level,
		Demand:       x.Demand,
		Slots:        x.Slots,
		TotalLevel:   x.TotalLevel,
	}
}

func (s grantState) restore() gossip.Grant {
	return gossip.Grant{
		Customer:     s.Customer,
		Nonce:        s.Nonce,
		QuotaUnits:   s.QuotaUnits,
		CeilingUnits: s.CeilingUnits,
		Consumed:     s.Consumed,
		Share:        s.Share,
		Level:        s.Level,
		Demand:       s.Demand,
		Slots:        s.Slots,
		TotalLevel:   s.TotalLevel,
	}
}

func newPeerState(x *peer) peerState {
	return peerState{
		Epoch:          x.epoch,
		Known:          x.known,
		Acked:          x.acked,
		AckedAt:        x.ackedAt,
		LastReceivedAt: x.lastReceivedAt,
		SilentUntil:    x.silentUntil,
		Unresponsive:   x.unresponsive,
		Dead:           x.dead,
		QueuedGrants:   memento.List(x.queuedGrants, newGrantState),
		QueuedForSend:  x.queuedForSend,
	}
}

func (s peerState) restore() *peer {
	return &peer{
		epoch:          s.Epoch,
		known:          s.Known,
		acked:          s.Acked,
		ackedAt:        s.AckedAt,
		lastReceivedAt: s.LastReceivedAt,
		silentUntil:    s.SilentUntil,
		unresponsive:   s.Unresponsive,
		dead:           s.Dead,
		queuedGrants:   memento.List(s.QueuedGrants, grantState.restore),
		queuedForSend:  s.QueuedForSend,
	}
}

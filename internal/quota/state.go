package quota

import (
	"time"

	"lemongate/internal/memento"
	"lemongate/internal/peermsg"
)

// This file is the stored form of a Ledger, and the one place where it is mapped to the live types.

// Restore returns the Ledger that a process of this limiter stored, under the configuration that
// it had there.
func Restore(s LedgerState, c Config) *Ledger {
	l := s.restore()
	if l.accounts == nil {
		l.accounts = map[uint32][]*Account{}
	}
	if l.peers == nil {
		l.peers = map[int]*peer{}
	}
	l.relink(c)
	return l
}

// LedgerState is the stored form of a Ledger: what one process of a limiter hands over to the
// next. Its field tags are a format that other releases read; a live field may be renamed freely.
type LedgerState struct {
	Counters       countersState             `json:"Count"`
	Recovery       Standing                  `json:"standing"`
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
	RecoveryState        string  `json:"standing"`
	SilentPeers          int     `json:"silent"`
	PeersDeclaredDead    uint64  `json:"dead"`
}

// rateState is the stored form of a decayed rate.
type rateState struct {
	Rate      float64       `json:"rate"`
	UpdatedAt time.Duration `json:"at"`
}

// accountState is the stored form of an Account.
type accountState struct {
	CustomerHash            uint32         `json:"Hash"`
	PlanIndex               int            `json:"Plan"`
	SlotsInUse              int            `json:"Open"`
	Forgotten               bool           `json:"Gone"`
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
	RequestAllowance        float64        `json:"thin"`
	RequestOutstanding      bool           `json:"asked"`
	OwnerDecision           int            `json:"word"`
	LevelAnnounced          bool           `json:"hinted"`
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
	UnallocatedTicks        int            `json:"views"`
	UnallocatedSince        time.Duration  `json:"since"`
}

// ownerViewState is the stored form of a view.
type ownerViewState struct {
	Known      bool          `json:"known"`
	Level      float64       `json:"level"`
	Demand     float64       `json:"demand"`
	ReceivedAt time.Duration `json:"at"`
}

// allowanceState is the stored form of a saved amount.
type allowanceState struct {
	Amount    float64       `json:"amount"`
	UpdatedAt time.Duration `json:"at"`
}

// transitState is the stored form of a flight.
type transitState struct {
	Units     float64       `json:"units"`
	ArrivesBy time.Duration `json:"until"`
}

// linkState is the stored form of a link.
type linkState struct {
	Peer                 int           `json:"peer"`
	Epoch                uint32        `json:"epoch"`
	Pending              bool          `json:"pending"`
	Nonce                uint16        `json:"nonce"`
	RequestedAt          time.Duration `json:"since"`
	LastSentAt           time.Duration `json:"told"`
	Queued               bool          `json:"queued"`
	QuotaWanted          float64       `json:"want"`
	CeilingWanted        float64       `json:"over"`
	SlotsWanted          int           `json:"wantTo"`
	NextRequestAt        time.Duration `json:"rest"`
	Borrowed             loanState     `json:"got"`
	Lent                 []lentState   `json:"out"`
	LastGrant            grantState    `json:"answer"`
	CeilingBorrowedUntil time.Duration `json:"leant"`
	ExtraDemand          uint8         `json:"extra"`
	Known                bool          `json:"known"`
	Reclaimed            bool          `json:"heir"`
	Restarted            bool          `json:"reborn"`
	Level                float64       `json:"level"`
	Consumed             uint16        `json:"drawn"`
	Demand               float64       `json:"asks"`
	HeardAt              time.Duration `json:"heard"`
	SlotsRequested       bool          `json:"needed"`
}

// loanState is the stored form of a loan.
type loanState struct {
	Share     float64       `json:"share"`
	Slots     int           `json:"places"`
	ExpiresAt time.Duration `json:"until"`
}

// lentState is the stored form of a grant.
type lentState struct {
	loanState
	Nonce        uint16        `json:"nonce"`
	QuotaUnits   float64       `json:"units"`
	CeilingUnits float64       `json:"over"`
	DeliveredBy  time.Duration `json:"settled"`
	Message      grantState    `json:"answer"`
}

// grantState is the stored form of a peermsg.Answer.
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
	Epoch         uint32        `json:"epoch"`
	Known         bool          `json:"known"`
	Acked         bool          `json:"acked"`
	AckedAt       time.Duration `json:"ackedAt"`
	HeardAt       time.Duration `json:"heard"`
	SilentUntil   time.Duration `json:"silentUntil"`
	Unresponsive  bool          `json:"missed"`
	Dead          bool          `json:"dead"`
	QueuedGrants  []grantState  `json:"answers"`
	QueuedForSend bool          `json:"waiting"`
}

// State returns what another process of this limiter needs to go on.
func (l *Ledger) State() LedgerState {
	return LedgerState{
		Counters:       newCountersState(l.Count),
		Recovery:       l.standing,
		StartedAt:      l.born,
		LastMessageAt:  l.now,
		TotalDemand:    newRateState(l.total),
		MeanDemand:     l.mean,
		DemandVariance: l.spread,
		Ticks:          l.looks,
		Accounts:       memento.Values(l.accounts, func(list []*Account) []accountState { return memento.List(list, newAccountState) }),
		SweepIndex:     l.swept,
		Peers:          memento.Values(l.peers, newPeerState),
		LastNonce:      l.nonce,
		HotCursor:      l.hotAt,
		ReadyPeers:     l.ready,
	}
}

// restore returns a Ledger without its configuration and what Relink derives.
func (s LedgerState) restore() *Ledger {
	return &Ledger{
		Count:    s.Counters.restore(),
		standing: s.Recovery,
		born:     s.StartedAt,
		now:      s.LastMessageAt,
		total:    s.TotalDemand.restore(),
		mean:     s.MeanDemand,
		spread:   s.DemandVariance,
		looks:    s.Ticks,
		accounts: memento.Values(s.Accounts, func(list []accountState) []*Account { return memento.List(list, accountState.restore) }),
		swept:    s.SweepIndex,
		peers:    memento.Values(s.Peers, peerState.restore),
		nonce:    s.LastNonce,
		hotAt:    s.HotCursor,
		ready:    s.ReadyPeers,
	}
}

func newCountersState(x Counters) countersState {
	return countersState{
		RequestsSent:         x.Asks,
		GrantsSent:           x.Answers,
		UnitsReceived:        x.Got,
		UnitsSent:            x.Moved,
		UnitsUnacknowledged:  x.Unheard,
		RateReclaimed:        x.Reclaimed,
		UnitsRecovered:       x.Strayed,
		AdmittedWithoutGrant: x.OnChance,
		Waited:               x.Waited,
		Accounts:             x.Accounts,
		RecoveryState:        x.Standing,
		SilentPeers:          x.Silent,
		PeersDeclaredDead:    x.Dead,
	}
}

func (s countersState) restore() Counters {
	return Counters{
		Asks:      s.RequestsSent,
		Answers:   s.GrantsSent,
		Got:       s.UnitsReceived,
		Moved:     s.UnitsSent,
		Unheard:   s.UnitsUnacknowledged,
		Reclaimed: s.RateReclaimed,
		Strayed:   s.UnitsRecovered,
		OnChance:  s.AdmittedWithoutGrant,
		Waited:    s.Waited,
		Accounts:  s.Accounts,
		Standing:  s.RecoveryState,
		Silent:    s.SilentPeers,
		Dead:      s.PeersDeclaredDead,
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

func newAccountState(x *Account) accountState {
	return accountState{
		CustomerHash:            x.Hash,
		PlanIndex:               x.Plan,
		SlotsInUse:              x.Open,
		Forgotten:               x.Gone,
		FirstLimiter:            x.first,
		SetSize:                 x.size,
		BaseFraction:            x.part,
		EvenFraction:            x.even,
		CeilingFraction:         x.roof,
		Owners:                  x.homes,
		OwnerRank:               x.mine,
		OwnerView:               newOwnerViewState(x.view),
		Credit:                  newAllowanceState(x.credit),
		UnreportedUnits:         x.debt,
		UnreportedDemand:        x.unasked,
		RequestAllowance:        x.thin,
		RequestOutstanding:      x.asked,
		OwnerDecision:           x.word,
		LevelAnnounced:          x.hinted,
		LastGrantAt:             x.granted,
		CeilingInTransit:        memento.List(x.flying, newTransitState),
		CeilingUnitsInTransit:   x.aloft,
		BaseSlots:               x.places,
		Lenders:                 x.lenders,
		AdvancedTo:              x.at,
		LastSeen:                x.seen,
		QuotaLevel:              x.quota,
		CeilingLevel:            x.ceiling,
		UnresolvedUnits:         x.doubt,
		ReservedUnits:           x.held,
		LargestRequest:          x.largest,
		AdmittedWhileUnresolved: x.taken,
		Demand:                  newRateState(x.demand),
		Links:                   memento.List(x.links, newLinkState),
		Consumed:                x.drawn,
		TotalLevel:              x.whole,
		TotalKnown:              x.wholly,
		StartedFull:             x.fresh,
		UnallocatedUnits:        x.strays,
		UnallocatedTicks:        x.views,
		UnallocatedSince:        x.since,
	}
}

func (s accountState) restore() *Account {
	return &Account{
		Hash:    s.CustomerHash,
		Plan:    s.PlanIndex,
		Open:    s.SlotsInUse,
		Gone:    s.Forgotten,
		first:   s.FirstLimiter,
		size:    s.SetSize,
		part:    s.BaseFraction,
		even:    s.EvenFraction,
		roof:    s.CeilingFraction,
		homes:   s.Owners,
		mine:    s.OwnerRank,
		view:    s.OwnerView.restore(),
		credit:  s.Credit.restore(),
		debt:    s.UnreportedUnits,
		unasked: s.UnreportedDemand,
		thin:    s.RequestAllowance,
		asked:   s.RequestOutstanding,
		word:    s.OwnerDecision,
		hinted:  s.LevelAnnounced,
		granted: s.LastGrantAt,
		flying:  memento.List(s.CeilingInTransit, transitState.restore),
		aloft:   s.CeilingUnitsInTransit,
		places:  s.BaseSlots,
		lenders: s.Lenders,
		at:      s.AdvancedTo,
		seen:    s.LastSeen,
		quota:   s.QuotaLevel,
		ceiling: s.CeilingLevel,
		doubt:   s.UnresolvedUnits,
		held:    s.ReservedUnits,
		largest: s.LargestRequest,
		taken:   s.AdmittedWhileUnresolved,
		demand:  s.Demand.restore(),
		links:   memento.List(s.Links, linkState.restore),
		drawn:   s.Consumed,
		whole:   s.TotalLevel,
		wholly:  s.TotalKnown,
		fresh:   s.StartedFull,
		strays:  s.UnallocatedUnits,
		views:   s.UnallocatedTicks,
		since:   s.UnallocatedSince,
	}
}

func newOwnerViewState(x view) ownerViewState {
	return ownerViewState{
		Known:      x.known,
		Level:      x.level,
		Demand:     x.demand,
		ReceivedAt: x.at,
	}
}

func (s ownerViewState) restore() view {
	return view{
		known:  s.Known,
		level:  s.Level,
		demand: s.Demand,
		at:     s.ReceivedAt,
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

func newTransitState(x flight) transitState {
	return transitState{
		Units:     x.units,
		ArrivesBy: x.until,
	}
}

func (s transitState) restore() flight {
	return flight{
		units: s.Units,
		until: s.ArrivesBy,
	}
}

func newLinkState(x link) linkState {
	return linkState{
		Peer:                 x.peer,
		Epoch:                x.epoch,
		Pending:              x.pending,
		Nonce:                x.nonce,
		RequestedAt:          x.since,
		LastSentAt:           x.told,
		Queued:               x.queued,
		QuotaWanted:          x.want,
		CeilingWanted:        x.over,
		SlotsWanted:          x.wantTo,
		NextRequestAt:        x.rest,
		Borrowed:             newLoanState(x.got),
		Lent:                 memento.List(x.out, newLentState),
		LastGrant:            newGrantState(x.answer),
		CeilingBorrowedUntil: x.leant,
		ExtraDemand:          x.extra,
		Known:                x.known,
		Reclaimed:            x.heir,
		Restarted:            x.reborn,
		Level:                x.level,
		Consumed:             x.drawn,
		Demand:               x.asks,
		HeardAt:              x.heard,
		SlotsRequested:       x.needed,
	}
}

func (s linkState) restore() link {
	return link{
		peer:    s.Peer,
		epoch:   s.Epoch,
		pending: s.Pending,
		nonce:   s.Nonce,
		since:   s.RequestedAt,
		told:    s.LastSentAt,
		queued:  s.Queued,
		want:    s.QuotaWanted,
		over:    s.CeilingWanted,
		wantTo:  s.SlotsWanted,
		rest:    s.NextRequestAt,
		got:     s.Borrowed.restore(),
		out:     memento.List(s.Lent, lentState.restore),
		answer:  s.LastGrant.restore(),
		leant:   s.CeilingBorrowedUntil,
		extra:   s.ExtraDemand,
		known:   s.Known,
		heir:    s.Reclaimed,
		reborn:  s.Restarted,
		level:   s.Level,
		drawn:   s.Consumed,
		asks:    s.Demand,
		heard:   s.HeardAt,
		needed:  s.SlotsRequested,
	}
}

func newLoanState(x loan) loanState {
	return loanState{
		Share:     x.share,
		Slots:     x.places,
		ExpiresAt: x.until,
	}
}

func (s loanState) restore() loan {
	return loan{
		share:  s.Share,
		places: s.Slots,
		until:  s.ExpiresAt,
	}
}

func newLentState(x grant) lentState {
	return lentState{
		loanState:    newLoanState(x.loan),
		Nonce:        x.nonce,
		QuotaUnits:   x.units,
		CeilingUnits: x.over,
		DeliveredBy:  x.settled,
		Message:      newGrantState(x.answer),
	}
}

func (s lentState) restore() grant {
	return grant{
		loan:    s.loanState.restore(),
		nonce:   s.Nonce,
		units:   s.QuotaUnits,
		over:    s.CeilingUnits,
		settled: s.DeliveredBy,
		answer:  s.Message.restore(),
	}
}

func newGrantState(x peermsg.Answer) grantState {
	return grantState{
		Customer:     x.Customer,
		Nonce:        x.Nonce,
		QuotaUnits:   x.Units,
		CeilingUnits: x.Over,
		Consumed:     x.Drawn,
		Share:        x.Share,
		Level:        x.Level,
		Demand:       x.Demand,
		Slots:        x.Places,
		TotalLevel:   x.Whole,
	}
}

func (s grantState) restore() peermsg.Answer {
	return peermsg.Answer{
		Customer: s.Customer,
		Nonce:    s.Nonce,
		Units:    s.QuotaUnits,
		Over:     s.CeilingUnits,
		Drawn:    s.Consumed,
		Share:    s.Share,
		Level:    s.Level,
		Demand:   s.Demand,
		Places:   s.Slots,
		Whole:    s.TotalLevel,
	}
}

func newPeerState(x *peer) peerState {
	return peerState{
		Epoch:         x.epoch,
		Known:         x.known,
		Acked:         x.acked,
		AckedAt:       x.ackedAt,
		HeardAt:       x.heard,
		SilentUntil:   x.silentUntil,
		Unresponsive:  x.missed,
		Dead:          x.dead,
		QueuedGrants:  memento.List(x.answers, newGrantState),
		QueuedForSend: x.waiting,
	}
}

func (s peerState) restore() *peer {
	return &peer{
		epoch:       s.Epoch,
		known:       s.Known,
		acked:       s.Acked,
		ackedAt:     s.AckedAt,
		heard:       s.HeardAt,
		silentUntil: s.SilentUntil,
		missed:      s.Unresponsive,
		dead:        s.Dead,
		answers:     memento.List(s.QueuedGrants, grantState.restore),
		waiting:     s.QueuedForSend,
	}
}

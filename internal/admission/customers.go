package admission

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"lemongate/internal/quota"
)

// This file decides whether the quota of a customer admits a request. A quota.Ledger manages the quotas, together with
// the ledgers of the other limiters.

const (
	// grantTimeoutFraction is the longest time that a request waits for a grant of other limiters, as a
	// fraction of the shortest objective.
	grantTimeoutFraction = 0.3
	// forgetObjectives is the time in longest objectives after which idle customers and removed backends
	// are deleted.
	forgetObjectives = 20.0
	// shutdownNotices is the number of times that each other limiter is notified of a shutdown, as messages may
	// be lost.
	shutdownNotices = 2
	// attemptEndMargin is the time after its deadline for which an attempt may still be in flight, as a limiter may
	// be delayed between reading its clock and writing.
	attemptEndMargin = 200 * time.Millisecond
	// makeRoomInterval is the time between two searches for customers to forget while the limit is reached.
	makeRoomInterval = 10 * time.Millisecond
	// accountsPerCustomer is the limit on accounts, with those that only other limiters have requests for, as a multiple of
	// that on customers.
	accountsPerCustomer = 2
)

// customerKey identifies a customer on a plan. Requests of a customer may name different plans, for example after a
// change of plan; each request is subject to the plan that it names.
type customerKey struct{ name, plan string }

// customer is a customer on a plan that has sent requests here.
type customer struct {
	name         string
	plan         *Plan
	planIndex    int // in the settings; len(Settings.Plans) for a plan that is not in the settings
	firstLimiter int // the limiter set: setSize consecutive limiters starting at firstLimiter
	setSize      int
	account      *quota.Account
	lastSeen     time.Duration // clock time
	meanUnits    float64       // running mean of the units of a request

	slots int // requests that have a slot, see takeSlot

	waiting       []*request // for a grant, in the order of arrival
	waitsForGrant bool       // is in customerSet.waiting
}

// customerSet contains the known customers and the ledger of their quotas.
type customerSet struct {
	ledger    *quota.Ledger
	planIndex map[string]int // in the settings, by name
	byKey     map[customerKey]*customer
	order     []*customer // in the order of their first requests
	limit     int         // on the number of customers; 0 for none
	waiting   []*customer // with requests that wait for a grant

	slotsFreed []*customer            // whose slots were freed by the current event
	held       map[RequestID]*request // of another process, which keep a slot without an attempt in flight here

	makeRoomAt     time.Duration // clock time of the next search for customers to forget
	firstRequestAt time.Duration // clock time of the first request; 0 for none
	shuttingDown   bool          // ShutdownStarted was received
}

func newCustomerSet(plans []Plan) customerSet {
	s := customerSet{planIndex: map[string]int{}, byKey: map[customerKey]*customer{}, held: map[RequestID]*request{}}
	for i := range plans {
		s.planIndex[plans[i].Name] = i
	}
	return s
}

// recordCustomerRequest returns the customer of a request and updates the customer's measurements. A customer that is not
// known is added only if the request is useful and there is room for another one. Otherwise recordCustomerRequest returns
// nil.
func (ctl *Controller) recordCustomerRequest(ev *Request, isUseful bool) *customer {
	c := ctl.customers.byKey[customerKey{ev.Customer, ev.Plan}]
	if c == nil && isUseful && ctl.makeRoomForCustomer() {
		c = ctl.lookupCustomer(ev)
	}
	if c == nil {
		return nil
	}
	if c.meanUnits == 0 {
		c.meanUnits = max(ev.Units, 1)
	}
	c.lastSeen = ctl.now
	c.meanUnits += meanWeight * (ev.Units - c.meanUnits)
	return c
}

// lookupCustomer returns the customer of a request. It adds an unknown customer, with an account in the ledger.
func (ctl *Controller) lookupCustomer(ev *Request) *customer {
	if c := ctl.customers.byKey[customerKey{ev.Customer, ev.Plan}]; c != nil {
		return c
	}
	// The names may be part of a whole head, which must not be kept with them.
	c := &customer{name: strings.Clone(ev.Customer), planIndex: len(ctl.settings.Plans)}
	if index, listed := ctl.customers.planIndex[ev.Plan]; listed {
		c.plan, c.planIndex = &ctl.settings.Plans[index], index
	} else {
		c.plan = &Plan{Name: strings.Clone(ev.Plan)}
	}
	limiters := ctl.settings.Limiters
	c.setSize = min(max(ev.SetSize, 1), limiters)
	c.firstLimiter = (ev.FirstLimiter%limiters + limiters) % limiters
	c.account = ctl.customers.ledger.Account(hashOf(ev.Customer), c.planIndex, c.firstLimiter, c.setSize, ctl.now)
	ctl.customers.byKey[customerKey{c.name, c.plan.Name}] = c
	ctl.customers.order = append(ctl.customers.order, c)
	return c
}

// makeRoomForCustomer reports whether a further customer can be known. At the limit it forgets customers that have no open
// request and full buckets, however short their idle time.
func (ctl *Controller) makeRoomForCustomer() bool {
	if !ctl.customers.isFull() {
		return true
	}
	if ctl.now < ctl.customers.makeRoomAt {
		return false
	}
	ctl.customers.makeRoomAt = ctl.now + makeRoomInterval
	ctl.customers.ledger.Sweep(ctl.maxAttemptEnd(), ctl.now)
	ctl.dropEvictedCustomers()
	return !ctl.customers.isFull()
}

// isFull reports whether the limit on customers is reached.
func (s *customerSet) isFull() bool {
	return s.limit > 0 && len(s.order) >= s.limit
}

// LimitCustomers sets the number of customers that are known at once, a customer once for each plan; 0 means no limit. The
// limit is not part of a snapshot.
func (ctl *Controller) LimitCustomers(limit int) {
	ctl.customers.limit = limit
	if ledger := ctl.customers.ledger; ledger != nil {
		ledger.MaxAccounts = ctl.customers.maxAccounts()
	}
}

// maxAccounts returns the limit on the accounts of the ledger, 0 for none.
func (s *customerSet) maxAccounts() int {
	return accountsPerCustomer * s.limit
}

// Customers returns the number of customers that are known, and the limit on it, 0 for none.
func (ctl *Controller) Customers() (known, limit int) {
	return len(ctl.customers.order), ctl.customers.limit
}

// reserveQuota asks the ledger whether the customer's quota covers a request, and applies the decision. It returns
// false if the decision has to wait for a grant of other limiters. If decideNow is set, the ledger decides at once by
// the local state.
func (ctl *Controller) reserveQuota(r *request, decideNow bool) (decided bool) {
	decision, wait := ctl.customers.ledger.Reserve(r.customer.account, r.Units, decideNow, ctl.now)
	if decision == quota.Pending {
		return false
	}
	ctl.onQuotaDecision(r, decision == quota.Granted, wait)
	return true
}

// waitForGrant makes a request wait until other limiters reply to the ledger's transfer request.
func (ctl *Controller) waitForGrant(r *request) {
	c := r.customer
	c.waiting = append(c.waiting, r)
	ctl.customers.ledger.Counts.Waited++
	if !c.waitsForGrant {
		c.waitsForGrant = true
		ctl.customers.waiting = append(ctl.customers.waiting, c)
	}
	ctl.scheduleTick(ctl.now + ctl.classes.pollInterval())
}

// grantDeadline returns the clock time at which a request that still waits for a grant is decided by the local state.
func (ctl *Controller) grantDeadline(r *request) time.Duration {
	margin := ctl.classes.pollInterval() * 2
	byObjective := r.receivedAt + seconds(grantTimeoutFraction*ctl.classes.shortestObjective.Seconds())
	byRequest := r.receivedAt + (ctl.latestStart(r)-r.receivedAt)/2
	return min(byObjective, byRequest) - margin
}

// decideWaiting decides the requests that wait for a grant: those whose grants have arrived, and, by the local state,
// those past their grantDeadline.
func (ctl *Controller) decideWaiting() {
	for _, c := range ctl.waitingCustomers() {
		ctl.decideCustomerRequests(c)
	}
}

// decideCustomerRequests decides the waiting requests of a customer in order, up to the first that still has to wait:
// later requests would only take the units that it waits for.
func (ctl *Controller) decideCustomerRequests(c *customer) {
	waiting := c.waiting
	c.waiting = nil
	for i, r := range waiting {
		if r.ended {
			continue
		}
		deadline := ctl.grantDeadline(r)
		if ctl.reserveQuota(r, ctl.now >= deadline) {
			continue
		}
		c.waiting = append(c.waiting, waiting[i:]...)
		ctl.scheduleTick(min(deadline, ctl.now+ctl.classes.pollInterval()*2) + ctl.settings.ClockResolution)
		return
	}
}

// waitingCustomers returns the customers with waiting requests, and removes the others from the list.
func (ctl *Controller) waitingCustomers() []*customer {
	ctl.customers.waiting = slices.DeleteFunc(ctl.customers.waiting, func(c *customer) bool {
		c.waiting = slices.DeleteFunc(c.waiting, func(r *request) bool { return r.ended })
		c.waitsForGrant = len(c.waiting) > 0
		return !c.waitsForGrant
	})
	return slices.Clone(ctl.customers.waiting)
}

// takeSlot gives an admitted request a slot. The request keeps it until it has ended and has no attempt in flight, so
// a queued request has a slot when it is forwarded, and so has a retry that waited for a backend when it is sent.
func (ctl *Controller) takeSlot(r *request) {
	if !r.hasSlot {
		r.hasSlot = true
		r.customer.slots++
		r.customer.account.SlotsInUse++
	}
}

// freeSlot frees the slot of a request that has ended.
func (ctl *Controller) freeSlot(r *request) {
	if !r.hasSlot {
		return
	}
	r.hasSlot = false
	r.customer.slots--
	r.customer.account.SlotsInUse--
	if r.customer.plan.MaxConcurrent > 0 {
		ctl.customers.slotsFreed = append(ctl.customers.slotsFreed, r.customer)
	}
}

// reuseFreedSlots gives the slots freed by an event to requests that wait here, and returns the rest to their lenders.
func (ctl *Controller) reuseFreedSlots() {
	for len(ctl.customers.slotsFreed) > 0 {
		c := ctl.customers.slotsFreed[0]
		ctl.customers.slotsFreed = ctl.customers.slotsFreed[1:]
		if c.waitsForGrant {
			ctl.decideCustomerRequests(c)
		}
		ctl.customers.ledger.ReleaseSlot(c.account, ctl.now)
	}
	ctl.customers.slotsFreed = nil
}

// startShutdown releases the quotas to the other limiters and notifies them at once, regardless of pacing, as the
// process may exit at any moment. With more than activePeers other limiters, each is sent a single notice: if it is
// lost, the reply to the next transfer request carries the shutdown as well.
func (ctl *Controller) startShutdown() {
	ctl.customers.shuttingDown = true
	notices := shutdownNotices
	if ctl.gossip.totalInterval > 0 {
		notices = 1
	}
	for range notices {
		for number := range ctl.settings.Limiters {
			if number != ctl.settings.Self && ctl.canGossip() {
				ctl.sendPeerMessage(ctl.peer(number))
			}
		}
	}
}

// forgetIdleCustomers deletes customers that have been idle for long and whose accounts the ledger could drop.
func (ctl *Controller) forgetIdleCustomers() {
	ctl.customers.ledger.Sweep(seconds(forgetObjectives*ctl.classes.longestObjective.Seconds()), ctl.now)
	ctl.dropEvictedCustomers()
}

// dropEvictedCustomers deletes the customers whose accounts the ledger has dropped.
func (ctl *Controller) dropEvictedCustomers() {
	ctl.customers.order = slices.DeleteFunc(ctl.customers.order, func(c *customer) bool {
		if c.account.Evicted {
			delete(ctl.customers.byKey, customerKey{c.name, c.plan.Name})
		}
		return c.account.Evicted
	})
}

// quotaConfig returns the configuration of the ledger. It has one plan more than the settings, without limits, for
// requests that name a plan that is not in the settings.
func (ctl *Controller) quotaConfig() quota.Config {
	config := quota.Config{
		Self: ctl.settings.Self, Limiters: ctl.settings.Limiters, GossipEnabled: ctl.canGossip(), Epoch: ctl.settings.Epoch,
		LongestAttempt: ctl.maxAttemptEnd(), MaxAccounts: ctl.customers.maxAccounts(),
	}
	for _, p := range ctl.settings.Plans {
		config.Plans = append(config.Plans, quota.Plan{
			Quota:            quota.Bucket{Rate: p.Rate, Burst: p.Burst},
			Ceiling:          quota.Bucket{Rate: p.CeilingRate, Burst: p.CeilingBurst},
			Slots:            p.MaxConcurrent,
			LeastProbability: leastAdmissionProbability(p),
		})
	}
	config.Plans = append(config.Plans, quota.Plan{})
	return config
}

// leastAdmissionProbability returns the lowest probability of being within the quota at which forwarding a request
// pays off. Within the quota a request earns its weight; beyond it, it costs OverQuotaCost minus ExcessFraction, as
// fractions of that weight.
func leastAdmissionProbability(p Plan) float64 {
	loss := max(p.OverQuotaCost-p.ExcessFraction, 0)
	return loss / (1 + loss)
}

// QuotaCounters returns the ledger's counters since the start.
func (ctl *Controller) QuotaCounters() quota.Counters {
	if ctl.customers.ledger == nil {
		return quota.Counters{}
	}
	return ctl.customers.ledger.Counters(ctl.now)
}

// IsLastHolder reports whether, while some other limiters are restarting, this limiter is the last one that holds the
// quota of some customer.
func (ctl *Controller) IsLastHolder(restarting []int) bool {
	return ctl.customers.ledger.IsLastHolder(restarting)
}

// HoldersOf returns the limiters that hold a customer's quota, out of a limiter set of setSize consecutive limiters
// starting at firstLimiter. The result is the same at every limiter.
func HoldersOf(customer string, firstLimiter, setSize, limiters int) []int {
	return quota.HoldersOf(hashOf(customer), firstLimiter, setSize, limiters)
}

// hashOf returns the FNV-1a hash that identifies a customer or a backend in messages between limiters.
func hashOf(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // writing to a hash never fails
	return h.Sum32()
}

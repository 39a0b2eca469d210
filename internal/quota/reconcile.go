package quota

import (
	"time"

	"lemongate/internal/gossip"
)

// This file processes what peers report of an account, and recovers unallocated units: those that are in
// the customer's bucket and in no allocation, because an allocation was full while the bucket was not, a
// message with units was lost, or a limiter died that had units.

const (
	// busyReportMaxAge is the age up to which a report counts in the sum of all allocations;
	// idleReportMaxAge is that age for a peer that is expected to have consumed at most idleReportUnits since.
	busyReportMaxAge = 400 * time.Millisecond
	idleReportMaxAge = 3 * time.Second
	// idleReportUnits, in units, see idleReportMaxAge.
	idleReportUnits = 1.0
	// Units are recovered after they were unallocated at unallocatedMinReports reports over
	// unallocatedMinDuration: units in transit between two peers look unallocated for a while.
	unallocatedMinReports  = 3
	unallocatedMinDuration = 500 * time.Millisecond
)

// peerReport is what a message reports of an account at its sender, as encoded.
type peerReport struct {
	level      int8
	consumed   uint16
	demand     uint8
	totalLevel uint8
}

// reconcile processes a peer's report. If the reports of all peers are recent, it compares the customer's
// bucket with the sum of all allocations.
func (a *Account) reconcile(lk *link, report peerReport, now time.Duration) {
	a.recordReport(lk, report, now)
	if a.plan().Quota.Rate <= 0 || a.baseFraction <= 0 {
		return
	}
	allocated, known := a.allocatedUnits(now)
	if !known {
		return
	}
	if !a.totalKnown || a.totalLevel < allocated { // the allocations never hold more than the bucket
		a.totalLevel, a.totalKnown, a.unallocatedReports = allocated, true, 0
		return
	}
	a.recoverUnallocated(allocated, now)
}

// recordReport records what a peer reported of its allocation, and subtracts what it consumed since its last
// report from the customer's complete quota.
func (a *Account) recordReport(lk *link, report peerReport, now time.Duration) {
	if report.totalLevel != gossip.UnknownTotal && !a.totalKnown { // the peer knows the level, this epoch does not
		a.totalLevel, a.totalKnown = a.decodeTotal(report.totalLevel), true
		lk.known, lk.consumed = true, report.consumed
	}
	if lk.known || lk.restarted || a.startedFull { // a new epoch counts from 0
		a.totalLevel -= decodeSigned(report.consumed - lk.consumed) // below 0 after refunds
	}
	lk.known, lk.restarted, lk.reportedAt, lk.consumed = true, false, now, report.consumed
	lk.level = a.decodeLevel(report.level)
	lk.demand = a.decodeDemand(report.demand)
}

// allocatedUnits returns the sum of the levels of all allocations and of the units in transit from here. It is
// unknown if the reports of the peers are not recent enough. What a dead peer had is unallocated.
func (a *Account) allocatedUnits(now time.Duration) (units float64, known bool) {
	units = a.quotaLevel
	for _, peerID := range a.lenders {
		lk := a.link(peerID)
		peer := a.ledger.peers[peerID]
		if peer != nil && peer.dead {
			continue
		}
		if !lk.hasRecentReport(now) {
			return 0, false
		}
		for _, lent := range lk.lent {
			units += lent.quotaUnits
		}
		fraction := max(a.baseFraction+lk.lentShare()-lk.borrowed.share, 0)
		units += lk.level + fraction*a.plan().Quota.Rate*(now-lk.reportedAt).Seconds()
	}
	return units, true
}

// hasRecentReport reports whether a peer's last report is recent enough to show its level.
func (lk *link) hasRecentReport(now time.Duration) bool {
	age := now - lk.reportedAt
	switch {
	case !lk.known || age > idleReportMaxAge:
		return false
	case age <= busyReportMaxAge:
		return true
	}
	return lk.demand*age.Seconds() <= idleReportUnits
}

// recoverUnallocated adds this limiter's part of the unallocated units to its allocation, once they have been
// unallocated for unallocatedMinDuration and unallocatedMinReports.
func (a *Account) recoverUnallocated(allocated float64, now time.Duration) {
	burst := a.plan().Quota.Burst
	rounding := burst / gossip.LevelSteps * float64(a.setSize) // of the levels in reports
	unallocated := a.totalLevel - allocated - a.largestRequest - rounding
	if a.unallocatedReports == 0 || now-a.unallocatedSince > idleReportMaxAge {
		a.unallocatedUnits, a.unallocatedSince, a.unallocatedReports = unallocated, now, 0
	}
	a.unallocatedUnits = min(a.unallocatedUnits, unallocated)
	a.unallocatedReports++
	if a.unallocatedReports < unallocatedMinReports || now-a.unallocatedSince < unallocatedMinDuration {
		return
	}
	a.unallocatedReports = 0
	if a.unallocatedUnits <= 0 {
		return
	}
	recovered := a.unallocatedUnits * a.baseFraction
	a.quotaLevel += recovered
	a.ledger.Counts.UnitsRecovered += recovered
}

package core

import (
	"encoding/json"
	"time"

	"lemongate/internal/usage"
)

// This file collects the tier's usage by periods and has a report of each period written, while this limiter
// holds the lease of TaskUsage. The acceptors store the lease's payload, which passes the state on to the next
// lease holder; docs/design/leases.md explains why no period counts twice.

const (
	// writeRetryDelay is the time after which a report that could not be written is retried.
	writeRetryDelay = time.Second
	// writeTimeoutLeaseDurations is how many lease durations a write may take. After that the lease is released.
	writeTimeoutLeaseDurations = 4
	// usageReplyFraction is the fraction of Settings.PeerMessagesPerSecond, the rate of the messages that a limiter may
	// receive, that replies to usage queries may make up.
	usageReplyFraction = 0.2
)

// collectionPhase is a stage of the lease holder's work on one period.
type collectionPhase uint8

const (
	collectionIdle          collectionPhase = iota // waits until the next collection is due
	collectionOpening                              // has the acceptors store that the period is being collected
	collectionQuerying                             // queries all limiters
	collectionStartingWrite                        // has the acceptors store that the report is being written
	collectionWriting                              // waits for the report to be written
	collectionConfirming                           // has the acceptors store that the report is written
)

// collection is the lease holder's work on one period.
type collection struct {
	phase         collectionPhase
	collector     *usage.Collector // of the period; nil while idle
	token         uint64           // of the lease under which the period is collected; 0 for none
	reportedUpTo  []uint32         // by limiter: the last period that is known to have a report with its usage
	startedAt     time.Duration    // clock time at which the collection of the period began
	nextAt        time.Duration    // clock time of the phase's next action: a collection, a retry, or the write's time-out
	writeTimedOut bool             // a write did not finish in time, and the lease was released because of that
}

// periodStage is the progress of the report of a period. The values are part of the payload.
type periodStage uint8

const (
	periodOpened  periodStage = iota // limiters are queried: there is no report yet
	periodWriting                    // there may be a report
	periodWritten                    // there is a report
)

// usagePayload is what the acceptors store about usage reports. Later releases may only extend its encoding.
type usagePayload struct {
	previous uint32 // period before this one; 0 for none
	period   uint32 // 31 bits; 0 for none
	stage    periodStage
}

// Layout of an encoded usagePayload: the stage in the lowest bits, the previous period in the highest.
const (
	payloadPeriodShift   = 2
	payloadPreviousShift = 33
	payloadStageMask     = 1<<payloadPeriodShift - 1
	payloadPeriodMask    = 1<<(payloadPreviousShift-payloadPeriodShift) - 1
)

func (p usagePayload) encode() uint64 {
	return uint64(p.previous)<<payloadPreviousShift | uint64(p.period)<<payloadPeriodShift | uint64(p.stage)
}

func decodeUsagePayload(payload uint64) usagePayload {
	return usagePayload{
		previous: uint32(payload >> payloadPreviousShift),
		period:   uint32(payload>>payloadPeriodShift) & payloadPeriodMask,
		stage:    periodStage(payload & payloadStageMask),
	}
}

// usagePayload returns the payload that the acceptors store, as far as this limiter knows it.
func (m *Machine) usagePayload() usagePayload {
	return decodeUsagePayload(m.leases.agent.Payload(TaskUsage))
}

// setUsageStage asks the acceptors to store the stage of the period that is collected, and reports whether a quorum
// of them has stored it.
func (m *Machine) setUsageStage(stage periodStage) bool {
	collector := m.usage.collection.collector
	payload := usagePayload{previous: collector.Previous, period: collector.Period, stage: stage}
	return m.leases.agent.SetPayload(m.now, TaskUsage, payload.encode())
}

// runUsage collects usage while this limiter holds the lease of TaskUsage, and returns the clock time at which it is to
// run again, 0 for never.
func (m *Machine) runUsage() (due time.Duration) {
	if m.usage.recorder == nil {
		return 0
	}
	c := &m.usage.collection
	token, until, ok := m.leases.agent.Holds(m.now, TaskUsage)
	if !ok {
		c.phase = collectionIdle
		c.collector = nil
		c.token = 0
		return 0
	}
	if token != c.token {
		m.onUsageLeaseWon(token)
	}
	for {
		previousPhase := c.phase
		due = m.stepCollection(until)
		if c.phase == previousPhase {
			return due
		}
	}
}

// stepCollection does the work of one phase. until is the clock time at which the lease ends. due is the
// clock time at which it is to run again if the phase does not change, 0 for never.
func (m *Machine) stepCollection(until time.Duration) (due time.Duration) {
	switch m.usage.collection.phase {
	case collectionIdle:
		return m.startNextPeriod()
	case collectionOpening:
		m.openPeriod()
	case collectionQuerying:
		return m.queryUsage()
	case collectionStartingWrite:
		return m.startWrite(until)
	case collectionWriting:
		return m.checkWriteTimeout()
	case collectionConfirming:
		m.confirmPeriod()
	}
	return 0
}

// onUsageLeaseWon continues from the payload that the acceptors store: a period not known to be written is collected
// again, and its report says so if an earlier report of the period may exist.
func (m *Machine) onUsageLeaseWon(token uint64) {
	payload := m.usagePayload()
	reported := payload.period
	if payload.stage != periodWritten {
		reported = payload.previous
	}
	c := &m.usage.collection
	c.phase = collectionIdle
	c.collector = nil
	c.token = token
	c.nextAt = m.now + m.config.UsagePeriod
	c.reportedUpTo = make([]uint32, m.config.Settings.Limiters)
	for i := range c.reportedUpTo {
		c.reportedUpTo[i] = reported
	}
	if payload.period > 0 && payload.stage != periodWritten {
		m.startCollection(payload.period, payload.previous, payload.stage == periodWriting)
	}
}

// startNextPeriod starts to collect the usage up to now. The number of the period is that of the wall-clock period in
// which the collection starts, but greater than the last number.
func (m *Machine) startNextPeriod() (due time.Duration) {
	if m.now < m.usage.collection.nextAt {
		return m.usage.collection.nextAt
	}
	last := m.usagePayload().period
	wallClockPeriod := uint32(m.wallClock() / uint64(m.config.UsagePeriod/time.Millisecond))
	m.startCollection(max(last+1, wallClockPeriod), last, false)
	return 0
}

// startCollection starts to collect a period. If mayBeReported is set, a report of the period may exist already.
func (m *Machine) startCollection(period, previous uint32, mayBeReported bool) {
	c := &m.usage.collection
	c.phase = collectionOpening
	c.startedAt = m.now
	c.nextAt = m.now
	c.collector = usage.NewCollector(period, previous, c.reportedUpTo, mayBeReported, c.token, m.usageQueryInterval(), m.now)
	// If the acceptors store no payload, it is not known what earlier lease holders have reported.
	c.collector.KnowsAllReports = m.leases.agent.Payload(TaskUsage) > 0
}

// usageQueryInterval returns the time between two queries at which the replies do not exceed usageReplyFraction.
func (m *Machine) usageQueryInterval() time.Duration {
	perSecond := m.config.Settings.PeerMessagesPerSecond
	if perSecond <= 0 {
		return time.Second
	}
	return time.Duration(float64(time.Second) / (perSecond * usageReplyFraction))
}

// openPeriod starts to query the limiters once the acceptors have stored that the period is being collected.
func (m *Machine) openPeriod() {
	c := &m.usage.collection
	stage := periodOpened
	if c.collector.MayRepeat {
		stage = periodWriting
	}
	if m.setUsageStage(stage) {
		c.phase = collectionQuerying
	}
}

// queryUsage queries the limiters that are due, this one included. Once every limiter has replied or counts as missing,
// it enters the next phase. A limiter may have a pending report of an earlier period that the acceptors no longer know
// because all of them lost their memory: that period is collected first.
func (m *Machine) queryUsage() (due time.Duration) {
	c := &m.usage.collection
	queries, due := c.collector.Tick(m.now)
	for _, query := range queries {
		m.sendUsageQuery(query)
	}
	if pending := c.collector.PendingPeriod(); pending > 0 {
		m.startCollection(pending, 0, true)
		return m.now
	}
	if c.collector.Complete() {
		c.phase = collectionStartingWrite
	}
	return due
}

func (m *Machine) sendUsageQuery(query usage.Query) {
	if int(query.To) != m.config.Settings.Self {
		m.sendToPeer(int(query.To), query.Request.Append(nil))
		return
	}
	if reply, ok := m.usage.recorder.HandleOwnRequest(query.Request); ok {
		m.usage.collection.collector.HandleMessage(query.To, reply)
	}
}

// startWrite requests the write of the report once the acceptors have stored that there may be a report. until is the
// clock time at which the lease ends.
func (m *Machine) startWrite(until time.Duration) (due time.Duration) {
	c := &m.usage.collection
	if m.now < c.nextAt {
		return c.nextAt
	}
	if !m.setUsageStage(periodWriting) {
		return 0
	}
	c.phase = collectionWriting
	c.nextAt = m.now + writeTimeoutLeaseDurations*m.config.Leases.Duration
	m.usage.recorder.MarkSent(c.collector)
	m.reportInheritedUsage()
	m.emit(WriteUsage{Token: c.token, StartBefore: until, Report: m.usageReport()})
	return 0
}

// usageReport returns the report of the collected period as one line of JSON.
func (m *Machine) usageReport() []byte {
	plans := make([]string, 0, len(m.config.Settings.Plans))
	for _, plan := range m.config.Settings.Plans {
		plans = append(plans, plan.Name)
	}
	report := m.usage.collection.collector.Report(plans)
	report.Limiter = m.config.Settings.Self
	report.At = time.UnixMilli(int64(m.wallClock())).UTC().Format(time.RFC3339Nano)
	data, _ := json.Marshal(report) // the report has only strings and numbers
	return append(data, '\n')
}

// checkWriteTimeout releases the lease if the report is not written in time, so that another limiter can write it.
func (m *Machine) checkWriteTimeout() (due time.Duration) {
	c := &m.usage.collection
	if m.now < c.nextAt {
		return c.nextAt
	}
	c.writeTimedOut = true
	c.phase = collectionIdle
	m.logf("usage report not written in time, lease released for another limiter to write it")
	m.setLeaseWanted(TaskUsage, false)
	return 0
}

// onUsageWritten handles the result of a write: it confirms a report that was written, and retries one that was not.
func (m *Machine) onUsageWritten(ev UsageWritten) {
	if m.leases.agent == nil {
		return
	}
	c := &m.usage.collection
	if c.writeTimedOut {
		c.writeTimedOut = false
		m.setLeaseWanted(TaskUsage, true)
	}
	if ev.Token != c.token || c.phase != collectionWriting {
		return // the lease was lost or released meanwhile: its next holder writes the report of the period again
	}
	switch {
	case ev.LeaseExpired:
		m.usage.counts.Late++
		m.recordLateAction(TaskUsage)
		m.retryWriteAt(m.now)
	case ev.Err != nil:
		m.usage.counts.Failed++
		m.logf("writing the usage report failed, will be retried: %v", ev.Err)
		m.retryWriteAt(m.now + writeRetryDelay)
	default:
		m.countWrittenReport()
		c.phase = collectionConfirming
	}
	m.runLeases()
}

func (m *Machine) retryWriteAt(at time.Duration) {
	m.usage.collection.phase = collectionStartingWrite
	m.usage.collection.nextAt = at
}

func (m *Machine) countWrittenReport() {
	collector := m.usage.collection.collector
	m.usage.counts.Written++
	if collector.MayRepeat {
		m.usage.counts.Repeated++
	}
	m.usage.counts.Missing += uint64(collector.Missing())
}

// confirmPeriod ends the work on a period once the acceptors have stored that its report is written.
func (m *Machine) confirmPeriod() {
	if !m.setUsageStage(periodWritten) {
		return
	}
	m.sendUsageConfirmations()
	c := &m.usage.collection
	c.reportedUpTo = c.collector.Reported()
	c.phase = collectionIdle
	c.collector = nil
	c.nextAt = c.startedAt + m.config.UsagePeriod
}

// sendUsageConfirmations notifies the limiters whose usage is in the report that the report is written.
func (m *Machine) sendUsageConfirmations() {
	collector := m.usage.collection.collector
	confirmation := collector.Confirmation()
	for _, to := range collector.ToConfirm() {
		if int(to) == m.config.Settings.Self {
			m.usage.recorder.HandleConfirmation(confirmation)
			continue
		}
		m.sendToPeer(int(to), confirmation.Append(nil))
	}
}

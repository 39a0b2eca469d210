package admission

import (
	"fmt"
	"strings"
	"testing"

	"lemongate/internal/golden"
)

// decodeSnapshot decodes a snapshot written by release 0.8.0, in which each field has a different value.
func decodeSnapshot(t *testing.T, data []byte) (snapshot, *Controller) {
	t.Helper()
	var s snapshot
	if err := stateCodec.Unmarshal(data, &s); err != nil {
		t.Fatal(err)
	}
	ctl := &Controller{}
	s.Limiter.restore(ctl)
	return s, ctl
}

// Each field of a snapshot of release 0.8.0 is decoded into the field of the Controller from which it was written.
func TestSnapshotOfEarlierReleaseIsDecoded(t *testing.T) {
	for pattern := range golden.Patterns {
		data := golden.Read(t, fmt.Sprintf("snapshot/snapshot-%d.json", pattern))
		s, ctl := decodeSnapshot(t, data)
		if s.Fingerprint != 123456789 || s.Epoch != 77 {
			t.Errorf("fingerprint %d, epoch %d, want 123456789 and 77", s.Fingerprint, s.Epoch)
		}
		fields := map[string]string{}
		for path, text := range golden.Fields(t, data) {
			path, ofLimiter := strings.CutPrefix(path, "Gateway.")
			if ofLimiter && !strings.HasPrefix(path, "ledger.") {
				fields[path] = text
			}
		}
		golden.Match(t, fields, map[string]any{
			"now":                    ctl.now,
			"running":                ctl.started,
			"classes.0.Name":         ctl.classes.all[0].Name,
			"classes.0.Effect":       ctl.classes.all[0].Idempotency,
			"classes.0.Group":        ctl.classes.all[0].IdempotencyScope,
			"classes.0.Window":       ctl.classes.all[0].IdempotencyWindow,
			"classes.0.Aim":          ctl.classes.all[0].LatencyObjective,
			"classes.0.Deadline":     ctl.classes.all[0].Deadline,
			"classes.0.Worth":        ctl.classes.all[0].Weight,
			"classes.0.share":        ctl.classes.all[0].share,
			"classes.0.credit":       ctl.classes.all[0].credit,
			"classes.0.budgets":      ctl.classes.all[0].recentBudgets,
			"classes.0.asked":        ctl.classes.all[0].budgetsSeen,
			"classes.0.usual":        ctl.classes.all[0].usualBudget,
			"classes.0.arrivals":     ctl.classes.all[0].arrivals,
			"classes.0.ended":        ctl.classes.all[0].completed,
			"classes.0.latency":      ctl.classes.all[0].latencySum,
			"classes.0.served":       ctl.classes.all[0].attemptsMeasured,
			"classes.0.work":         ctl.classes.all[0].attemptLatencySum,
			"classes.0.rate":         ctl.classes.all[0].arrivalRate,
			"classes.0.mean":         ctl.classes.all[0].meanLatency,
			"classes.0.mean2":        ctl.classes.all[0].meanSquaredLatency,
			"classes.0.answers":      ctl.classes.all[0].latencySamples,
			"classes.0.idle":         ctl.classes.all[0].idleLatency,
			"known.text72.ID":        ctl.endpoints.byID["text72"].ID,
			"known.text72.Zone":      ctl.endpoints.byID["text72"].Zone,
			"known.text72.Cell":      ctl.endpoints.byID["text72"].Cell,
			"known.text72.State":     ctl.endpoints.byID["text72"].State,
			"known.text72.Size":      ctl.endpoints.byID["text72"].RelativeCapacity,
			"known.text72.Started":   ctl.endpoints.byID["text72"].StartedAt,
			"known.text72.slope":     ctl.endpoints.byID["text72"].latencyPerAttempt,
			"known.text72.answers":   ctl.endpoints.byID["text72"].samples,
			"known.text72.seen":      ctl.endpoints.byID["text72"].lastResponseAt,
			"known.text72.fails":     ctl.endpoints.byID["text72"].failureRate,
			"known.text72.until":     ctl.endpoints.byID["text72"].nextRecoveryAt,
			"known.text72.doubts":    ctl.endpoints.byID["text72"].consecutiveEjections,
			"known.text72.turned.84": ctl.endpoints.byID["text72"].rejectedUntil[84],
			"known.text72.gone":      ctl.endpoints.byID["text72"].unavailable,
			"known.text72.left":      ctl.endpoints.byID["text72"].removedAt,
			"known.text72.key":       ctl.endpoints.byID["text72"].gossipKey,
			"known.text72.load":      ctl.endpoints.byID["text72"].relativeLoad,
			"known.text72.heard":     ctl.endpoints.byID["text72"].observedAt,
			"known.text72.told":      ctl.endpoints.byID["text72"].gossipRepeats,
			"known.text72.toldFails": ctl.endpoints.byID["text72"].announcedFailureRate,
			"known.text72.reported":  ctl.endpoints.byID["text72"].initialReportSeen,
			"meanLoad":               ctl.reports.meanLoad,
			"order.0.name":           ctl.customers.order[0].name,
			"order.0.number":         ctl.customers.order[0].planIndex,
			"order.0.first":          ctl.customers.order[0].firstLimiter,
			"order.0.size":           ctl.customers.order[0].setSize,
			"order.0.seen":           ctl.customers.order[0].lastSeen,
			"order.0.units":          ctl.customers.order[0].meanUnits,
			"first":                  ctl.customers.firstRequestAt,
			"left":                   ctl.customers.shuttingDown,
			"starting":               ctl.reports.initialUtilizations,
			"peers.729.number":       ctl.gossip.peers[729].number,
			"peers.729.epoch":        ctl.gossip.peers[729].epoch,
			"peers.729.known":        ctl.gossip.peers[729].known,
			"peers.729.seq":          ctl.gossip.peers[729].lastReceivedSeq,
			"peers.729.sent":         ctl.gossip.peers[729].lastSentSeq,
			"peers.729.due":          ctl.gossip.peers[729].dueAt,
			"peers.729.paced":        ctl.gossip.peers[729].pacedUntil,
			"peers.729.waits":        ctl.gossip.peers[729].queued,
			"paced":                  ctl.gossip.requestsPacedUntil,
			"pacedAll":               ctl.gossip.messagesPacedUntil,
			"nextNews":               ctl.gossip.nextObservationsAt,
			"alarm":                  ctl.gossip.urgentUntil,
			"probes.amount":          ctl.reports.probes.Amount,
			"probes.at":              ctl.reports.probes.UpdatedAt,
			"turned.beyond":          ctl.rejections.OverQuota,
			"turned.full":            ctl.rejections.WindowFull,
			"turned.held":            ctl.rejections.QueueTimeout,
			"turned.tried":           ctl.rejections.NotRetried,
			"nextPeriod":             ctl.control.nextAt,
			"carry.amount":           ctl.window.fraction.Amount,
			"carry.at":               ctl.window.fraction.UpdatedAt,
			"cold.amount":            ctl.slowStart.Amount,
			"cold.at":                ctl.slowStart.UpdatedAt,
			"scale":                  ctl.window.scale,
			"strain":                 ctl.window.pressure,
			"quotas":                 ctl.window.quotaRate,
			"typical":                ctl.endpoints.medianLatencyPerAttempt,
			"bound":                  ctl.window.wasFull,
			"retryTokens":            ctl.retries.tokens,
			"sendRate.rate":          ctl.window.attemptRate.PerSecond,
			"sendRate.at":            ctl.window.attemptRate.UpdatedAt,
			"watch":                  ctl.endpoints.pollDue,
		})
	}
}

// A snapshot is encoded to the same bytes that release 0.8.0 wrote for the same state.
func TestSnapshotIsEncodedAsByEarlierRelease(t *testing.T) {
	for pattern := range golden.Patterns {
		name := fmt.Sprintf("snapshot/snapshot-%d.json", pattern)
		s, ctl := decodeSnapshot(t, golden.Read(t, name))
		state := newLimiterState(ctl)
		state.Ledger = s.Limiter.Ledger // internal/quota has its own test
		got, err := stateCodec.Marshal(snapshot{Fingerprint: s.Fingerprint, Epoch: s.Epoch, Limiter: &state})
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, name, got)
	}
}

// The fingerprint of settings equals the one that release 0.8.0 computes: otherwise each release would reject the
// snapshots of the other.
func TestSettingsFingerprintOfEarlierRelease(t *testing.T) {
	var settings Settings
	(&golden.Filler{}).Fill(&settings)
	golden.Equal(t, "snapshot/settings-fingerprint.txt", fmt.Appendf(nil, "%d\n", fingerprint(settings)))
	settings.Epoch = 0
	got, err := stateCodec.Marshal(newSettingsState(settings))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "snapshot/settings.json", got)
	golden.Match(t, golden.Fields(t, got), map[string]any{
		"Epoch":                settings.Epoch,
		"Self":                 settings.Self,
		"Gateways":             settings.Limiters,
		"Zone":                 settings.Zone,
		"Tick":                 settings.ClockResolution,
		"Classes.0.Name":       settings.Classes[0].Name,
		"Classes.0.Effect":     settings.Classes[0].Idempotency,
		"Classes.0.Group":      settings.Classes[0].IdempotencyScope,
		"Classes.0.Window":     settings.Classes[0].IdempotencyWindow,
		"Classes.0.Aim":        settings.Classes[0].LatencyObjective,
		"Classes.0.Deadline":   settings.Classes[0].Deadline,
		"Classes.0.Worth":      settings.Classes[0].Weight,
		"Plans.0.Name":         settings.Plans[0].Name,
		"Plans.0.Rate":         settings.Plans[0].Rate,
		"Plans.0.Burst":        settings.Plans[0].Burst,
		"Plans.0.Open":         settings.Plans[0].MaxConcurrent,
		"Plans.0.Price":        settings.Plans[0].WeightFactor,
		"Plans.0.Excess":       settings.Plans[0].ExcessFraction,
		"Plans.0.Over":         settings.Plans[0].OverQuotaCost,
		"Plans.0.CeilingRate":  settings.Plans[0].CeilingRate,
		"Plans.0.CeilingBurst": settings.Plans[0].CeilingBurst,
		"MarksRetry":           settings.ClientsMarkRetries,
		"MaxAttempts":          settings.MaxAttempts,
		"MayCancel":            settings.MayCancel,
		"MayProbe":             settings.MayProbe,
		"MayTell":              settings.GossipEnabled,
		"PeerInPerSec":         settings.PeerMessagesPerSecond,
		"MaxRetryAfter":        settings.MaxRetryAfter,
		"ReportFields":         settings.LoadReportFields,
		"SizesKnown":           settings.CapacitiesKnown,
		"PullList":             settings.PollEndpoints,
		"DrainGrace":           settings.DrainGrace,
		"ColdFrom":             settings.SlowStartFraction,
		"WarmWithin":           settings.SlowStartDuration,
		"FallMultiple":         settings.OverloadMultiple,
		"FallWithin":           settings.OverloadDuration,
	})
}

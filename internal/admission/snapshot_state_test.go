package admission

import (
	"fmt"
	"strings"
	"testing"

	"lemongate/internal/golden"
)

// decodeSnapshot decodes a snapshot that release 0.8.0 wrote, each field with a value of its own.
func decodeSnapshot(t *testing.T, data []byte) (snapshot, *Controller) {
	t.Helper()
	var s snapshot
	if err := stateCodec.Unmarshal(data, &s); err != nil {
		t.Fatal(err)
	}
	g := &Controller{}
	s.Limiter.restore(g)
	return s, g
}

// Each field of a snapshot of release 0.8.0 is decoded into the live field that it was written from.
func TestSnapshotOfEarlierReleaseIsDecoded(t *testing.T) {
	for pattern := range golden.Patterns {
		data := golden.Read(t, fmt.Sprintf("snapshot/snapshot-%d.json", pattern))
		s, g := decodeSnapshot(t, data)
		if s.Fingerprint != 123456789 || s.Epoch != 77 {
			t.Errorf("fingerprint %d, epoch %d", s.Fingerprint, s.Epoch)
		}
		fields := map[string]string{}
		for path, text := range golden.Fields(t, data) {
			path, ofLimiter := strings.CutPrefix(path, "Gateway.")
			if ofLimiter && !strings.HasPrefix(path, "ledger.") {
				fields[path] = text
			}
		}
		golden.Match(t, fields, map[string]any{
			"now":                    g.now,
			"running":                g.started,
			"classes.0.Name":         g.classes.all[0].Name,
			"classes.0.Effect":       g.classes.all[0].Idempotency,
			"classes.0.Group":        g.classes.all[0].IdempotencyScope,
			"classes.0.Window":       g.classes.all[0].IdempotencyWindow,
			"classes.0.Aim":          g.classes.all[0].LatencyObjective,
			"classes.0.Deadline":     g.classes.all[0].Deadline,
			"classes.0.Worth":        g.classes.all[0].Weight,
			"classes.0.share":        g.classes.all[0].share,
			"classes.0.credit":       g.classes.all[0].credit,
			"classes.0.budgets":      g.classes.all[0].recentBudgets,
			"classes.0.asked":        g.classes.all[0].budgetsSeen,
			"classes.0.usual":        g.classes.all[0].usualBudget,
			"classes.0.arrivals":     g.classes.all[0].arrivals,
			"classes.0.ended":        g.classes.all[0].completed,
			"classes.0.latency":      g.classes.all[0].latencySum,
			"classes.0.served":       g.classes.all[0].attemptsMeasured,
			"classes.0.work":         g.classes.all[0].attemptLatencySum,
			"classes.0.rate":         g.classes.all[0].arrivalRate,
			"classes.0.mean":         g.classes.all[0].meanLatency,
			"classes.0.mean2":        g.classes.all[0].meanSquaredLatency,
			"classes.0.answers":      g.classes.all[0].latencySamples,
			"classes.0.idle":         g.classes.all[0].idleLatency,
			"known.text72.ID":        g.endpoints.byID["text72"].ID,
			"known.text72.Zone":      g.endpoints.byID["text72"].Zone,
			"known.text72.Cell":      g.endpoints.byID["text72"].Cell,
			"known.text72.State":     g.endpoints.byID["text72"].State,
			"known.text72.Size":      g.endpoints.byID["text72"].RelativeCapacity,
			"known.text72.Started":   g.endpoints.byID["text72"].StartedAt,
			"known.text72.slope":     g.endpoints.byID["text72"].latencyPerAttempt,
			"known.text72.answers":   g.endpoints.byID["text72"].samples,
			"known.text72.seen":      g.endpoints.byID["text72"].lastResponseAt,
			"known.text72.fails":     g.endpoints.byID["text72"].failureRate,
			"known.text72.until":     g.endpoints.byID["text72"].ejectedUntil,
			"known.text72.doubts":    g.endpoints.byID["text72"].consecutiveEjections,
			"known.text72.turned.84": g.endpoints.byID["text72"].rejectedUntil[84],
			"known.text72.gone":      g.endpoints.byID["text72"].unavailable,
			"known.text72.left":      g.endpoints.byID["text72"].removedAt,
			"known.text72.key":       g.endpoints.byID["text72"].gossipKey,
			"known.text72.load":      g.endpoints.byID["text72"].relativeLoad,
			"known.text72.heard":     g.endpoints.byID["text72"].observedAt,
			"known.text72.told":      g.endpoints.byID["text72"].gossipRepeats,
			"known.text72.toldFails": g.endpoints.byID["text72"].announcedFailureRate,
			"known.text72.reported":  g.endpoints.byID["text72"].initialReportSeen,
			"meanLoad":               g.reports.meanLoad,
			"order.0.name":           g.customers.order[0].name,
			"order.0.number":         g.customers.order[0].planIndex,
			"order.0.first":          g.customers.order[0].firstLimiter,
			"order.0.size":           g.customers.order[0].setSize,
			"order.0.seen":           g.customers.order[0].lastSeen,
			"order.0.units":          g.customers.order[0].meanUnits,
			"first":                  g.customers.firstRequestAt,
			"left":                   g.customers.leaving,
			"starting":               g.reports.initialUtilizations,
			"peers.729.number":       g.gossip.peers[729].number,
			"peers.729.epoch":        g.gossip.peers[729].epoch,
			"peers.729.known":        g.gossip.peers[729].known,
			"peers.729.seq":          g.gossip.peers[729].lastReceivedSeq,
			"peers.729.sent":         g.gossip.peers[729].lastSentSeq,
			"peers.729.due":          g.gossip.peers[729].dueAt,
			"peers.729.paced":        g.gossip.peers[729].pacedUntil,
			"peers.729.waits":        g.gossip.peers[729].queued,
			"paced":                  g.gossip.requestsPacedUntil,
			"pacedAll":               g.gossip.messagesPacedUntil,
			"nextNews":               g.gossip.nextObservationsAt,
			"alarm":                  g.gossip.urgentUntil,
			"probes.amount":          g.reports.probes.Amount,
			"probes.at":              g.reports.probes.UpdatedAt,
			"turned.beyond":          g.rejections.OverQuota,
			"turned.full":            g.rejections.WindowFull,
			"turned.held":            g.rejections.QueueTimeout,
			"turned.tried":           g.rejections.RetriesExhausted,
			"nextPeriod":             g.control.nextAt,
			"carry.amount":           g.window.fraction.Amount,
			"carry.at":               g.window.fraction.UpdatedAt,
			"cold.amount":            g.slowStart.Amount,
			"cold.at":                g.slowStart.UpdatedAt,
			"scale":                  g.window.scale,
			"strain":                 g.window.pressure,
			"quotas":                 g.window.quotaRate,
			"typical":                g.endpoints.medianLatency,
			"bound":                  g.window.wasFull,
			"retryTokens":            g.retries.tokens,
			"sendRate.rate":          g.window.attemptRate.PerSecond,
			"sendRate.at":            g.window.attemptRate.UpdatedAt,
			"watch":                  g.endpoints.pollDue,
		})
	}
}

// A snapshot is encoded to the bytes that release 0.8.0 wrote of the same state.
func TestSnapshotIsEncodedAsByEarlierRelease(t *testing.T) {
	for pattern := range golden.Patterns {
		name := fmt.Sprintf("snapshot/snapshot-%d.json", pattern)
		s, g := decodeSnapshot(t, golden.Read(t, name))
		state := newLimiterState(g)
		state.Ledger = s.Limiter.Ledger // internal/quota has its own test
		got, err := stateCodec.Marshal(snapshot{Fingerprint: s.Fingerprint, Epoch: s.Epoch, Limiter: &state})
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, name, got)
	}
}

// The fingerprint of settings is the one that release 0.8.0 takes of them: otherwise each refuses
// the other's snapshot.
func TestSettingsFingerprintOfEarlierRelease(t *testing.T) {
	var set Settings
	(&golden.Filler{}).Fill(&set)
	golden.Equal(t, "snapshot/settings-fingerprint.txt", fmt.Appendf(nil, "%d\n", fingerprint(set)))
	set.Epoch = 0
	got, err := stateCodec.Marshal(newSettingsState(set))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "snapshot/settings.json", got)
	golden.Match(t, golden.Fields(t, got), map[string]any{
		"Epoch":                set.Epoch,
		"Self":                 set.Self,
		"Gateways":             set.Limiters,
		"Zone":                 set.Zone,
		"Tick":                 set.ClockResolution,
		"Classes.0.Name":       set.Classes[0].Name,
		"Classes.0.Effect":     set.Classes[0].Idempotency,
		"Classes.0.Group":      set.Classes[0].IdempotencyScope,
		"Classes.0.Window":     set.Classes[0].IdempotencyWindow,
		"Classes.0.Aim":        set.Classes[0].LatencyObjective,
		"Classes.0.Deadline":   set.Classes[0].Deadline,
		"Classes.0.Worth":      set.Classes[0].Weight,
		"Plans.0.Name":         set.Plans[0].Name,
		"Plans.0.Rate":         set.Plans[0].Rate,
		"Plans.0.Burst":        set.Plans[0].Burst,
		"Plans.0.Open":         set.Plans[0].MaxConcurrent,
		"Plans.0.Price":        set.Plans[0].WeightFactor,
		"Plans.0.Excess":       set.Plans[0].ExcessFraction,
		"Plans.0.Over":         set.Plans[0].OverQuotaCost,
		"Plans.0.CeilingRate":  set.Plans[0].CeilingRate,
		"Plans.0.CeilingBurst": set.Plans[0].CeilingBurst,
		"MarksRetry":           set.ClientsMarkRetries,
		"MaxAttempts":          set.MaxAttempts,
		"MayCancel":            set.MayCancel,
		"MayProbe":             set.MayProbe,
		"MayTell":              set.GossipEnabled,
		"PeerInPerSec":         set.PeerMessagesPerSecond,
		"MaxRetryAfter":        set.MaxRetryAfter,
		"ReportFields":         set.LoadReportFields,
		"SizesKnown":           set.CapacitiesKnown,
		"PullList":             set.PollEndpoints,
		"DrainGrace":           set.DrainGrace,
		"ColdFrom":             set.SlowStartFraction,
		"WarmWithin":           set.SlowStartDuration,
		"FallMultiple":         set.OverloadMultiple,
		"FallWithin":           set.OverloadDuration,
	})
}

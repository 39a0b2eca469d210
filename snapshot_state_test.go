package lemongate

import (
	"fmt"
	"strings"
	"testing"

	"lemongate/internal/golden"
)

// decodeSnapshot decodes a snapshot that release 0.8.0 wrote, each field with a value of its own.
func decodeSnapshot(t *testing.T, data []byte) (snapshot, *Gateway) {
	t.Helper()
	var s snapshot
	if err := stateCodec.Unmarshal(data, &s); err != nil {
		t.Fatal(err)
	}
	g := &Gateway{}
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
			"running":                g.running,
			"classes.0.Name":         g.classes[0].Name,
			"classes.0.Effect":       g.classes[0].Effect,
			"classes.0.Group":        g.classes[0].Group,
			"classes.0.Window":       g.classes[0].Window,
			"classes.0.Aim":          g.classes[0].Aim,
			"classes.0.Deadline":     g.classes[0].Deadline,
			"classes.0.Worth":        g.classes[0].Worth,
			"classes.0.share":        g.classes[0].share,
			"classes.0.credit":       g.classes[0].credit,
			"classes.0.budgets":      g.classes[0].budgets,
			"classes.0.asked":        g.classes[0].asked,
			"classes.0.usual":        g.classes[0].usual,
			"classes.0.arrivals":     g.classes[0].arrivals,
			"classes.0.ended":        g.classes[0].ended,
			"classes.0.latency":      g.classes[0].latency,
			"classes.0.served":       g.classes[0].served,
			"classes.0.work":         g.classes[0].work,
			"classes.0.rate":         g.classes[0].rate,
			"classes.0.mean":         g.classes[0].mean,
			"classes.0.mean2":        g.classes[0].mean2,
			"classes.0.answers":      g.classes[0].answers,
			"classes.0.idle":         g.classes[0].idle,
			"known.text72.ID":        g.known["text72"].ID,
			"known.text72.Zone":      g.known["text72"].Zone,
			"known.text72.Cell":      g.known["text72"].Cell,
			"known.text72.State":     g.known["text72"].State,
			"known.text72.Size":      g.known["text72"].Size,
			"known.text72.Started":   g.known["text72"].Started,
			"known.text72.slope":     g.known["text72"].slope,
			"known.text72.answers":   g.known["text72"].answers,
			"known.text72.seen":      g.known["text72"].seen,
			"known.text72.fails":     g.known["text72"].fails,
			"known.text72.until":     g.known["text72"].until,
			"known.text72.doubts":    g.known["text72"].doubts,
			"known.text72.turned.84": g.known["text72"].turned[84],
			"known.text72.gone":      g.known["text72"].gone,
			"known.text72.left":      g.known["text72"].left,
			"known.text72.key":       g.known["text72"].key,
			"known.text72.load":      g.known["text72"].load,
			"known.text72.heard":     g.known["text72"].heard,
			"known.text72.told":      g.known["text72"].told,
			"known.text72.toldFails": g.known["text72"].toldFails,
			"known.text72.reported":  g.known["text72"].reported,
			"meanLoad":               g.meanLoad,
			"order.0.name":           g.order[0].name,
			"order.0.number":         g.order[0].number,
			"order.0.first":          g.order[0].first,
			"order.0.size":           g.order[0].size,
			"order.0.seen":           g.order[0].seen,
			"order.0.units":          g.order[0].units,
			"first":                  g.first,
			"left":                   g.left,
			"starting":               g.starting,
			"peers.729.number":       g.peers[729].number,
			"peers.729.epoch":        g.peers[729].epoch,
			"peers.729.known":        g.peers[729].known,
			"peers.729.seq":          g.peers[729].seq,
			"peers.729.sent":         g.peers[729].sent,
			"peers.729.due":          g.peers[729].due,
			"peers.729.paced":        g.peers[729].paced,
			"peers.729.waits":        g.peers[729].waits,
			"paced":                  g.paced,
			"pacedAll":               g.pacedAll,
			"nextNews":               g.nextNews,
			"alarm":                  g.alarm,
			"probes.amount":          g.probes.amount,
			"probes.at":              g.probes.at,
			"turned.beyond":          g.turned.Beyond,
			"turned.full":            g.turned.Full,
			"turned.held":            g.turned.Held,
			"turned.tried":           g.turned.Tried,
			"nextPeriod":             g.nextPeriod,
			"carry.amount":           g.carry.amount,
			"carry.at":               g.carry.at,
			"cold.amount":            g.cold.amount,
			"cold.at":                g.cold.at,
			"scale":                  g.scale,
			"strain":                 g.strain,
			"quotas":                 g.quotas,
			"typical":                g.typical,
			"bound":                  g.bound,
			"retryTokens":            g.retryTokens,
			"sendRate.rate":          g.sendRate.rate,
			"sendRate.at":            g.sendRate.at,
			"watch":                  g.watch,
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
		"Gateways":             set.Gateways,
		"Zone":                 set.Zone,
		"Tick":                 set.Tick,
		"Classes.0.Name":       set.Classes[0].Name,
		"Classes.0.Effect":     set.Classes[0].Effect,
		"Classes.0.Group":      set.Classes[0].Group,
		"Classes.0.Window":     set.Classes[0].Window,
		"Classes.0.Aim":        set.Classes[0].Aim,
		"Classes.0.Deadline":   set.Classes[0].Deadline,
		"Classes.0.Worth":      set.Classes[0].Worth,
		"Plans.0.Name":         set.Plans[0].Name,
		"Plans.0.Rate":         set.Plans[0].Rate,
		"Plans.0.Burst":        set.Plans[0].Burst,
		"Plans.0.Open":         set.Plans[0].Open,
		"Plans.0.Price":        set.Plans[0].Price,
		"Plans.0.Excess":       set.Plans[0].Excess,
		"Plans.0.Over":         set.Plans[0].Over,
		"Plans.0.CeilingRate":  set.Plans[0].CeilingRate,
		"Plans.0.CeilingBurst": set.Plans[0].CeilingBurst,
		"MarksRetry":           set.MarksRetry,
		"MaxAttempts":          set.MaxAttempts,
		"MayCancel":            set.MayCancel,
		"MayProbe":             set.MayProbe,
		"MayTell":              set.MayTell,
		"PeerInPerSec":         set.PeerInPerSec,
		"MaxRetryAfter":        set.MaxRetryAfter,
		"ReportFields":         set.ReportFields,
		"SizesKnown":           set.SizesKnown,
		"PullList":             set.PullList,
		"DrainGrace":           set.DrainGrace,
		"ColdFrom":             set.ColdFrom,
		"WarmWithin":           set.WarmWithin,
		"FallMultiple":         set.FallMultiple,
		"FallWithin":           set.FallWithin,
	})
}

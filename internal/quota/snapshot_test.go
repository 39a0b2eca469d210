package quota

import (
	"fmt"
	"strings"
	"testing"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/golden"
)

// Each field of a ledger that release 0.8.0 stored is decoded into the live field from which it was written,
// and encoded again to the same bytes.
func TestLedgerOfEarlierRelease(t *testing.T) {
	codec := jsoniter.Config{SortMapKeys: true, CaseSensitive: true}.Froze()
	for pattern := range golden.Patterns {
		name := fmt.Sprintf("ledger/ledger-%d.json", pattern)
		data := golden.Read(t, name)
		var state LedgerState
		if err := codec.Unmarshal(data, &state); err != nil {
			t.Fatal(err)
		}
		l := state.restore()
		got, err := codec.Marshal(l.State())
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, name, got)
		fields := map[string]string{}
		for path, text := range golden.Fields(t, data) {
			fields[strings.TrimPrefix(path, "ledger.")] = text
		}
		golden.Match(t, fields, map[string]any{
			"Count.asks":                                   l.Counts.RequestsSent,
			"Count.answers":                                l.Counts.GrantsSent,
			"Count.got":                                    l.Counts.UnitsReceived,
			"Count.moved":                                  l.Counts.UnitsSent,
			"Count.unheard":                                l.Counts.UnitsUnacknowledged,
			"Count.reclaimed":                              l.Counts.RateReclaimed,
			"Count.strayed":                                l.Counts.UnitsRecovered,
			"Count.on_chance":                              l.Counts.AdmittedWithoutGrant,
			"Count.waited":                                 l.Counts.Waited,
			"Count.accounts":                               l.Counts.Accounts,
			"Count.standing":                               l.Counts.StartState,
			"Count.silent":                                 l.Counts.SilentPeers,
			"Count.dead":                                   l.Counts.PeersDeclaredDead,
			"standing":                                     l.startState,
			"born":                                         l.startedAt,
			"now":                                          l.lastMessageAt,
			"total.rate":                                   l.totalDemand.PerSecond,
			"total.at":                                     l.totalDemand.UpdatedAt,
			"mean":                                         l.meanDemand,
			"spread":                                       l.demandVariance,
			"looks":                                        l.ticks,
			"accounts.137.0.Hash":                          l.accounts[137][0].CustomerHash,
			"accounts.137.0.Plan":                          l.accounts[137][0].PlanIndex,
			"accounts.137.0.Open":                          l.accounts[137][0].SlotsInUse,
			"accounts.137.0.Gone":                          l.accounts[137][0].Evicted,
			"accounts.137.0.first":                         l.accounts[137][0].firstLimiter,
			"accounts.137.0.size":                          l.accounts[137][0].setSize,
			"accounts.137.0.part":                          l.accounts[137][0].baseFraction,
			"accounts.137.0.even":                          l.accounts[137][0].evenFraction,
			"accounts.137.0.roof":                          l.accounts[137][0].ceilingFraction,
			"accounts.137.0.homes":                         l.accounts[137][0].owners,
			"accounts.137.0.mine":                          l.accounts[137][0].ownerRank,
			"accounts.137.0.view.known":                    l.accounts[137][0].ownerView.known,
			"accounts.137.0.view.level":                    l.accounts[137][0].ownerView.level,
			"accounts.137.0.view.demand":                   l.accounts[137][0].ownerView.demand,
			"accounts.137.0.view.at":                       l.accounts[137][0].ownerView.receivedAt,
			"accounts.137.0.credit.amount":                 l.accounts[137][0].credit.Amount,
			"accounts.137.0.credit.at":                     l.accounts[137][0].credit.UpdatedAt,
			"accounts.137.0.debt":                          l.accounts[137][0].unreportedUnits,
			"accounts.137.0.unasked":                       l.accounts[137][0].unreportedDemand,
			"accounts.137.0.thin":                          l.accounts[137][0].transferAllowance,
			"accounts.137.0.asked":                         l.accounts[137][0].transferOutstanding,
			"accounts.137.0.word":                          l.accounts[137][0].ownerDecision,
			"accounts.137.0.hinted":                        l.accounts[137][0].levelHintReceived,
			"accounts.137.0.granted":                       l.accounts[137][0].lastGrantAt,
			"accounts.137.0.flying.0.units":                l.accounts[137][0].ceilingInTransit[0].units,
			"accounts.137.0.flying.0.until":                l.accounts[137][0].ceilingInTransit[0].arrivesBy,
			"accounts.137.0.aloft":                         l.accounts[137][0].ceilingUnitsInTransit,
			"accounts.137.0.places":                        l.accounts[137][0].baseSlots,
			"accounts.137.0.lenders":                       l.accounts[137][0].lenders,
			"accounts.137.0.at":                            l.accounts[137][0].advancedTo,
			"accounts.137.0.seen":                          l.accounts[137][0].lastSeen,
			"accounts.137.0.quota":                         l.accounts[137][0].quotaLevel,
			"accounts.137.0.ceiling":                       l.accounts[137][0].ceilingLevel,
			"accounts.137.0.doubt":                         l.accounts[137][0].unresolvedUnits,
			"accounts.137.0.held":                          l.accounts[137][0].reservedUnits,
			"accounts.137.0.largest":                       l.accounts[137][0].largestRequest,
			"accounts.137.0.taken":                         l.accounts[137][0].admittedWhileUnresolved,
			"accounts.137.0.demand.rate":                   l.accounts[137][0].demand.PerSecond,
			"accounts.137.0.demand.at":                     l.accounts[137][0].demand.UpdatedAt,
			"accounts.137.0.links.0.peer":                  l.accounts[137][0].links[0].peerID,
			"accounts.137.0.links.0.epoch":                 l.accounts[137][0].links[0].epoch,
			"accounts.137.0.links.0.pending":               l.accounts[137][0].links[0].pending,
			"accounts.137.0.links.0.nonce":                 l.accounts[137][0].links[0].nonce,
			"accounts.137.0.links.0.since":                 l.accounts[137][0].links[0].requestedAt,
			"accounts.137.0.links.0.told":                  l.accounts[137][0].links[0].lastSentAt,
			"accounts.137.0.links.0.queued":                l.accounts[137][0].links[0].queued,
			"accounts.137.0.links.0.want":                  l.accounts[137][0].links[0].quotaWanted,
			"accounts.137.0.links.0.over":                  l.accounts[137][0].links[0].ceilingWanted,
			"accounts.137.0.links.0.wantTo":                l.accounts[137][0].links[0].slotsWanted,
			"accounts.137.0.links.0.rest":                  l.accounts[137][0].links[0].nextTransferRequestAt,
			"accounts.137.0.links.0.got.share":             l.accounts[137][0].links[0].borrowed.share,
			"accounts.137.0.links.0.got.places":            l.accounts[137][0].links[0].borrowed.slots,
			"accounts.137.0.links.0.got.until":             l.accounts[137][0].links[0].borrowed.expiresAt,
			"accounts.137.0.links.0.out.0.share":           l.accounts[137][0].links[0].lent[0].share,
			"accounts.137.0.links.0.out.0.places":          l.accounts[137][0].links[0].lent[0].slots,
			"accounts.137.0.links.0.out.0.until":           l.accounts[137][0].links[0].lent[0].expiresAt,
			"accounts.137.0.links.0.out.0.nonce":           l.accounts[137][0].links[0].lent[0].nonce,
			"accounts.137.0.links.0.out.0.units":           l.accounts[137][0].links[0].lent[0].quotaUnits,
			"accounts.137.0.links.0.out.0.over":            l.accounts[137][0].links[0].lent[0].ceilingUnits,
			"accounts.137.0.links.0.out.0.settled":         l.accounts[137][0].links[0].lent[0].deliveredBy,
			"accounts.137.0.links.0.out.0.answer.Customer": l.accounts[137][0].links[0].lent[0].message.Customer,
			"accounts.137.0.links.0.out.0.answer.Nonce":    l.accounts[137][0].links[0].lent[0].message.Nonce,
			"accounts.137.0.links.0.out.0.answer.Units":    l.accounts[137][0].links[0].lent[0].message.QuotaUnits,
			"accounts.137.0.links.0.out.0.answer.Over":     l.accounts[137][0].links[0].lent[0].message.CeilingUnits,
			"accounts.137.0.links.0.out.0.answer.Drawn":    l.accounts[137][0].links[0].lent[0].message.Consumed,
			"accounts.137.0.links.0.out.0.answer.Share":    l.accounts[137][0].links[0].lent[0].message.Share,
			"accounts.137.0.links.0.out.0.answer.Level":    l.accounts[137][0].links[0].lent[0].message.Level,
			"accounts.137.0.links.0.out.0.answer.Demand":   l.accounts[137][0].links[0].lent[0].message.Demand,
			"accounts.137.0.links.0.out.0.answer.Places":   l.accounts[137][0].links[0].lent[0].message.Slots,
			"accounts.137.0.links.0.out.0.answer.Whole":    l.accounts[137][0].links[0].lent[0].message.TotalLevel,
			"accounts.137.0.links.0.answer.Customer":       l.accounts[137][0].links[0].lastGrant.Customer,
			"accounts.137.0.links.0.answer.Nonce":          l.accounts[137][0].links[0].lastGrant.Nonce,
			"accounts.137.0.links.0.answer.Units":          l.accounts[137][0].links[0].lastGrant.QuotaUnits,
			"accounts.137.0.links.0.answer.Over":           l.accounts[137][0].links[0].lastGrant.CeilingUnits,
			"accounts.137.0.links.0.answer.Drawn":          l.accounts[137][0].links[0].lastGrant.Consumed,
			"accounts.137.0.links.0.answer.Share":          l.accounts[137][0].links[0].lastGrant.Share,
			"accounts.137.0.links.0.answer.Level":          l.accounts[137][0].links[0].lastGrant.Level,
			"accounts.137.0.links.0.answer.Demand":         l.accounts[137][0].links[0].lastGrant.Demand,
			"accounts.137.0.links.0.answer.Places":         l.accounts[137][0].links[0].lastGrant.Slots,
			"accounts.137.0.links.0.answer.Whole":          l.accounts[137][0].links[0].lastGrant.TotalLevel,
			"accounts.137.0.links.0.leant":                 l.accounts[137][0].links[0].ceilingBorrowedUntil,
			"accounts.137.0.links.0.extra":                 l.accounts[137][0].links[0].demandToReport,
			"accounts.137.0.links.0.known":                 l.accounts[137][0].links[0].known,
			"accounts.137.0.links.0.heir":                  l.accounts[137][0].links[0].recovered,
			"accounts.137.0.links.0.reborn":                l.accounts[137][0].links[0].restarted,
			"accounts.137.0.links.0.level":                 l.accounts[137][0].links[0].level,
			"accounts.137.0.links.0.drawn":                 l.accounts[137][0].links[0].consumed,
			"accounts.137.0.links.0.asks":                  l.accounts[137][0].links[0].demand,
			"accounts.137.0.links.0.heard":                 l.accounts[137][0].links[0].reportedAt,
			"accounts.137.0.links.0.needed":                l.accounts[137][0].links[0].returnDue,
			"accounts.137.0.drawn":                         l.accounts[137][0].consumed,
			"accounts.137.0.whole":                         l.accounts[137][0].totalLevel,
			"accounts.137.0.wholly":                        l.accounts[137][0].totalKnown,
			"accounts.137.0.fresh":                         l.accounts[137][0].startedFull,
			"accounts.137.0.strays":                        l.accounts[137][0].unallocatedUnits,
			"accounts.137.0.views":                         l.accounts[137][0].unallocatedReports,
			"accounts.137.0.since":                         l.accounts[137][0].unallocatedSince,
			"swept":                                        l.sweepIndex,
			"peers.680.epoch":                              l.peers[680].epoch,
			"peers.680.known":                              l.peers[680].known,
			"peers.680.acked":                              l.peers[680].acked,
			"peers.680.ackedAt":                            l.peers[680].ackedAt,
			"peers.680.heard":                              l.peers[680].lastReceivedAt,
			"peers.680.silentUntil":                        l.peers[680].silentUntil,
			"peers.680.missed":                             l.peers[680].unresponsive,
			"peers.680.dead":                               l.peers[680].dead,
			"peers.680.answers.0.Customer":                 l.peers[680].queuedGrants[0].Customer,
			"peers.680.answers.0.Nonce":                    l.peers[680].queuedGrants[0].Nonce,
			"peers.680.answers.0.Units":                    l.peers[680].queuedGrants[0].QuotaUnits,
			"peers.680.answers.0.Over":                     l.peers[680].queuedGrants[0].CeilingUnits,
			"peers.680.answers.0.Drawn":                    l.peers[680].queuedGrants[0].Consumed,
			"peers.680.answers.0.Share":                    l.peers[680].queuedGrants[0].Share,
			"peers.680.answers.0.Level":                    l.peers[680].queuedGrants[0].Level,
			"peers.680.answers.0.Demand":                   l.peers[680].queuedGrants[0].Demand,
			"peers.680.answers.0.Places":                   l.peers[680].queuedGrants[0].Slots,
			"peers.680.answers.0.Whole":                    l.peers[680].queuedGrants[0].TotalLevel,
			"peers.680.waiting":                            l.peers[680].queuedForSend,
			"nonce":                                        l.lastNonce,
			"hotAt":                                        l.hotCursor,
			"ready":                                        l.readyPeers,
		})
	}
}

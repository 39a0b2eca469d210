package quota

import (
	"fmt"
	"strings"
	"testing"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/golden"
)

// Each field of a ledger that release 0.8.0 stored is decoded into the live field that it was
// written from, and encoded again to the same bytes.
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
			"Count.asks":                                   l.Count.Asks,
			"Count.answers":                                l.Count.Answers,
			"Count.got":                                    l.Count.Got,
			"Count.moved":                                  l.Count.Moved,
			"Count.unheard":                                l.Count.Unheard,
			"Count.reclaimed":                              l.Count.Reclaimed,
			"Count.strayed":                                l.Count.Strayed,
			"Count.on_chance":                              l.Count.OnChance,
			"Count.waited":                                 l.Count.Waited,
			"Count.accounts":                               l.Count.Accounts,
			"Count.standing":                               l.Count.Standing,
			"Count.silent":                                 l.Count.Silent,
			"Count.dead":                                   l.Count.Dead,
			"standing":                                     l.standing,
			"born":                                         l.born,
			"now":                                          l.now,
			"total.rate":                                   l.total.rate,
			"total.at":                                     l.total.at,
			"mean":                                         l.mean,
			"spread":                                       l.spread,
			"looks":                                        l.looks,
			"accounts.137.0.Hash":                          l.accounts[137][0].Hash,
			"accounts.137.0.Plan":                          l.accounts[137][0].Plan,
			"accounts.137.0.Open":                          l.accounts[137][0].Open,
			"accounts.137.0.Gone":                          l.accounts[137][0].Gone,
			"accounts.137.0.first":                         l.accounts[137][0].first,
			"accounts.137.0.size":                          l.accounts[137][0].size,
			"accounts.137.0.part":                          l.accounts[137][0].part,
			"accounts.137.0.even":                          l.accounts[137][0].even,
			"accounts.137.0.roof":                          l.accounts[137][0].roof,
			"accounts.137.0.homes":                         l.accounts[137][0].homes,
			"accounts.137.0.mine":                          l.accounts[137][0].mine,
			"accounts.137.0.view.known":                    l.accounts[137][0].view.known,
			"accounts.137.0.view.level":                    l.accounts[137][0].view.level,
			"accounts.137.0.view.demand":                   l.accounts[137][0].view.demand,
			"accounts.137.0.view.at":                       l.accounts[137][0].view.at,
			"accounts.137.0.credit.amount":                 l.accounts[137][0].credit.amount,
			"accounts.137.0.credit.at":                     l.accounts[137][0].credit.at,
			"accounts.137.0.debt":                          l.accounts[137][0].debt,
			"accounts.137.0.unasked":                       l.accounts[137][0].unasked,
			"accounts.137.0.thin":                          l.accounts[137][0].thin,
			"accounts.137.0.asked":                         l.accounts[137][0].asked,
			"accounts.137.0.word":                          l.accounts[137][0].word,
			"accounts.137.0.hinted":                        l.accounts[137][0].hinted,
			"accounts.137.0.granted":                       l.accounts[137][0].granted,
			"accounts.137.0.flying.0.units":                l.accounts[137][0].flying[0].units,
			"accounts.137.0.flying.0.until":                l.accounts[137][0].flying[0].until,
			"accounts.137.0.aloft":                         l.accounts[137][0].aloft,
			"accounts.137.0.places":                        l.accounts[137][0].places,
			"accounts.137.0.lenders":                       l.accounts[137][0].lenders,
			"accounts.137.0.at":                            l.accounts[137][0].at,
			"accounts.137.0.seen":                          l.accounts[137][0].seen,
			"accounts.137.0.quota":                         l.accounts[137][0].quota,
			"accounts.137.0.ceiling":                       l.accounts[137][0].ceiling,
			"accounts.137.0.doubt":                         l.accounts[137][0].doubt,
			"accounts.137.0.held":                          l.accounts[137][0].held,
			"accounts.137.0.largest":                       l.accounts[137][0].largest,
			"accounts.137.0.taken":                         l.accounts[137][0].taken,
			"accounts.137.0.demand.rate":                   l.accounts[137][0].demand.rate,
			"accounts.137.0.demand.at":                     l.accounts[137][0].demand.at,
			"accounts.137.0.links.0.peer":                  l.accounts[137][0].links[0].peer,
			"accounts.137.0.links.0.epoch":                 l.accounts[137][0].links[0].epoch,
			"accounts.137.0.links.0.pending":               l.accounts[137][0].links[0].pending,
			"accounts.137.0.links.0.nonce":                 l.accounts[137][0].links[0].nonce,
			"accounts.137.0.links.0.since":                 l.accounts[137][0].links[0].since,
			"accounts.137.0.links.0.told":                  l.accounts[137][0].links[0].told,
			"accounts.137.0.links.0.queued":                l.accounts[137][0].links[0].queued,
			"accounts.137.0.links.0.want":                  l.accounts[137][0].links[0].want,
			"accounts.137.0.links.0.over":                  l.accounts[137][0].links[0].over,
			"accounts.137.0.links.0.wantTo":                l.accounts[137][0].links[0].wantTo,
			"accounts.137.0.links.0.rest":                  l.accounts[137][0].links[0].rest,
			"accounts.137.0.links.0.got.share":             l.accounts[137][0].links[0].got.share,
			"accounts.137.0.links.0.got.places":            l.accounts[137][0].links[0].got.places,
			"accounts.137.0.links.0.got.until":             l.accounts[137][0].links[0].got.until,
			"accounts.137.0.links.0.out.0.share":           l.accounts[137][0].links[0].out[0].share,
			"accounts.137.0.links.0.out.0.places":          l.accounts[137][0].links[0].out[0].places,
			"accounts.137.0.links.0.out.0.until":           l.accounts[137][0].links[0].out[0].until,
			"accounts.137.0.links.0.out.0.nonce":           l.accounts[137][0].links[0].out[0].nonce,
			"accounts.137.0.links.0.out.0.units":           l.accounts[137][0].links[0].out[0].units,
			"accounts.137.0.links.0.out.0.over":            l.accounts[137][0].links[0].out[0].over,
			"accounts.137.0.links.0.out.0.settled":         l.accounts[137][0].links[0].out[0].settled,
			"accounts.137.0.links.0.out.0.answer.Customer": l.accounts[137][0].links[0].out[0].answer.Customer,
			"accounts.137.0.links.0.out.0.answer.Nonce":    l.accounts[137][0].links[0].out[0].answer.Nonce,
			"accounts.137.0.links.0.out.0.answer.Units":    l.accounts[137][0].links[0].out[0].answer.Units,
			"accounts.137.0.links.0.out.0.answer.Over":     l.accounts[137][0].links[0].out[0].answer.Over,
			"accounts.137.0.links.0.out.0.answer.Drawn":    l.accounts[137][0].links[0].out[0].answer.Drawn,
			"accounts.137.0.links.0.out.0.answer.Share":    l.accounts[137][0].links[0].out[0].answer.Share,
			"accounts.137.0.links.0.out.0.answer.Level":    l.accounts[137][0].links[0].out[0].answer.Level,
			"accounts.137.0.links.0.out.0.answer.Demand":   l.accounts[137][0].links[0].out[0].answer.Demand,
			"accounts.137.0.links.0.out.0.answer.Places":   l.accounts[137][0].links[0].out[0].answer.Places,
			"accounts.137.0.links.0.out.0.answer.Whole":    l.accounts[137][0].links[0].out[0].answer.Whole,
			"accounts.137.0.links.0.answer.Customer":       l.accounts[137][0].links[0].answer.Customer,
			"accounts.137.0.links.0.answer.Nonce":          l.accounts[137][0].links[0].answer.Nonce,
			"accounts.137.0.links.0.answer.Units":          l.accounts[137][0].links[0].answer.Units,
			"accounts.137.0.links.0.answer.Over":           l.accounts[137][0].links[0].answer.Over,
			"accounts.137.0.links.0.answer.Drawn":          l.accounts[137][0].links[0].answer.Drawn,
			"accounts.137.0.links.0.answer.Share":          l.accounts[137][0].links[0].answer.Share,
			"accounts.137.0.links.0.answer.Level":          l.accounts[137][0].links[0].answer.Level,
			"accounts.137.0.links.0.answer.Demand":         l.accounts[137][0].links[0].answer.Demand,
			"accounts.137.0.links.0.answer.Places":         l.accounts[137][0].links[0].answer.Places,
			"accounts.137.0.links.0.answer.Whole":          l.accounts[137][0].links[0].answer.Whole,
			"accounts.137.0.links.0.leant":                 l.accounts[137][0].links[0].leant,
			"accounts.137.0.links.0.extra":                 l.accounts[137][0].links[0].extra,
			"accounts.137.0.links.0.known":                 l.accounts[137][0].links[0].known,
			"accounts.137.0.links.0.heir":                  l.accounts[137][0].links[0].heir,
			"accounts.137.0.links.0.reborn":                l.accounts[137][0].links[0].reborn,
			"accounts.137.0.links.0.level":                 l.accounts[137][0].links[0].level,
			"accounts.137.0.links.0.drawn":                 l.accounts[137][0].links[0].drawn,
			"accounts.137.0.links.0.asks":                  l.accounts[137][0].links[0].asks,
			"accounts.137.0.links.0.heard":                 l.accounts[137][0].links[0].heard,
			"accounts.137.0.links.0.needed":                l.accounts[137][0].links[0].needed,
			"accounts.137.0.drawn":                         l.accounts[137][0].drawn,
			"accounts.137.0.whole":                         l.accounts[137][0].whole,
			"accounts.137.0.wholly":                        l.accounts[137][0].wholly,
			"accounts.137.0.fresh":                         l.accounts[137][0].fresh,
			"accounts.137.0.strays":                        l.accounts[137][0].strays,
			"accounts.137.0.views":                         l.accounts[137][0].views,
			"accounts.137.0.since":                         l.accounts[137][0].since,
			"swept":                                        l.swept,
			"peers.680.epoch":                              l.peers[680].epoch,
			"peers.680.known":                              l.peers[680].known,
			"peers.680.acked":                              l.peers[680].acked,
			"peers.680.ackedAt":                            l.peers[680].ackedAt,
			"peers.680.heard":                              l.peers[680].heard,
			"peers.680.silentUntil":                        l.peers[680].silentUntil,
			"peers.680.missed":                             l.peers[680].missed,
			"peers.680.dead":                               l.peers[680].dead,
			"peers.680.answers.0.Customer":                 l.peers[680].answers[0].Customer,
			"peers.680.answers.0.Nonce":                    l.peers[680].answers[0].Nonce,
			"peers.680.answers.0.Units":                    l.peers[680].answers[0].Units,
			"peers.680.answers.0.Over":                     l.peers[680].answers[0].Over,
			"peers.680.answers.0.Drawn":                    l.peers[680].answers[0].Drawn,
			"peers.680.answers.0.Share":                    l.peers[680].answers[0].Share,
			"peers.680.answers.0.Level":                    l.peers[680].answers[0].Level,
			"peers.680.answers.0.Demand":                   l.peers[680].answers[0].Demand,
			"peers.680.answers.0.Places":                   l.peers[680].answers[0].Places,
			"peers.680.answers.0.Whole":                    l.peers[680].answers[0].Whole,
			"peers.680.waiting":                            l.peers[680].waiting,
			"nonce":                                        l.nonce,
			"hotAt":                                        l.hotAt,
			"ready":                                        l.ready,
		})
	}
}

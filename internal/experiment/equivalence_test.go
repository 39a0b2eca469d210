package experiment

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"maps"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/golden"
	"lemongate/internal/simulation"
)

// equivalenceSeed is the seed of the recorded runs.
const equivalenceSeed = 3

// recordedExperiments are the experiments whose runs are recorded, and how many seconds of each run: long enough to
// include the first faults, if they come early enough. The other experiments take minutes, run on processes, or repeat
// these.
var recordedExperiments = []struct {
	name    string
	seconds float64
}{
	{"empty-start", 14}, {"rejoin", 16}, {"upgrade", 9}, {"lease", 25}, {"rollup", 20}, {"walk", 22}, {"zone-loss", 8},
}

// largeTierSeconds is how many seconds are recorded of a run with 80 limiters or more.
const largeTierSeconds = 2

// Every limiter of every case of the recorded experiments handles the same events and returns the same effects as in the
// recorded release. Each decision influences the later events of its run, so one decision that differs changes all that
// comes after it. The digest contains the kinds and values of events and effects, but no name of a type or field, and no
// text for people.
func TestSameDecisionsAsEarlierRelease(t *testing.T) {
	type run struct {
		name     string
		scenario simulation.Scenario
		line     string
	}
	var runs []*run
	for _, r := range recordedExperiments {
		data, err := os.ReadFile(filepath.Join("../../experiments", r.name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		x, err := Parse(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range x.Cases {
			sc, err := x.scenario(c)
			if err != nil {
				t.Fatal(err)
			}
			sc.Seconds = r.seconds
			if sc.Limiters >= 80 {
				sc.Seconds = largeTierSeconds
			}
			runs = append(runs, &run{name: r.name + ": " + c.Name, scenario: x.withShiftedFaults(sc, equivalenceSeed)})
		}
	}
	var wait sync.WaitGroup
	for _, r := range runs {
		wait.Go(func() {
			d := newDigest()
			simulation.RunObserved(r.scenario, equivalenceSeed, d.observe)
			r.line = fmt.Sprintf("%s: %d events, %d effects, %016x", r.name, d.events, d.effects, d.hash.Sum64())
		})
	}
	wait.Wait()
	var b strings.Builder
	for _, r := range runs {
		b.WriteString(r.line + "\n")
	}
	golden.Equal(t, "decisions.txt", []byte(b.String()))
}

// digest is a hash of the events and effects of a run.
type digest struct {
	hash            hash.Hash64
	events, effects int
}

func newDigest() *digest { return &digest{hash: fnv.New64a()} }

func (d *digest) observe(limiter int, now time.Duration, ev core.Event, effects []core.Effect) {
	d.events++
	d.addNumber(uint64(limiter))
	d.addNumber(uint64(now))
	if ev != nil {
		d.addNumber(uint64(eventKind(ev)))
		d.addValue(reflect.ValueOf(ev))
	}
	for _, e := range effects {
		if _, isText := e.(core.Log); isText {
			continue
		}
		d.effects++
		d.addNumber(uint64(effectKind(e)))
		d.addValue(reflect.ValueOf(e))
	}
}

func (d *digest) addNumber(v uint64) {
	d.hash.Write(binary.BigEndian.AppendUint64(nil, v))
}

// addValue adds all fields of a value in their order, except values that the core passes through without reading them,
// and texts for people.
func (d *digest) addValue(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			d.addNumber(1)
		} else {
			d.addNumber(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		d.addNumber(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		d.addNumber(v.Uint())
	case reflect.Float64:
		d.addNumber(math.Float64bits(v.Float()))
	case reflect.String:
		d.addNumber(uint64(v.Len()))
		d.hash.Write([]byte(v.String()))
	case reflect.Pointer:
		if v.IsNil() {
			d.addNumber(0)
			return
		}
		d.addValue(v.Elem())
	case reflect.Slice, reflect.Array:
		d.addNumber(uint64(v.Len()))
		for i := range v.Len() {
			d.addValue(v.Index(i))
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, key := range keys {
			d.addValue(key)
			d.addValue(v.MapIndex(key))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if !textFields[v.Type().Field(i).Name] {
				d.addValue(v.Field(i))
			}
		}
	case reflect.Interface: // message contents and links, which the core passes through without reading them
	default:
		panic(fmt.Sprintf("cannot digest a value of kind %v", v.Kind()))
	}
}

// textFields are the names of the fields that hold text for people.
var textFields = map[string]bool{"Why": true, "Reason": true}

var (
	eventKinds  = typeNumbers(events)
	effectKinds = typeNumbers(effects)
)

func typeNumbers[T any](list []T) map[reflect.Type]int {
	numbers := map[reflect.Type]int{}
	for i, e := range list {
		numbers[reflect.TypeOf(e)] = i + 1
	}
	return numbers
}

func eventKind(ev core.Event) int { return kindOf(eventKinds, ev) }

func effectKind(e core.Effect) int { return kindOf(effectKinds, e) }

func kindOf(numbers map[reflect.Type]int, x any) int {
	number, ok := numbers[reflect.TypeOf(x)]
	if !ok {
		panic(fmt.Sprintf("the type %T has no number in the digest; the types that have one are %v", x, slices.Collect(maps.Keys(numbers))))
	}
	return number
}

// events and effects list the types that the digest numbers by their positions here. Positions must not change.
var (
	events = []core.Event{
		&core.RequestReceived{}, &core.ClientDisconnected{}, core.RequestMalformed{}, &core.ClientConnClosed{}, &core.AttemptFinished{},
		&core.ProbeFinished{}, &core.EndpointsUpdated{}, &core.PeerMessageReceived{}, core.TimerFired{}, core.ReloadRequested{},
		&core.ConfigReloaded{}, core.ShutdownRequested{}, core.ServerClosed{}, &core.SuccessorConnected{}, &core.LinkMessageReceived{},
		core.LinkClosed{}, &core.PredecessorAttemptStarted{}, &core.PredecessorAttemptFinished{}, &core.ForwardedRequestReceived{}, core.ForwardedRequestCanceled{},
		&core.ForwardedResponseReceived{}, core.UsageWritten{}, core.RestartSlotRequested{}, core.RestartSlotReleased{},
		core.InheritedUsageSent{},
	}
	effects = []core.Effect{
		core.StartAttempt{}, core.CancelAttempt{}, core.WithdrawAttempt{}, core.Respond{}, core.ProbeBackend{},
		core.CloseBackendConns{}, core.SendToPeer{}, core.SetTimer{}, core.SetReady{}, core.DrainClientConns{},
		core.CloseServer{}, core.ReloadConfig{}, core.WatchEndpoints{}, core.Exit{}, core.Log{}, core.ConnectPredecessor{},
		core.AcceptSuccessor{}, core.DenySuccessor{}, core.SendLinkMessage{}, core.TransferState{}, core.CloseLink{},
		core.KillOtherProcess{}, core.ReportAttemptStarted{}, core.ReportAttemptFinished{}, core.ForwardRequest{}, core.CancelForwardedRequest{},
		core.SendForwardedResponse{}, core.OpenListeners{}, core.AdoptSockets{}, core.PauseListeners{}, core.ResumeListeners{},
		core.MoveClientConns{}, core.SetAcceptingClients{}, core.SetResourceFraction{}, core.ListenForSuccessors{}, core.Abort{},
		core.PublishMetrics{}, core.WriteUsage{}, core.ReportInheritedUsageSent{},
	}
)

// Package eventloop runs the program: one goroutine feeds the reducer with what the
// edges post and has them carry out its effects.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lemongate/internal/admin"
	"lemongate/internal/config"
	"lemongate/internal/core"
	"lemongate/internal/discovery"
	"lemongate/internal/httpserver"
	"lemongate/internal/peertransport"
	"lemongate/internal/upstream"
)

const (
	inbox = 1024 // events that may wait; edges wait beyond that

	// Parts of the socket limit. The rest is for discovery, peers, files, and
	// what is closed here but not yet forgotten by the system.
	frontPart, fetchPart = 0.5, 0.25
	sparesLeast          = 4
	sparesPart           = 1.0 / 64 // spare connections kept per backend
	// Spare connections that all limiters together keep at a backend, where one each is
	// not more: it holds only so many, and tells nobody how many.
	sparesTier = 128

	addressWithin = 20 * time.Second // for a process that ends to give the address up
	addressEvery  = 20 * time.Millisecond
)

// spares is how many spare connections a limiter keeps per backend.
func spares(sockets float64, tier int) int {
	own := max(int(sockets*sparesPart), sparesLeast)
	return max(min(own, sparesTier/max(tier, 1)), 1)
}

// A Clock tells the time since its zero.
type Clock struct {
	zero time.Time
	from time.Time // when it was set
	rate float64   // how fast it runs since
}

// NewClock starts a clock that stood at zero long enough ago for every start
// of a backend that still matters to be after it. It runs at a rate, which is
// other than 1 in the lab alone.
func NewClock(rate float64) Clock { return clockAt(time.Hour, rate) }

// clockAt starts a clock that tells a time now: another process's.
func clockAt(now time.Duration, rate float64) Clock {
	from := time.Now()
	return Clock{zero: from.Add(-now), from: from, rate: rate}
}

// Zero is when the clock stood at zero.
func (c Clock) Zero() time.Time { return c.zero }

// Now tells the time; it never goes back.
func (c Clock) Now() time.Duration {
	return c.from.Sub(c.zero) + time.Duration(float64(time.Since(c.from))*c.rate)
}

// Until is how long to wait for a time, in real time.
func (c Clock) Until(at time.Duration) time.Duration {
	return time.Duration(float64(at-c.Now()) / c.rate)
}

// A Loop is the running program.
type Loop struct {
	conf     *config.Config
	clock    Clock
	log      *zap.Logger
	events   chan core.Event
	done     chan struct{}
	reducer  *core.Machine
	front    *httpserver.Server
	fetches  *upstream.Client
	peers    *peertransport.Transport // nil where there are none
	listener net.Listener
	serving  chan struct{} // closed once front is there
	watcher  *discovery.Watcher
	console  *admin.Server // nil where none is wanted
	load     func() (*config.Config, error)
	timer    *time.Timer
	exit     bool
	failed   chan error // why the program cannot go on
	ctx      context.Context
	cancel   context.CancelFunc
	edges    sync.WaitGroup
	share    func(part float64)
	kin      kin
	wall     atomic.Pointer[Clock] // the clock, for those beside the loop
}

// Controls tell a running program what to do, by a value from a channel.
type Controls struct {
	Dump   <-chan os.Signal // prints the counters
	Stop   <-chan os.Signal // begins the way out
	Reload <-chan os.Signal // has the configuration read again by Load
	Load   func() (*config.Config, error)
	Share  func(part float64) // holds the program to a part of the platform's limits; may be nil
}

// Run serves until it is told to stop and has answered what it had taken, and
// returns an error if it could not.
func Run(c *config.Config, clock Clock, log *zap.Logger, controls Controls) error {
	n := &Loop{
		conf: c, load: controls.Load, clock: clock, log: log, events: make(chan core.Event, inbox), done: make(chan struct{}),
		timer: time.NewTimer(time.Hour), failed: make(chan error, 4), share: controls.Share, serving: make(chan struct{}),
	}
	n.wall.Store(&clock)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	defer n.close()
	n.open()
	for !n.exit {
		select {
		case ev := <-n.events:
			n.step(ev)
			n.drain()
		case <-n.timer.C:
			n.step(core.TimerFired{})
		case <-controls.Dump:
			n.dump()
		case <-controls.Stop:
			n.step(core.ShutdownRequested{})
		case <-controls.Reload:
			n.step(core.ReloadRequested{})
		case err := <-n.failed:
			return err
		}
	}
	n.dump()
	return nil
}

// open starts the edges that need no client, backend or peer yet, and the reducer, which says
// what is to be opened next: all that there is, or a process to take over from.
func (n *Loop) open() {
	c := n.conf
	n.fetches = upstream.New(upstream.Options{
		ConnectTimeout: c.Settings.ConnectTimeout, IdleClose: c.Settings.IdleClose,
		LoadReportFields: c.Settings.LoadReportFields, MaxIdlePerBackend: spares(float64(c.Limits.Sockets), c.Settings.Limiters),
		MaxConns: int(float64(c.Limits.Sockets) * fetchPart), Post: n.post, Now: n.since,
	})
	if c.Console != "" {
		n.console = admin.New(n.fetches.AttemptsWritten, n.post, n.log)
		go n.console.Serve(c.Console)
	}
	var effects []core.Effect
	n.reducer, effects = core.New(n.clock.Now(), c.Core())
	n.carryOut(effects)
}

// start opens the sockets that the configuration names.
func (n *Loop) start(wait bool) error {
	c := n.conf
	var listener net.Listener
	err := n.take(wait, func() (err error) {
		if listener, err = net.Listen("tcp", c.Listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		return nil
	})
	if err == nil && c.PeerListen.IsValid() {
		err = n.take(wait, func() (err error) {
			n.peers, err = peertransport.Listen(c.PeerListen, c.Peers, c.PeersAll, n.post, n.log)
			return err
		})
		if err != nil {
			listener.Close()
		}
	}
	if err != nil {
		return err
	}
	n.serve(listener, 0, c.Discovery, c.Generation)
	return nil
}

// take opens an address. With wait, a process that holds it and is about to end is waited for;
// there is nothing else to be done yet.
func (n *Loop) take(wait bool, open func() error) error {
	begin := time.Now()
	for told := false; ; time.Sleep(addressEvery) {
		err := open()
		past := time.Since(begin)
		if err == nil || !wait || !errors.Is(err, syscall.EADDRINUSE) || past > addressWithin {
			return err
		}
		if !told && past > time.Second {
			told = true
			n.log.Warn("waits for an address that another process holds", zap.Error(err))
		}
	}
}

// serve begins with the sockets that are open.
func (n *Loop) serve(listener net.Listener, last core.RequestID, source string, generation int64) {
	c := n.conf
	n.listener = listener
	n.front = httpserver.New(httpserver.Options{
		Settings: c.Settings.Settings, MaxUnits: c.Settings.MostUnits, MaxConns: int(float64(c.Limits.Sockets) * frontPart),
		LastRequest: uint64(last), Now: n.clock.Now, Post: n.post, Log: n.log,
	})
	close(n.serving)
	if n.peers != nil {
		go n.peers.Read()
		go n.peers.Write()
	}
	n.watcher = &discovery.Watcher{
		Addr: source, Origin: n.clock.Zero(), Generation: generation, Post: n.post, Log: n.log, Limiters: c.Settings.Limiters,
	}
	n.edges.Go(func() { n.watcher.Run(n.ctx) })
	go func() {
		if err := n.front.Serve(listener); err != nil {
			n.failed <- err
		}
	}()
	n.log.Info("listening", zap.String("name", c.Name), zap.Stringer("at", listener.Addr()),
		zap.Int("backends", len(c.KnownEndpoints)), zap.Int("peers", len(c.Peers)))
}

func (n *Loop) close() {
	close(n.done) // edges wait for nobody any longer
	n.cancel()
	n.edges.Wait()
	n.fetches.Close()
	n.kin.close()
	if n.console != nil {
		n.console.Close()
	}
	if n.peers != nil {
		n.peers.Close()
	}
}

// since is the program's time, for those beside the loop: a takeover sets the clock.
func (n *Loop) since() time.Duration { return n.wall.Load().Now() }

// post hands an event to the loop.
func (n *Loop) post(ev core.Event) {
	select {
	case n.events <- ev:
	case <-n.done:
	}
}

// drain takes what waits already, so that one wake-up serves a batch.
func (n *Loop) drain() {
	for range inbox {
		select {
		case ev := <-n.events:
			n.step(ev)
		default:
			return
		}
	}
}

func (n *Loop) step(ev core.Event) {
	if ev, ok := n.unwrap(ev); ok {
		n.carryOut(n.reducer.Step(n.clock.Now(), ev))
	}
}

// carryOut has the edges do what the reducer asks for. None of it waits for a
// socket.
func (n *Loop) carryOut(effects []core.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case core.StartAttempt:
			n.fetches.StartAttempt(e)
		case core.CancelAttempt:
			n.fetches.CancelAttempt(e.Attempt)
		case core.WithdrawAttempt:
			n.fetches.WithdrawAttempt(e.Attempt)
		case core.Respond:
			if n.front != nil {
				n.front.Respond(e)
			}
		case core.ProbeBackend:
			n.fetches.Probe(e)
		case core.CloseBackendConns:
			n.fetches.CloseBackendConns(e.Backend)
		case core.SendToPeer:
			if n.peers != nil {
				n.peers.Send(e.Peer, e.Data)
			}
		case core.SetTimer:
			n.timer.Reset(n.clock.Until(e.At))
		case core.SetReady:
			if n.front != nil {
				n.front.SetReady(e.Ready)
			}
			if n.console != nil {
				n.console.SetReady(e.Ready)
			}
		case core.PublishMetrics:
			n.console.Publish(e.Metrics)
		case core.DrainClientConns:
			if n.front != nil {
				n.front.DrainConns()
			}
		case core.CloseServer:
			go func() {
				if n.front != nil {
					n.front.Close(e.Within)
				}
				n.post(core.ServerClosed{})
			}()
		case core.ReloadConfig:
			go n.reload()
		case core.WatchEndpoints:
			if n.watcher != nil {
				n.watcher.Move(e.Addr)
			}
		case core.Exit:
			n.exit = true
		case core.WriteUsage:
			go n.writeUse(e)
		case core.Log:
			n.log.Info(e.Text)
		default:
			n.carryOutKin(e)
		}
	}
}

// reload reads the configuration again and posts what it says.
func (n *Loop) reload() {
	c, err := n.load()
	if err != nil {
		n.post(&core.ConfigReloaded{Err: err})
		return
	}
	n.post(&core.ConfigReloaded{Discovery: c.Discovery})
}

// writeUse writes a line of the fleet's use to the file of the lease that it is under, unless that has
// ended, and tells so. Whoever reads goes by the token in the file's name.
func (n *Loop) writeUse(e core.WriteUsage) {
	done := core.UsageWritten{Token: e.Token}
	f, err := os.OpenFile(filepath.Join(n.conf.Usage.Dir, fmt.Sprintf("use-%020d.jsonl", e.Token)), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	if err == nil {
		size, at := f.Seek(0, io.SeekEnd)
		if done.LeaseExpired = n.since() >= e.StartBefore; !done.LeaseExpired {
			if _, err = f.Write(e.Report); err == nil {
				err = f.Sync()
			}
			if err != nil && at == nil { // half a line would spoil the next one
				f.Truncate(size)
			}
		}
		err = errors.Join(err, f.Close())
	}
	if err != nil {
		done.Err = errors.New(strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	n.post(done)
}

func (n *Loop) dump() {
	sessions := 0
	if n.front != nil {
		sessions = n.front.Conns()
	}
	n.log.Info("counters", zap.Stringer("phase", n.reducer.Phase()),
		zap.Any("counts", n.reducer.Counters()), zap.Int("backend_connections", n.fetches.Conns()),
		zap.Int("client_sessions", sessions))
}

// Package eventloop runs the program: one goroutine hands the events that the edges post to the core, and
// has the edges carry out the effects that come back. The edges are the server for clients, the client
// of the backends, the transport to the other limiters, endpoint discovery, the administration server
// and the link to the other process of a hot restart.
//
// Events and effects are described in package core. All state belongs to the goroutine of Run, but for
// what a comment says otherwise. No effect keeps it waiting for a socket or a disk, except opening the
// listening addresses at the start, when there is nothing else to do.
package eventloop

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
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

// maxQueuedEvents is how many events wait for the loop. Edges that post more wait themselves.
const maxQueuedEvents = 1024

// Loop is the running program.
type Loop struct {
	config    *config.Config
	log       *zap.Logger
	loadAgain func() (*config.Config, error)
	setShare  func(fraction float64) // see Controls.Share; may be nil

	clock  atomic.Pointer[Clock] // replaced in a hot restart; read from any goroutine
	core   *core.Machine
	events chan core.Event
	timer  *time.Timer
	exit   bool       // core.Exit came
	failed chan error // why the program has to stop

	// ctx is done once the loop has ended: edges post nothing any longer.
	ctx    context.Context
	cancel context.CancelFunc

	upstream *upstream.Client
	admin    *admin.Server // nil if there is none
	other    otherProcess  // of a hot restart

	// What serves clients, once the sockets are open. Serving is closed then.
	serving    chan struct{}
	server     *httpserver.Server
	listener   net.Listener
	peers      *peertransport.Transport // nil if there are none
	watcher    *discovery.Watcher
	background sync.WaitGroup // the goroutine of watcher, which ends with ctx
}

// Controls control a running program.
type Controls struct {
	Dump             <-chan os.Signal // logs the counters
	Stop             <-chan os.Signal // starts the shutdown
	Reload           <-chan os.Signal // has Load called
	Load             func() (*config.Config, error)
	SetResourceShare func(fraction float64) // limits the program to a fraction of its resources; may be nil
}

// Run serves until a shutdown is complete, and then returns nil. It returns an error if the program
// could not begin to serve, or had to stop.
func Run(c *config.Config, clock Clock, log *zap.Logger, controls Controls) error {
	l := &Loop{
		config:    c,
		log:       log,
		loadAgain: controls.Load,
		setShare:  controls.SetResourceShare,
		events:    make(chan core.Event, maxQueuedEvents),
		timer:     time.NewTimer(time.Hour),
		failed:    make(chan error, 1),
		serving:   make(chan struct{}),
	}
	l.clock.Store(&clock)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	defer l.close()
	l.start()
	for !l.exit {
		select {
		case ev := <-l.events:
			l.step(ev)
			l.stepQueued()
		case <-l.timer.C:
			l.step(core.TimerFired{})
		case <-controls.Dump:
			l.logCounters()
		case <-controls.Stop:
			l.step(core.ShutdownRequested{})
		case <-controls.Reload:
			l.step(core.ReloadRequested{})
		case err := <-l.failed:
			return err
		}
	}
	l.logCounters()
	return nil
}

// start starts the edges that need no socket of clients or peers, and the core. The core opens those
// next, or connects to a predecessor.
func (l *Loop) start() {
	l.startUpstream()
	l.startAdmin()
	if l.config.HotRestart != nil {
		prepareTransfer()
	}
	var effects []core.Effect
	l.core, effects = core.New(l.now(), l.config.Core())
	l.carryOut(effects)
}

// close ends all goroutines that post events, and closes all edges.
func (l *Loop) close() {
	l.cancel()
	l.background.Wait()
	l.upstream.Close()
	l.other.close()
	if l.admin != nil {
		l.admin.Close()
	}
	if l.peers != nil {
		_ = l.peers.Close() // what could not be sent is lost as in transit
	}
}

// now returns the time of the program's clock. It may be called from any goroutine.
func (l *Loop) now() time.Duration { return l.clock.Load().Now() }

// post hands an event to the loop, and waits while the queue is full. It may be called from any goroutine
// but the loop's, and returns without handing it over once the loop has ended.
func (l *Loop) post(ev core.Event) {
	select {
	case l.events <- ev:
	case <-l.ctx.Done():
	}
}

// fail ends the program. Only the first error counts. It may be called from any goroutine.
func (l *Loop) fail(err error) {
	select {
	case l.failed <- err:
	default:
	}
}

// stepQueued handles the events that are queued already, so that one wake-up serves a batch.
func (l *Loop) stepQueued() {
	for range maxQueuedEvents {
		select {
		case ev := <-l.events:
			l.step(ev)
		default:
			return
		}
	}
}

// step hands an event to the core, and carries out what it returns.
func (l *Loop) step(ev core.Event) {
	received, _ := ev.(linkEvent) // the zero one if it did not come over a link
	ev, ok := l.receiveLinkEvent(ev)
	if !ok {
		return
	}
	if kind, ok := protocolMessage(ev); ok {
		l.stepMessage(kind, ev, received.readAt)
		return
	}
	l.carryOut(l.core.Step(l.now(), ev))
}

func (l *Loop) carryOut(effects []core.Effect) {
	for _, e := range effects {
		l.carryOutOne(e)
	}
}

// carryOutOne has the edges carry out an effect.
func (l *Loop) carryOutOne(e core.Effect) {
	switch e := e.(type) {
	case core.SetTimer:
		l.timer.Reset(l.clock.Load().Until(e.At))
	case core.SendToPeer:
		l.sendToPeer(e)
	case core.Respond:
		l.respond(e)
	case core.SetReady:
		l.setReady(e.Ready)
	case core.DrainClientConns:
		l.drainClientConns()
	case core.CloseServer:
		l.closeServer(e.Within)
	case core.WatchEndpoints:
		l.watchEndpoints(e.Addr)
	case core.PublishMetrics:
		l.admin.Publish(e.Metrics)
	case core.ReloadConfig:
		go l.reload() // ends once the file is read and the outcome posted
	case core.WriteUsage:
		go l.writeUsage(e) // ends once the disk has answered and the outcome is posted
	case core.Log:
		l.log.Info(e.Text)
	case core.Exit:
		l.exit = true
	default:
		l.carryOutUpstream(e)
	}
}

// carryOutUpstream carries out an effect on the backends, or passes it to carryOutHotRestart.
func (l *Loop) carryOutUpstream(e core.Effect) {
	switch e := e.(type) {
	case core.StartAttempt:
		l.upstream.StartAttempt(e)
	case core.CancelAttempt:
		l.upstream.CancelAttempt(e.Attempt)
	case core.WithdrawAttempt:
		l.upstream.WithdrawAttempt(e.Attempt)
	case core.ProbeBackend:
		l.upstream.Probe(e)
	case core.CloseBackendConns:
		l.upstream.CloseBackendConns(e.Backend)
	default:
		l.carryOutHotRestart(e)
	}
}

// reload reads the configuration again and posts the address of discovery, all that may change while the
// program runs.
func (l *Loop) reload() {
	c, err := l.loadAgain()
	if err != nil {
		l.post(&core.ConfigReloaded{Err: err})
		return
	}
	l.post(&core.ConfigReloaded{Discovery: c.DiscoveryAddr})
}

// logCounters logs the line that scripts read: its message and its keys stay.
func (l *Loop) logCounters() {
	clientConns := 0
	if l.server != nil {
		clientConns = l.server.Conns()
	}
	l.log.Info("counters",
		zap.Stringer("phase", l.core.Phase()),
		zap.Any("counts", l.core.Counters()),
		zap.Int("backend_connections", l.upstream.Conns()),
		zap.Int("client_sessions", clientConns))
}

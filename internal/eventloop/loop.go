// Package eventloop runs the program: one goroutine passes the events that the I/O components post to the core, and
// has the components perform the effects that the core returns. The I/O components are the server for clients, the
// client of the backends, the transport to the other limiters, endpoint discovery, the administration server and the
// link to the other process of a hot restart.
//
// Events and effects are described in package core. All state belongs to the goroutine of Run, except where a
// comment says otherwise. No effect makes that goroutine wait for a socket or a disk, except opening the listening
// addresses at the start, when there is nothing else to do.
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

// maxQueuedEvents is the capacity of the event queue. A component that posts an event to a full queue waits.
const maxQueuedEvents = 1024

// Loop is the running program.
type Loop struct {
	config         *config.Config
	log            *zap.Logger
	loadConfig     func() (*config.Config, error)
	limitResources func(fraction float64) // see Controls.SetResourceFraction; may be nil

	clock  atomic.Pointer[Clock] // replaced in a hot restart; read from any goroutine
	core   *core.Machine
	events chan core.Event
	timer  *time.Timer
	exit   bool       // the core returned core.Exit
	failed chan error // receives the error that ends the program

	// ctx is done once the loop has ended: components post no events after that.
	ctx    context.Context
	cancel context.CancelFunc

	upstream     *upstream.Client
	admin        *admin.Server // nil if there is none
	usageWriter  *usageWriter
	otherProcess otherProcess // of a hot restart

	// The components that serve clients and peers, set once the sockets are open. serving is closed then.
	serving    chan struct{}
	server     *httpserver.Server
	listener   net.Listener
	peers      *peertransport.Transport // nil if there are none
	watcher    *discovery.Watcher
	background sync.WaitGroup // the goroutine of watcher, which ends with ctx
}

// Controls control a running program.
type Controls struct {
	Dump                <-chan os.Signal // makes the program log its counters
	Stop                <-chan os.Signal // starts the shutdown
	Reload              <-chan os.Signal // makes the program call LoadConfig
	LoadConfig          func() (*config.Config, error)
	SetResourceFraction func(fraction float64) // limits the program to a fraction of its resources; may be nil
}

// Run serves until a shutdown is complete, and then returns nil. It returns an error if the program could not begin
// to serve, or if an error ended it.
func Run(c *config.Config, clock Clock, log *zap.Logger, controls Controls) error {
	l := &Loop{
		config:         c,
		log:            log,
		loadConfig:     controls.LoadConfig,
		limitResources: controls.SetResourceFraction,
		events:         make(chan core.Event, maxQueuedEvents),
		timer:          time.NewTimer(time.Hour),
		usageWriter:    newUsageWriter(c.Usage.Dir),
		failed:         make(chan error, 1),
		serving:        make(chan struct{}),
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

// start starts the core and the components that need no sockets for clients or peers. The effects of the core then
// open these sockets or connect to a predecessor.
func (l *Loop) start() {
	l.startUpstream()
	l.startAdmin()
	if l.config.HotRestart != nil {
		initTransferCodecs()
	}
	var effects []core.Effect
	coreConfig := l.config.Core()
	coreConfig.TracesRequests = l.log.Core().Enabled(zap.DebugLevel)
	l.core, effects = core.New(l.now(), coreConfig)
	l.performEffects(effects)
}

// close ends all goroutines that post events, and closes all components.
func (l *Loop) close() {
	l.cancel()
	l.background.Wait()
	l.upstream.Close()
	l.otherProcess.close()
	if l.admin != nil {
		l.admin.Close()
	}
	if l.peers != nil {
		_ = l.peers.Close() // datagrams that could not be sent are lost, as they may be on the network
	}
}

// now returns the time of the program's clock. It may be called from any goroutine.
func (l *Loop) now() time.Duration { return l.clock.Load().Now() }

// post queues an event for the loop, and waits while the queue is full. It may be called from any goroutine but the
// loop's. Once the loop has ended, it returns without queueing the event.
func (l *Loop) post(ev core.Event) {
	select {
	case l.events <- ev:
	case <-l.ctx.Done():
	}
}

// fail ends the program with an error. Only the first error counts. It may be called from any goroutine.
func (l *Loop) fail(err error) {
	select {
	case l.failed <- err:
	default:
	}
}

// stepQueued handles the events that are already queued, so that the loop handles a batch each time it wakes up.
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

// step passes an event to the core, and performs the effects that the core returns.
func (l *Loop) step(ev core.Event) {
	received, _ := ev.(linkEvent) // the zero value if the event was not received over a link
	ev, ok := l.receiveLinkEvent(ev)
	if !ok {
		return
	}
	if kind, ok := protocolMessage(ev); ok {
		l.stepMessage(kind, ev, received.readAt)
		return
	}
	l.performEffects(l.core.Step(l.now(), ev))
}

func (l *Loop) performEffects(effects []core.Effect) {
	for _, e := range effects {
		l.performEffect(e)
	}
}

// performEffect has the components perform an effect.
func (l *Loop) performEffect(e core.Effect) {
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
	case core.TraceRequest:
		l.logTrace(e)
	case core.Exit:
		l.exit = true
	default:
		l.performUpstreamEffect(e)
	}
}

// performUpstreamEffect performs an effect on the backends, or passes it to performHotRestartEffect.
func (l *Loop) performUpstreamEffect(e core.Effect) {
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
		l.performHotRestartEffect(e)
	}
}

// reload reads the configuration again and posts the address of discovery, the only setting that can change while
// the program runs.
func (l *Loop) reload() {
	c, err := l.loadConfig()
	if err != nil {
		l.post(&core.ConfigReloaded{Err: err})
		return
	}
	l.post(&core.ConfigReloaded{Discovery: c.DiscoveryAddr})
}

// logTrace logs a step of a request at the debug level.
func (l *Loop) logTrace(e core.TraceRequest) {
	fields := []zap.Field{zap.Uint64("request", uint64(e.Attempt.Request)), zap.String("call_id", e.CallID)}
	switch e.Step {
	case core.TraceAttemptStarted:
		fields = append(fields, zap.Int("attempt", e.Attempt.Number), zap.String("backend", e.Backend))
	case core.TraceAttemptFinished:
		fields = append(fields, zap.Int("attempt", e.Attempt.Number), zap.String("backend", e.Backend), zap.Stringer("result", e.Result))
	case core.TraceAnswered:
		fields = append(fields, zap.Stringer("kind", e.Kind))
		if e.Kind != core.Served {
			fields = append(fields, zap.Stringer("reason", e.Reason))
		}
	}
	l.log.Debug("request "+e.Step.String(), fields...)
}

// logCounters logs a line that scripts read: its message and its keys must not change.
func (l *Loop) logCounters() {
	clientConns := 0
	if l.server != nil {
		clientConns = l.server.Conns()
	}
	l.log.Info("counters",
		zap.Stringer("phase", l.core.Phase()),
		zap.Any("counts", l.core.Counters()),
		zap.Int("backend_connections", l.upstream.Conns()),
		zap.Int("client_sessions", clientConns),
		zap.Any("resources", l.serverResources()))
}

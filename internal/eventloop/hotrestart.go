package eventloop

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lemongate/internal/config"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
	"lemongate/internal/peertransport"
)

// This file exchanges the events and effects of a hot restart with the other process over the link. The format of
// frames is in frames.go, the protocol in internal/hotrestart.

// hotRestartResourceFraction is the fraction of its resources that a process uses while two processes of a limiter run.
const hotRestartResourceFraction = 0.5

var (
	errNoListener   = errors.New("the predecessor sent no listening socket")
	errNoClientConn = errors.New("client connection frame carries no socket")
)

// acceptRetryInterval is the time to wait after a failed accept of a successor's connection.
const acceptRetryInterval = 100 * time.Millisecond

// otherProcess holds a Loop's link to the other process of a hot restart. It belongs to the goroutine of Run.
//
// The core either receives LinkClosed for the end of a link, in the same step in which link becomes nil here, or
// closes the link itself. It emits KillOtherProcess, TransferState and MoveClientConns only while there is a link,
// so the code that performs these effects does not check for one.
type otherProcess struct {
	link       *link.Conn     // the current link; nil for none
	successors *link.Listener // nil until successors may connect
}

func (o *otherProcess) close() {
	if o.successors != nil {
		o.successors.Close()
	}
	if o.link != nil {
		o.link.Close()
	}
}

// linkEvent is an event that was received over a link. Unless it brings a client connection, it is dropped if that
// link is no longer the current one.
type linkEvent struct {
	core.Event // nil if the frame carried a client connection
	from       *link.Conn
	clientConn []*os.File
	readAt     time.Time // when the frame was received completely; zero for the end of a link
}

// receiveLinkEvent returns the event for the core that a posted event contains, and reports whether there is one.
// An event that was not received over a link is returned unchanged. An event that was received over a link is handled
// by its kind:
//
//   - a client connection is served by this process, and is not passed to the core;
//   - an event of a former link is dropped, and its sockets are closed;
//   - the end of the current link is passed to the core, and link becomes nil;
//   - any other event of the current link is passed to the core.
func (l *Loop) receiveLinkEvent(ev core.Event) (core.Event, bool) {
	received, ok := ev.(linkEvent)
	if !ok {
		return ev, true
	}
	if received.clientConn != nil { // also from a former link: the client must not be disconnected
		l.adoptClientConns(received.clientConn)
		return nil, false
	}
	if received.from != l.otherProcess.link {
		closeSockets(received.Event)
		return nil, false
	}
	_, closed := received.Event.(core.LinkClosed)
	if closed {
		l.otherProcess.link = nil
	}
	return received.Event, true
}

// protocolMessage returns the kind of the protocol message that an event contains, and reports whether it contains
// one other than a heartbeat.
func protocolMessage(ev core.Event) (kind hotrestart.Kind, ok bool) {
	message, ok := ev.(*core.LinkMessageReceived)
	if !ok || message.Kind == hotrestart.Heartbeat {
		return 0, false
	}
	return message.Kind, true
}

// logDecoded logs how long it took to decode a protocol message. It may be called from any goroutine.
func (l *Loop) logDecoded(received linkEvent) {
	if kind, ok := protocolMessage(received.Event); ok {
		l.log.Debug("decoded a hot restart message", zap.Stringer("message", kind),
			zap.Int64("read_us", received.readAt.UnixMicro()), zap.Duration("took", time.Since(received.readAt)))
	}
}

// stepMessage is step for a protocol message. It logs how long the message was queued, how long the core took to
// decide, and how long the effects took. Both processes take the times from the same system clock, so that the log
// lines of both can be merged.
func (l *Loop) stepMessage(kind hotrestart.Kind, ev core.Event, readAt time.Time) {
	startedAt := time.Now()
	effects := l.core.Step(l.now(), ev)
	decidedAt := time.Now()
	l.performEffects(effects)
	l.log.Debug("handled a hot restart message", zap.Stringer("message", kind),
		zap.Int64("begun_us", startedAt.UnixMicro()), zap.Duration("waited", startedAt.Sub(readAt)),
		zap.Duration("decided", decidedAt.Sub(startedAt)), zap.Duration("carried_out", time.Since(decidedAt)))
}

// closeSockets closes the sockets that came with an event that is dropped.
func closeSockets(ev core.Event) {
	message, ok := ev.(*core.LinkMessageReceived)
	if ok && message.Sockets != nil {
		closeFiles(message.Sockets.([]*os.File))
	}
}

func closeFiles(files []*os.File) {
	for _, f := range files {
		_ = f.Close() // only this process's copy of a socket
	}
}

// performHotRestartEffect performs an effect on the other process, or passes it to sendEffect.
func (l *Loop) performHotRestartEffect(e core.Effect) {
	switch e := e.(type) {
	case core.ConnectPredecessor:
		l.connectPredecessor()
	case core.ListenForSuccessors:
		l.listenForSuccessors()
	case core.AcceptSuccessor:
		l.otherProcess.link = e.Link.(*link.Conn)
	case core.DenySuccessor:
		l.denySuccessor(e)
	case core.TransferState:
		l.transferState(e.State)
	case core.CloseLink:
		l.closeLink()
	case core.KillOtherProcess:
		l.otherProcess.link.Kill()
	case core.OpenListeners:
		l.failOnError(l.openListeners(e.Wait))
	case core.AdoptSockets:
		l.failOnError(l.adoptSockets(e))
	case core.PauseListeners:
		l.pauseListeners()
	case core.ResumeListeners:
		l.resumeListeners()
	case core.MoveClientConns:
		l.moveClientConns()
	case core.SetAcceptingClients:
		l.setAcceptingClients(e.Accepting)
	case core.SetResourceFraction:
		l.setResourceFraction(e.Fraction)
	case core.Abort:
		l.fail(errors.New(e.Reason))
	default:
		l.sendEffect(e)
	}
}

// sendEffect performs an effect that only sends a frame to the other process.
func (l *Loop) sendEffect(e core.Effect) {
	switch e := e.(type) {
	case core.SendLinkMessage:
		l.sendFrame(uint8(e.Kind), nil)
	case core.ReportAttemptStarted:
		l.sendFrame(frameAttemptStarted, newAttemptStartedFrame(e.OpenAttempt))
	case core.ReportAttemptFinished:
		l.sendFrame(frameAttemptFinished, newAttemptFinishedFrame(e.FinishedAttempt))
	case core.ForwardRequest:
		l.sendFrame(frameForwardedRequest, newForwardedRequestFrame(e.ForwardedRequest))
	case core.CancelForwardedRequest:
		l.sendFrame(frameCanceledRequest, e.Request)
	case core.SendForwardedResponse:
		l.sendFrame(frameForwardedResponse, newForwardedResponseFrame(e.Respond))
	case core.ReportRequestEnded:
		l.sendFrame(frameRequestEnded, e.Request)
	case core.ReportInheritedUsageSent:
		l.sendFrame(frameInheritedUsageSent, nil)
	}
}

// failOnError ends the program if there is an error.
func (l *Loop) failOnError(err error) {
	if err != nil {
		l.fail(err)
	}
}

// sendFrame sends a frame with a body, or without one if body is nil. If it cannot be sent, the link has ended, and
// the goroutine that reads from the link posts LinkClosed.
func (l *Loop) sendFrame(kind uint8, body any) {
	if l.otherProcess.link == nil {
		return
	}
	var data []byte
	if body != nil {
		var err error
		data, err = frameCodec.Marshal(body)
		if err != nil {
			l.log.Error("failed to encode a frame for the other process", zap.Uint8("frame", kind), zap.Error(err))
			return
		}
	}
	l.otherProcess.link.Send(kind, data)
}

// closeLink closes the link once the frames that were sent before are written. Events received over it after that
// are dropped.
func (l *Loop) closeLink() {
	if l.otherProcess.link != nil {
		l.otherProcess.link.CloseAfterFlush()
		l.otherProcess.link = nil
	}
}

// hello returns the body of this process's Hello.
func (l *Loop) hello() helloFrame {
	return helloFrame{
		Format: frameFormat,
		Name:   l.config.Name,
		Listen: l.config.ListenAddr,
		Peers:  l.config.PeerListen.String(),
	}
}

// connectPredecessor connects to the running process of this limiter, if there is one, and sends Hello. The
// goroutine that reads from the link ends after it has posted the end of the link. If the connection fails,
// connectPredecessor posts LinkClosed.
func (l *Loop) connectPredecessor() {
	c, err := link.Dial(l.successorPath())
	if err != nil { // expected at the first start, when there is no predecessor, so not logged as a warning
		l.log.Debug("no predecessor to take over from", zap.Error(err))
		// Posted from another goroutine, which ends once the event is queued: post waits while the queue is
		// full, and the loop, which empties the queue, is in this call.
		go l.post(linkEvent{Event: core.LinkClosed{Epoch: config.NewEpoch()}})
		return
	}
	l.log.Info("takes over", zap.Int("from", c.PID()))
	l.otherProcess.link = c
	l.sendFrame(uint8(hotrestart.Hello), l.hello())
	go l.readLink(c)
}

// successorPath returns the path of the socket at which successors connect to a process of this limiter.
func (l *Loop) successorPath() string { return l.config.HotRestart.SocketPath(l.config.Name) }

// listenForSuccessors lets successors connect to this process. If it cannot listen, the process goes on without hot
// restarts. The goroutine that it starts ends when otherProcess is closed.
func (l *Loop) listenForSuccessors() {
	if l.config.HotRestart == nil || l.otherProcess.successors != nil {
		return
	}
	successors, err := link.Listen(l.successorPath())
	if err != nil {
		l.log.Info("failed to listen for successors, hot restart is not possible", zap.Error(err))
		return
	}
	l.otherProcess.successors = successors
	go l.acceptSuccessors(successors)
}

// acceptSuccessors accepts connections of successors until the listener is closed.
func (l *Loop) acceptSuccessors(successors *link.Listener) {
	for {
		c, err := successors.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // for example, no free file descriptor
			l.log.Warn("failed to accept the connection of a successor, retrying", zap.Error(err))
			time.Sleep(acceptRetryInterval)
		default:
			go l.handleSuccessor(c) // ends once its link has ended and LinkClosed is posted
		}
	}
}

// handleSuccessor reads the Hello of a process that has connected, posts SuccessorConnected, and reads further frames.
func (l *Loop) handleSuccessor(c *link.Conn) {
	f, err := c.Read()
	var hello helloFrame
	if err != nil || f.Kind != uint8(hotrestart.Hello) || frameCodec.Unmarshal(f.Body, &hello) != nil {
		c.Close() // not a successor, or one that has ended already: there is no process to send Deny to
		return
	}
	l.post(&core.SuccessorConnected{Link: c, Reason: hello.mismatch(l.hello())})
	l.readLink(c)
}

func (l *Loop) denySuccessor(e core.DenySuccessor) {
	c := e.Link.(*link.Conn)
	l.log.Info("successor denied", zap.Int("pid", c.PID()), zap.String("reason", e.Reason))
	c.Send(uint8(hotrestart.Deny), []byte(e.Reason)) // a successor that has ended needs no reply
	c.CloseAfterFlush()
}

// readLink posts the events that the other process sends, until the link ends.
func (l *Loop) readLink(c *link.Conn) {
	for {
		f, err := c.Read()
		if err != nil {
			l.post(linkEvent{Event: core.LinkClosed{Epoch: config.NewEpoch()}, from: c})
			c.Close()
			return
		}
		readAt := time.Now()
		received, err := receiveFrame(f)
		if err != nil {
			l.log.Error("failed to decode a frame of the other process", zap.Uint8("frame", f.Kind), zap.Error(err))
			closeFiles(f.Sockets)
			continue
		}
		received.from, received.readAt = c, readAt
		l.logDecoded(received)
		l.post(received)
	}
}

// receiveFrame decodes a frame. It closes sockets that came with a frame that must have none.
func receiveFrame(f link.Frame) (linkEvent, error) {
	switch f.Kind {
	case frameClientConn:
		if len(f.Sockets) == 0 {
			return linkEvent{}, errNoClientConn
		}
		return linkEvent{clientConn: f.Sockets}, nil
	case uint8(hotrestart.Transfer):
	default:
		closeFiles(f.Sockets)
	}
	ev, err := decode(f)
	return linkEvent{Event: ev}, err
}

// transferState sends a successor the state, the listener for clients and the socket for peers. A successor that
// cannot decode the state takes over without it.
func (l *Loop) transferState(state core.HandoverState) {
	startedAt := time.Now()
	body, err := frameCodec.Marshal(newStateFrame(state))
	if err != nil {
		l.log.Error("failed to encode the state for the successor", zap.Error(err))
	}
	l.log.Debug("encoded the state for the successor", zap.Int("bytes", len(body)), zap.Duration("took", time.Since(startedAt)))
	sockets := []syscall.Conn{l.listener.(syscall.Conn)}
	if l.peers != nil {
		sockets = append(sockets, l.peers.Socket())
	}
	l.otherProcess.link.Send(uint8(hotrestart.Transfer), body, sockets...)
}

// adoptSockets serves on the sockets that the predecessor sent, and continues the predecessor's clock.
func (l *Loop) adoptSockets(e core.AdoptSockets) error {
	files, _ := e.Sockets.([]*os.File) // adoptListeners returns errNoListener if there are none
	defer closeFiles(files)
	listener, err := l.adoptListeners(files)
	if err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	clock := newClockAt(e.Now, l.clock.Load().rate)
	l.clock.Store(&clock)
	l.serve(listener, e.LastRequest, e.Discovery, e.Generation)
	l.server.SetResourceFraction(hotRestartResourceFraction)
	return nil
}

// adoptListeners returns the listener for clients, which is the first of the files, and stores a transport on the
// socket for peers, which is the second.
func (l *Loop) adoptListeners(files []*os.File) (net.Listener, error) {
	if len(files) == 0 {
		return nil, errNoListener
	}
	listener, err := net.FileListener(files[0])
	if err != nil {
		return nil, err
	}
	if len(files) == 1 || !l.config.PeerListen.IsValid() {
		return listener, nil
	}
	conn, err := net.FilePacketConn(files[1])
	if err != nil {
		_ = listener.Close() // no client was accepted
		return nil, err
	}
	l.peers = peertransport.NewTransport(conn.(*net.UDPConn), l.config.Peers, l.config.PeerBroadcast, l.post, l.log)
	return listener, nil
}

func (l *Loop) pauseListeners() {
	l.server.Pause()
	if l.peers != nil {
		l.peers.Pause()
	}
}

func (l *Loop) resumeListeners() {
	l.server.Resume()
	if l.peers != nil {
		l.peers.Resume()
	}
}

// moveClientConns moves client connections to the successor: the idle ones at once, the others as they become idle.
func (l *Loop) moveClientConns() {
	successor := l.otherProcess.link
	l.server.MoveConns(func(c syscall.Conn) error { return successor.SendSync(frameClientConn, nil, c) })
}

// adoptClientConns serves client connections that the predecessor moved to this process, once the server exists.
// The goroutine of each connection ends after that, or with the loop.
func (l *Loop) adoptClientConns(files []*os.File) {
	for _, f := range files {
		conn, err := net.FileConn(f)
		_ = f.Close() // conn has its own copy of the socket
		if err != nil {
			l.log.Warn("failed to adopt a client connection of the predecessor", zap.Error(err))
			continue
		}
		go func() {
			select {
			case <-l.serving:
				l.server.AdoptConn(conn)
			case <-l.ctx.Done():
				_ = conn.Close() // no request was read from it here
			}
		}()
	}
}

// setAcceptingClients sets the result of the administration server's health check, which shows operators which of
// two processes accepts clients. The health check of the server for clients stays as setReady left it: a
// predecessor still serves the connections that it has.
func (l *Loop) setAcceptingClients(accepting bool) {
	if l.admin != nil {
		l.admin.SetReady(accepting)
	}
}

// setResourceFraction sets the fraction of its resources that this process uses.
func (l *Loop) setResourceFraction(fraction float64) {
	l.upstream.SetResourceFraction(fraction)
	if l.server != nil {
		l.server.SetResourceFraction(fraction)
	}
	if l.limitResources != nil {
		l.limitResources(fraction)
	}
}

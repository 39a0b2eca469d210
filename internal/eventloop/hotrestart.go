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

// This file carries the events and effects of a hot restart over the link to the other process. The form
// of frames is in frames.go, the protocol in internal/hotrestart.

// sharedResources is the fraction of its resources that a process uses while there are two.
const sharedResources = 0.5

var (
	errNoListener   = errors.New("the predecessor sent no listener")
	errNoClientConn = errors.New("no socket beside a client connection")
)

// acceptRetryInterval is the pause after a successor that could not be accepted.
const acceptRetryInterval = 100 * time.Millisecond

// otherProcess is what a Loop has of the other process of a hot restart. It belongs to the goroutine of
// Run.
//
// The core learns of the end of a link by LinkClosed, in the same step in which link becomes nil here, or
// closes it itself. It emits KillOtherProcess, TransferState and MoveClientConns only while there is a
// link; these do not check it.
type otherProcess struct {
	link       *link.Conn     // the current one; nil for none
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

// linkEvent is an event that came over a link. It counts only while that link is the current one.
type linkEvent struct {
	core.Event // nil if the frame carried a client connection
	from       *link.Conn
	clientConn []*os.File
	readAt     time.Time // when the frame had come completely; zero for the end of a link
}

// receiveLinkEvent returns the event for the core that an event from the edges contains, and reports
// whether there is one. An event that did not come over a link is returned as it is. Of those that did:
//
//   - a client connection is served here, and is not for the core;
//   - an event of a former link is dropped, and its sockets closed;
//   - the end of the current link makes it a former one.
func (l *Loop) receiveLinkEvent(ev core.Event) (core.Event, bool) {
	received, ok := ev.(linkEvent)
	if !ok {
		return ev, true
	}
	if received.clientConn != nil { // also from a former link: the client must not be dropped
		l.adoptClientConns(received.clientConn)
		return nil, false
	}
	if received.from != l.other.link {
		closeSockets(received.Event)
		return nil, false
	}
	_, closed := received.Event.(core.LinkClosed)
	if closed {
		l.other.link = nil
	}
	return received.Event, true
}

// protocolMessage returns the kind of a message of the protocol that an event brings, and reports whether it
// brings one other than a heartbeat.
func protocolMessage(ev core.Event) (kind hotrestart.Kind, ok bool) {
	message, ok := ev.(*core.LinkMessageReceived)
	if !ok || message.Kind == hotrestart.Heartbeat {
		return 0, false
	}
	return message.Kind, true
}

// logDecoded logs how long it took to decode a message of the protocol. It may be called from any goroutine.
func (l *Loop) logDecoded(received linkEvent) {
	if kind, ok := protocolMessage(received.Event); ok {
		l.log.Debug("message of the hot restart decoded", zap.Stringer("message", kind),
			zap.Int64("read_us", received.readAt.UnixMicro()), zap.Duration("took", time.Since(received.readAt)))
	}
}

// stepMessage is step for a message of the protocol. It logs how long the message waited for the loop, how long
// the core took to decide, and how long the effects took. Both processes log by the same clock, so that the
// lines of both can be joined.
func (l *Loop) stepMessage(kind hotrestart.Kind, ev core.Event, readAt time.Time) {
	begun := time.Now()
	effects := l.core.Step(l.now(), ev)
	decided := time.Now()
	l.carryOut(effects)
	l.log.Debug("message of the hot restart handled", zap.Stringer("message", kind),
		zap.Int64("begun_us", begun.UnixMicro()), zap.Duration("waited", begun.Sub(readAt)),
		zap.Duration("decided", decided.Sub(begun)), zap.Duration("carried_out", time.Since(decided)))
}

// closeSockets closes the sockets that came with an event which does not count.
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

// carryOutHotRestart carries out an effect that concerns the other process, or passes it to sendEffect.
func (l *Loop) carryOutHotRestart(e core.Effect) {
	switch e := e.(type) {
	case core.ConnectPredecessor:
		l.connectPredecessor()
	case core.ListenForSuccessors:
		l.acceptSuccessors()
	case core.AcceptSuccessor:
		l.other.link = e.Link.(*link.Conn)
	case core.DenySuccessor:
		l.denySuccessor(e)
	case core.TransferState:
		l.transferState(e.State)
	case core.CloseLink:
		l.closeLink()
	case core.KillOtherProcess:
		l.other.link.Kill()
	case core.OpenListeners:
		l.failOn(l.openListeners(e.Wait))
	case core.AdoptSockets:
		l.failOn(l.adoptSockets(e))
	case core.PauseListeners:
		l.pauseListeners()
	case core.ResumeListeners:
		l.resumeListeners()
	case core.MoveClientConns:
		l.moveClientConns()
	case core.SetAcceptingClients:
		l.setAcceptingClients(e.Accepting)
	case core.SetResourceFraction:
		l.setResourceShare(e.Fraction)
	case core.Abort:
		l.fail(errors.New(e.Reason))
	default:
		l.sendEffect(e)
	}
}

// sendEffect sends the other process an effect that is nothing but a frame.
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

// failOn ends the program on an error.
func (l *Loop) failOn(err error) {
	if err != nil {
		l.fail(err)
	}
}

// sendFrame sends a frame with a body, nil for none. If it cannot be sent, the link has ended, and the
// goroutine that reads from it posts LinkClosed.
func (l *Loop) sendFrame(kind uint8, body any) {
	if l.other.link == nil {
		return
	}
	var data []byte
	if body != nil {
		var err error
		data, err = frameCodec.Marshal(body)
		if err != nil {
			l.log.Error("frame for the other process could not be encoded", zap.Uint8("frame", kind), zap.Error(err))
			return
		}
	}
	l.other.link.Send(kind, data)
}

// closeLink closes the link after what was sent. Events that still come over it do not count.
func (l *Loop) closeLink() {
	if l.other.link != nil {
		l.other.link.CloseAfterFlush()
		l.other.link = nil
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

// connectPredecessor connects to the process that runs, if there is one, and sends Hello. The goroutine
// that reads from it ends once the link has ended and that is posted. If no process can be connected to,
// it posts LinkClosed.
func (l *Loop) connectPredecessor() {
	c, err := link.Dial(l.successorPath())
	if err != nil { // at the first start there is no predecessor, so this is no warning
		l.log.Debug("no process to take over from", zap.Error(err))
		// In a goroutine of its own, which ends once the event is queued: the loop, which reads the queue,
		// is in this call.
		go l.post(linkEvent{Event: core.LinkClosed{Epoch: config.NewEpoch()}})
		return
	}
	l.log.Info("takes over", zap.Int("from", c.PID()))
	l.other.link = c
	l.sendFrame(uint8(hotrestart.Hello), l.hello())
	go l.readLink(c)
}

// successorPath is where successors connect to a process of this limiter.
func (l *Loop) successorPath() string { return l.config.HotRestart.SocketPath(l.config.Name) }

// acceptSuccessors lets successors connect to this process. If it cannot listen, this process serves
// without. Its goroutine ends when otherProcess is closed.
func (l *Loop) acceptSuccessors() {
	if l.config.HotRestart == nil || l.other.successors != nil {
		return
	}
	successors, err := link.Listen(l.successorPath())
	if err != nil {
		l.log.Info("no successor can take over", zap.Error(err))
		return
	}
	l.other.successors = successors
	go l.greetSuccessors(successors)
}

// greetSuccessors greets each successor that connects, until the listener is closed.
func (l *Loop) greetSuccessors(successors *link.Listener) {
	for {
		c, err := successors.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // such as no free descriptor
			l.log.Warn("successor not accepted, tried again", zap.Error(err))
			time.Sleep(acceptRetryInterval)
		default:
			go l.greetSuccessor(c) // ends once its link has ended and that is posted
		}
	}
}

// greetSuccessor reads the Hello of a process that has connected, posts SuccessorConnected, and reads on.
func (l *Loop) greetSuccessor(c *link.Conn) {
	f, err := c.Read()
	var hello helloFrame
	if err != nil || f.Kind != uint8(hotrestart.Hello) || frameCodec.Unmarshal(f.Body, &hello) != nil {
		c.Close() // not a successor, or dead already: nobody to send Deny
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

// readLink posts what the other process sends until the link ends.
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
			l.log.Error("frame of the other process could not be decoded", zap.Uint8("frame", f.Kind), zap.Error(err))
			closeFiles(f.Sockets)
			continue
		}
		received.from, received.readAt = c, readAt
		l.logDecoded(received)
		l.post(received)
	}
}

// receiveFrame returns what a frame brings. Sockets beside a frame that has none are closed.
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

// transferState sends a successor the state, the listener of clients and the socket of peers. A successor
// that cannot read the state takes over without it.
func (l *Loop) transferState(state core.HandoverState) {
	begun := time.Now()
	body, err := frameCodec.Marshal(newStateFrame(state))
	if err != nil {
		l.log.Error("state for the successor could not be encoded", zap.Error(err))
	}
	l.log.Debug("state for the successor encoded", zap.Int("bytes", len(body)), zap.Duration("took", time.Since(begun)))
	sockets := []syscall.Conn{l.listener.(syscall.Conn)}
	if l.peers != nil {
		sockets = append(sockets, l.peers.Socket())
	}
	l.other.link.Send(uint8(hotrestart.Transfer), body, sockets...)
}

// adoptSockets serves on the sockets that the predecessor sent, by its clock.
func (l *Loop) adoptSockets(e core.AdoptSockets) error {
	files, _ := e.Sockets.([]*os.File) // none is errNoListener below
	defer closeFiles(files)
	listener, err := l.adoptListeners(files)
	if err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	clock := newClockAt(e.Now, l.clock.Load().rate)
	l.clock.Store(&clock)
	l.serve(listener, e.LastRequest, e.Discovery, e.Generation)
	l.server.SetResourceShare(sharedResources)
	return nil
}

// adoptListeners returns the listener of clients, the first of the files, and keeps the socket of peers,
// the second.
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

// moveClientConns moves the idle client connections to the successor, now and as they become idle.
func (l *Loop) moveClientConns() {
	successor := l.other.link
	l.server.MoveConns(func(c syscall.Conn) error { return successor.SendSync(frameClientConn, nil, c) })
}

// adoptClientConns serves client connections that the predecessor moved here, once the server is there.
// The goroutine for each ends after that, or with the loop.
func (l *Loop) adoptClientConns(files []*os.File) {
	for _, f := range files {
		conn, err := net.FileConn(f)
		_ = f.Close() // conn has its own copy of the socket
		if err != nil {
			l.log.Warn("client connection could not be adopted", zap.Error(err))
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

// setAcceptingClients sets whether the health check of this process's administration server is ready, by
// which operators see which of two processes accepts clients. The server for clients stays as setReady left
// it: a predecessor still serves the connections that it has.
func (l *Loop) setAcceptingClients(accepting bool) {
	if l.admin != nil {
		l.admin.SetReady(accepting)
	}
}

// setResourceShare sets the fraction of its resources that this process uses.
func (l *Loop) setResourceShare(fraction float64) {
	l.upstream.SetResourceShare(fraction)
	if l.server != nil {
		l.server.SetResourceShare(fraction)
	}
	if l.setShare != nil {
		l.setShare(fraction)
	}
}

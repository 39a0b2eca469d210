package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lemongate/internal/acceptretry"
	"lemongate/internal/admin"
	"lemongate/internal/core"
	"lemongate/internal/discovery"
	"lemongate/internal/httpserver"
	"lemongate/internal/peertransport"
	"lemongate/internal/upstream"
)

// This file starts the I/O components, and performs the effects on those that serve clients and peers.

const (
	// addressReleaseTimeout is the maximum time to wait for another process to release a listening address, which
	// is tried every addressRetryInterval. The wait is logged after addressLogAfter.
	addressReleaseTimeout = 20 * time.Second
	addressRetryInterval  = 20 * time.Millisecond
	addressLogAfter       = time.Second
)

func (l *Loop) startUpstream() {
	c := l.config
	maxSockets := float64(c.Limits.Sockets)
	l.upstream = upstream.New(upstream.Options{
		ConnectTimeout:    c.Settings.ConnectTimeout,
		IdleClose:         c.Settings.IdleClose,
		LoadReportFields:  c.Settings.LoadReportFields,
		MaxIdlePerBackend: maxIdleConns(maxSockets, c.Settings.Limiters),
		MaxConns:          maxConns(c.Limits, backendConnFraction, backendConnMemory),
		Post:              l.post,
		Now:               l.now,
	})
}

// startAdmin starts the administration server if its address is configured. Its goroutine ends when close
// closes that server.
func (l *Loop) startAdmin() {
	if l.config.AdminAddr == "" {
		return
	}
	sources := admin.Sources{AttemptsWritten: l.upstream.AttemptsWritten, Resources: l.serverResources}
	l.admin = admin.New(sources, l.post, l.log)
	go l.admin.ListenAndServe(l.config.AdminAddr)
}

// serverResources returns what clients make the server hold; nothing before it serves. It may be called from any goroutine.
func (l *Loop) serverResources() []core.ResourceUsage {
	select {
	case <-l.serving:
		return l.server.Resources()
	default:
		return nil
	}
}

// openListeners opens the sockets that the configuration names, and serves on them. If wait is set, it waits for
// an ending process to release their addresses. It blocks the event loop, which has nothing else to do yet.
func (l *Loop) openListeners(wait bool) error {
	c := l.config
	var listener net.Listener
	err := l.openAddress(wait, func() (err error) {
		listener, err = listenForClients(c.ListenAddr)
		return err
	})
	if err != nil {
		return err
	}
	if c.PeerListen.IsValid() {
		err := l.openAddress(wait, func() (err error) {
			l.peers, err = peertransport.Listen(c.PeerListen, c.Peers, c.PeerBroadcast, l.post, l.log)
			return err
		})
		if err != nil {
			_ = listener.Close() // no client was accepted
			return err
		}
	}
	l.serve(listener, 0, c.DiscoveryAddr, c.KnownGeneration)
	return nil
}

func listenForClients(addr string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{Control: boundSocketBuffers}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// boundSocketBuffers bounds the buffers of the connections that a listener accepts: by itself the system lets them grow to
// megabytes for each connection.
func boundSocketBuffers(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(fd uintptr) { // a socket without bounds serves as well
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientReceiveBuffer)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, clientSendBuffer)
	})
}

// openAddress calls open. It repeats the call while a resource is short and, if wait is set, while another process holds the
// address, for addressReleaseTimeout at most.
func (l *Loop) openAddress(wait bool, open func() error) error {
	begin := time.Now()
	for logged := false; ; time.Sleep(addressRetryInterval) {
		err := open()
		elapsed := time.Since(begin)
		mayPass := wait && errors.Is(err, syscall.EADDRINUSE) || acceptretry.IsShortage(err)
		if err == nil || !mayPass || elapsed > addressReleaseTimeout {
			return err
		}
		if !logged && elapsed > addressLogAfter {
			logged = true
			l.log.Warn("waiting for a listening address", zap.Error(err))
		}
	}
}

// serve starts the components that serve clients and peers, on sockets that are open. The IDs of requests begin
// after lastRequest. Endpoints are watched at discoveryAddr, starting from the given generation of the list.
func (l *Loop) serve(listener net.Listener, lastRequest core.RequestID, discoveryAddr string, generation int64) {
	c := l.config
	l.listener = listener
	l.server = httpserver.New(httpserver.Options{
		Settings:    c.Settings.Settings,
		MaxUnits:    c.Settings.MaxUnits,
		MaxConns:    maxConns(c.Limits, clientConnFraction, clientConnMemory),
		MaxMemory:   int(float64(c.Limits.MemoryMB<<20) * clientMemoryFraction),
		LastRequest: uint64(lastRequest),
		Now:         l.now,
		Post:        l.post,
		Log:         l.log,
	})
	close(l.serving)
	l.watcher = &discovery.Watcher{
		Addr:       discoveryAddr,
		Origin:     l.clock.Load().Origin(),
		Generation: generation,
		Post:       l.post,
		Log:        l.log,
		Limiters:   c.Settings.Limiters,
	}
	l.startGoroutines(listener)
	l.log.Info("listening",
		zap.String("name", c.Name),
		zap.Stringer("at", listener.Addr()),
		zap.Int("backends", len(c.KnownEndpoints)),
		zap.Int("peers", len(c.Peers)))
}

// startGoroutines starts the goroutines of the components. Those of the transport to peers end when close closes
// the transport, that of the watcher ends with ctx, and that of the server ends when the listener is closed.
func (l *Loop) startGoroutines(listener net.Listener) {
	if l.peers != nil {
		go l.peers.Read()
		go l.peers.Write()
	}
	l.background.Go(func() { l.watcher.Run(l.ctx) })
	server := l.server
	go func() {
		if err := server.Serve(listener); err != nil {
			l.fail(err)
		}
	}()
}

func (l *Loop) sendToPeer(e core.SendToPeer) {
	if l.peers != nil {
		l.peers.Send(e.Peer, e.Data)
	}
}

func (l *Loop) respond(e core.Respond) {
	if l.server != nil {
		l.server.Respond(e)
	}
}

// setReady sets the result of this process's health checks on both servers. It is called when the process begins
// to serve and when it begins to drain. setAcceptingClients also sets the health check of the administration
// server; the later of the two calls takes effect.
func (l *Loop) setReady(ready bool) {
	if l.server != nil {
		l.server.SetReady(ready)
	}
	if l.admin != nil {
		l.admin.SetReady(ready)
	}
}

func (l *Loop) drainClientConns() {
	if l.server != nil {
		l.server.DrainConns()
	}
}

// closeServer closes the server within the given duration, and then posts ServerClosed. Its goroutine ends after
// that.
func (l *Loop) closeServer(within time.Duration) {
	server := l.server
	go func() {
		if server != nil {
			server.Close(within)
		}
		l.post(core.ServerClosed{})
	}()
}

func (l *Loop) watchEndpoints(addr string) {
	if l.watcher != nil {
		l.watcher.SetAddr(addr)
	}
}

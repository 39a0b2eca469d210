package upstream

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"lemongate/internal/testnet"
)

var errDial = errors.New("dial failed")

// A poolDialer is the dial function of a pool under test. Each dial returns what the test sends.
type poolDialer struct{ results chan connResult }

func (d *poolDialer) dial() (*pooledConn, error) {
	result, ok := <-d.results
	if !ok {
		return nil, errDial
	}
	return result.conn, result.err
}

// newTestPool returns a pool that keeps two idle connections.
func newTestPool(t *testing.T) (*connPool, *poolDialer) {
	d := &poolDialer{results: make(chan connResult)}
	t.Cleanup(func() { close(d.results) }) // ends the dials that the test leaves
	return &connPool{dial: d.dial, maxIdle: 2}, d
}

// newConn returns a connection of a pool that was last used the given time ago.
func newConn(t *testing.T, p *connPool, usedAgo time.Duration) *pooledConn {
	t.Helper()
	_, local := testnet.Pair(t)
	var pooled *pooledConn
	conn, err := newBackendConn(local, &backend{}, func() { p.remove(pooled) }, func(int) {})
	if err != nil {
		t.Fatal(err)
	}
	conn.reuseDelay, conn.lastRead = time.Minute, time.Now().Add(-usedAgo)
	pooled = newPooledConn(conn)
	return pooled
}

// getLater calls get in a goroutine of its own, and returns once the call waits.
func getLater(t *testing.T, ctx context.Context, p *connPool) <-chan connResult {
	t.Helper()
	result, count := make(chan connResult, 1), p.waitingCount()
	go func() {
		conn, err := p.get(ctx)
		result <- connResult{conn, err}
	}()
	waitFor(t, "a waiting request", func() bool { return p.waitingCount() > count })
	return result
}

// The connection that was used last is taken first, of those whose reuseDelay has passed.
func TestPoolTakesLastUsedAvailableConn(t *testing.T) {
	p, _ := newTestPool(t)
	first, second, resting := newConn(t, p, time.Hour), newConn(t, p, time.Hour), newConn(t, p, 0)
	for _, conn := range []*pooledConn{first, second, resting} {
		p.put(conn)
	}
	for i, want := range []*pooledConn{second, first} {
		if got, err := p.get(t.Context()); got != want || err != nil {
			t.Errorf("connection %d: got %p, error %v; want %p", i, got, err, want)
		}
	}
	if !slices.Equal(p.idle, []*pooledConn{resting}) || resting.hasEnded() {
		t.Error("the connection whose reuseDelay has not passed is not kept")
	}
}

// A request that waits for a dial takes a connection that becomes available before; the dialed one is kept for others.
func TestPoolRequestTakesConnThatComesFirst(t *testing.T) {
	p, d := newTestPool(t)
	result := getLater(t, t.Context(), p)
	used, dialed := newConn(t, p, 0), newConn(t, p, time.Hour)
	used.reuseDelay = time.Millisecond
	p.put(used)
	if got := <-result; got.conn != used {
		t.Errorf("got %+v, want the connection that became available", got)
	}
	d.results <- connResult{conn: dialed}
	waitFor(t, "the dialed connection among the idle ones", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return slices.Equal(p.idle, []*pooledConn{dialed})
	})
}

// A request waits for a connection whose reuseDelay has not passed, and no other connection is opened for it. One is
// opened if that connection ends, and for a request that comes while another one waits for it.
func TestPoolRequestWaitsForReuseDelay(t *testing.T) {
	p, d := newTestPool(t)
	resting := newConn(t, p, 0)
	resting.reuseDelay = 10 * time.Millisecond
	p.put(resting)
	if got, err := p.get(t.Context()); got != resting || err != nil {
		t.Errorf("got %p, error %v; want the connection that was used", got, err)
	}
	select {
	case d.results <- connResult{err: errDial}:
		t.Error("a connection was opened although another one was about to be available")
	default:
	}

	resting = newConn(t, p, 0)
	p.put(resting)
	first, second := getLater(t, t.Context(), p), getLater(t, t.Context(), p)
	dialed := []*pooledConn{newConn(t, p, time.Hour), newConn(t, p, time.Hour)}
	d.results <- connResult{conn: dialed[0]}
	if got := <-second; got.conn != dialed[0] {
		t.Errorf("the second request got %+v, want the connection opened for it", got)
	}
	_ = resting.Close()
	d.results <- connResult{conn: dialed[1]}
	if got := <-first; got.conn != dialed[1] {
		t.Errorf("the first request got %+v, want the connection opened as the other one ended", got)
	}
}

// A request gets the error of its own dial only, and only while it waits.
func TestPoolDialError(t *testing.T) {
	p, d := newTestPool(t)
	result := getLater(t, t.Context(), p)
	d.results <- connResult{err: errDial}
	if got := <-result; !errors.Is(got.err, errDial) {
		t.Errorf("got %+v, want the error of the dial", got)
	}
	result = getLater(t, t.Context(), p)
	p.put(newConn(t, p, time.Hour))
	d.results <- connResult{err: errDial}
	if got := <-result; got.err != nil {
		t.Errorf("got the error %v of a dial although a connection was available", got.err)
	}
}

// A request that is canceled leaves the connection of its dial to others, also if it was given one as it was canceled.
func TestPoolCanceledRequest(t *testing.T) {
	p, d := newTestPool(t)
	ctx, cancel := context.WithCancel(t.Context())
	result := getLater(t, ctx, p)
	cancel()
	if got := <-result; !errors.Is(got.err, context.Canceled) {
		t.Errorf("got %+v, want context.Canceled", got)
	}
	other, dialed := getLater(t, t.Context(), p), newConn(t, p, time.Hour)
	d.results <- connResult{conn: dialed}
	if got := <-other; got.conn != dialed {
		t.Errorf("got %+v, want the connection that was dialed for the canceled request", got)
	}

	given := &connRequest{result: make(chan connResult, 1)}
	given.result <- connResult{conn: dialed}
	p.cancel(given)
	if got, err := p.get(t.Context()); got != dialed || err != nil {
		t.Errorf("got %p, error %v; want the connection that the canceled request was given", got, err)
	}
}

// No more available connections are kept than maxIdle, none that has ended, and none beyond idleTimeout.
func TestPoolClosesIdleConns(t *testing.T) {
	p, _ := newTestPool(t)
	conns := []*pooledConn{newConn(t, p, time.Hour), newConn(t, p, time.Hour), newConn(t, p, time.Hour), newConn(t, p, 0)}
	conns[3].reuseDelay = 10 * time.Millisecond
	for _, conn := range conns[:3] {
		p.put(conn)
	}
	if !conns[0].hasEnded() || conns[1].hasEnded() || conns[2].hasEnded() {
		t.Error("want the connection closed that was not used for longest, and two kept")
	}
	p.put(conns[3])
	waitFor(t, "the end of the next connection, as another one becomes available", conns[1].hasEnded)
	_ = conns[2].Close()
	p.mu.Lock()
	if !slices.Equal(p.idle, conns[3:]) {
		t.Errorf("%d idle connections after one has ended, want 1", len(p.idle))
	}
	p.idleTimeout = 10 * time.Millisecond
	p.mu.Unlock()
	another := newConn(t, p, time.Hour)
	p.put(another)
	waitFor(t, "the end of the connections after idleTimeout", func() bool { return conns[3].hasEnded() && another.hasEnded() })
}

// A pool that was closed keeps no connection: neither those it has, nor one in use, nor one that is being dialed.
func TestPoolClose(t *testing.T) {
	p, d := newTestPool(t)
	ctx, cancel := context.WithCancel(t.Context())
	result := getLater(t, ctx, p)
	idle, resting, used, dialed := newConn(t, p, time.Hour), newConn(t, p, 0), newConn(t, p, 0), newConn(t, p, time.Hour)
	cancel()
	<-result
	p.put(idle)
	p.put(resting)
	p.close()
	p.put(used)
	d.results <- connResult{conn: dialed}
	for name, conn := range map[string]*pooledConn{"idle": idle, "resting": resting, "in use": used, "being dialed": dialed} {
		waitFor(t, "the end of the connection that was "+name, conn.hasEnded)
	}
}

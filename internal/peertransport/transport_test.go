package peertransport

import (
	"bytes"
	"net"
	"net/netip"
	"testing"

	"go.uber.org/zap"

	"lemongate/internal/core"
)

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func addressOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// The sender is identified by its address alone. A datagram from an unknown address and one that is too long are posted
// without a sender, so that they are counted and dropped.
func TestTransport(t *testing.T) {
	known, broadcast, unknown := listenUDP(t), listenUDP(t), listenUDP(t)
	self := netip.MustParseAddrPort("127.0.0.1:0")
	events := make(chan core.Event, 8)
	transport, err := Listen(self, []netip.AddrPort{self, addressOf(known)}, addressOf(broadcast), func(ev core.Event) { events <- ev }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = transport.Close() }()
	go transport.Read()
	go transport.Write()
	to := addressOf(transport.conn)

	for _, c := range []struct {
		from *net.UDPConn
		size int
		want int
	}{{known, 256, 1}, {unknown, 10, -1}, {known, 257, -1}, {known, 0, 1}, {known, 2000, -1}} {
		if _, err := c.from.WriteToUDPAddrPort(bytes.Repeat([]byte{9}, c.size), to); err != nil {
			t.Fatal(err)
		}
		if ev := (<-events).(*core.PeerMessageReceived); ev.From != c.want || len(ev.Data) != min(c.size, maxDatagramBytes+1) {
			t.Errorf("datagram of %d bytes was posted with %d bytes from limiter %d, want all bytes up to 257 from %d", c.size, len(ev.Data), ev.From, c.want)
		}
	}

	buf := make([]byte, 300)
	transport.Send(1, make([]byte, maxDatagramBytes+1)) // longer than the platform allows: dropped
	transport.Send(5, []byte("nobody"))                 // no limiter has this number: dropped
	for number, c := range map[int]*net.UDPConn{1: known, -1: broadcast} {
		transport.Send(number, []byte("hello"))
		n, from, err := c.ReadFromUDPAddrPort(buf)
		if err != nil || string(buf[:n]) != "hello" || from != to {
			t.Errorf("datagram to limiter %d: got %q from %v, error %v, want \"hello\" from the transport", number, buf[:n], from, err)
		}
	}
}

func TestListenFails(t *testing.T) {
	if _, err := Listen(addressOf(listenUDP(t)), nil, netip.AddrPort{}, nil, zap.NewNop()); err == nil {
		t.Error("Listen succeeded at an address that another socket uses, want an error")
	}
}

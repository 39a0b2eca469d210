package processharness

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lemongate/internal/gossip"
	"lemongate/internal/lease"
)

// A Net carries the datagrams between limiters, each pair over sockets of its own, and can
// lose, delay, repeat and cut them. It reads of each which life of its sender it is of.
type Net struct {
	t    Host
	real []string         // where the limiters listen
	ways [][]*net.UDPConn // ways[i][j] is where i reaches j, and whence j hears of i is ways[j][i]

	mu     sync.Mutex
	rng    *rand.Rand
	loss   float64
	repeat float64
	late   time.Duration // at most; by chance, so that some overtake others
	cut    map[[2]int]bool
	epochs []map[uint32]int
	passed int
	leases []int // datagrams about leases, by whom they are for
	bytes  int   // in these
}

func newNet(t Host, limiters int) *Net {
	n := &Net{t: t, rng: rand.New(rand.NewPCG(1, 2)), cut: map[[2]int]bool{}}
	for range limiters {
		n.real = append(n.real, freeAddr(t, "udp"))
		n.epochs = append(n.epochs, map[uint32]int{})
		n.leases = append(n.leases, 0)
	}
	for i := range limiters {
		var row []*net.UDPConn
		for range limiters {
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			row = append(row, c)
		}
		n.ways = append(n.ways, row)
		_ = i
	}
	for i := range limiters {
		for j := range limiters {
			if i != j {
				go n.carry(i, j)
			}
		}
	}
	return n
}

// Real is where a limiter listens for its peers, and Seen the peers' addresses as it sees them.
func (n *Net) Real(i int) string { return n.real[i] }

// Seen are the addresses at which a limiter reaches all, its own included.
func (n *Net) Seen(i int) (list []string) {
	for j := range n.real {
		if i == j {
			list = append(list, n.real[i])
		} else {
			list = append(list, n.ways[i][j].LocalAddr().String())
		}
	}
	return list
}

// Bad sets which parts of all datagrams are lost and come twice, and how late they come at most.
func (n *Net) Bad(loss, repeat float64, late time.Duration) {
	n.mu.Lock()
	n.loss, n.repeat, n.late = loss, repeat, late
	n.mu.Unlock()
}

// Cut ends or restores the way from one limiter to another, that way alone.
func (n *Net) Cut(from, to int, is bool) {
	n.mu.Lock()
	n.cut[[2]int{from, to}] = is
	n.mu.Unlock()
}

// Say brings a datagram to a limiter as if another had sent it.
func (n *Net) Say(from, to int, data []byte) {
	n.ways[to][from].WriteToUDP(data, net.UDPAddrFromAddrPort(netip.MustParseAddrPort(n.real[to])))
}

// Epochs tells which lives of a limiter its peers have heard.
func (n *Net) Epochs(i int) (list []uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for e := range n.epochs[i] {
		list = append(list, e)
	}
	return list
}

// Leases tells how many datagrams about leases were for each limiter, and how many bytes in all.
func (n *Net) Leases() (each []int, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.leases), n.bytes
}

// Passed tells how many datagrams were carried.
func (n *Net) Passed() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.passed
}

// carry brings what i says to j: it comes to ways[i][j] and leaves from ways[j][i].
func (n *Net) carry(i, j int) {
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(n.real[j]))
	buf := make([]byte, 2048)
	for {
		size, err := n.ways[i][j].Read(buf)
		if err != nil {
			return
		}
		data := append([]byte(nil), buf[:size]...)
		n.mu.Lock()
		if m, ok := gossip.Parse(data); ok {
			n.epochs[i][m.Epoch]++
		}
		n.passed++
		if lease.IsMessage(data) {
			n.leases[j]++
			n.bytes += len(data)
		}
		times := 1
		if n.rng.Float64() < n.repeat {
			times = 2
		}
		if n.rng.Float64() < n.loss || n.cut[[2]int{i, j}] {
			times = 0
		}
		for range times {
			wait := time.Duration(0)
			if n.late > 0 {
				wait = time.Duration(n.rng.Int64N(int64(n.late)))
			}
			time.AfterFunc(wait, func() { n.ways[j][i].WriteToUDP(data, to) })
		}
		n.mu.Unlock()
	}
}

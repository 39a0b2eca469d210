package processharness

import (
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lemongate/internal/gossip"
	"lemongate/internal/lease"
)

// maxDatagramSize is larger than any datagram of a limiter, in bytes.
const maxDatagramSize = 2048

// direction is the direction of datagrams from one limiter to another.
type direction struct{ from, to int }

// Network relays the datagrams between limiters, over separate sockets for each pair, and can lose, delay, duplicate
// and block them.
type Network struct {
	listen []string // where the limiters listen
	// relays[i][j] is the socket to which limiter i sends datagrams for limiter j. What i sends to j is forwarded from
	// relays[j][i].
	relays [][]*net.UDPConn

	mu        sync.Mutex
	random    *rand.Rand
	loss      float64
	duplicate float64
	maxDelay  time.Duration // delays are random, so that some datagrams overtake others
	blocked   map[direction]bool

	epochs        []map[uint32]bool // by sender
	datagrams     int
	leaseMessages []int // by receiver
	leaseBytes    int
}

// newNetwork starts a network that is closed at the end of the test.
func newNetwork(t Host, limiters int) *Network {
	n := &Network{random: rand.New(rand.NewPCG(1, 2)), blocked: map[direction]bool{}, leaseMessages: make([]int, limiters)}
	for range limiters {
		n.listen = append(n.listen, freeAddr(t, "udp"))
		n.epochs = append(n.epochs, map[uint32]bool{})
	}
	for range limiters {
		n.relays = append(n.relays, openRelays(t, limiters))
	}
	for from := range limiters {
		for to := range limiters {
			if from != to {
				go n.relay(direction{from, to}) // until its socket is closed
			}
		}
	}
	return n
}

// openRelays opens sockets that are closed at the end of the test.
func openRelays(t Host, count int) []*net.UDPConn {
	var relays []*net.UDPConn
	for range count {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() }) // ends its goroutine
		relays = append(relays, conn)
	}
	return relays
}

// ListenAddr returns the address where a limiter listens for its peers.
func (n *Network) ListenAddr(limiter int) string { return n.listen[limiter] }

// PeerAddrs returns the addresses at which a limiter reaches all limiters, itself included.
func (n *Network) PeerAddrs(limiter int) []string {
	var addrs []string
	for to := range n.listen {
		if to == limiter {
			addrs = append(addrs, n.listen[limiter])
		} else {
			addrs = append(addrs, n.relays[limiter][to].LocalAddr().String())
		}
	}
	return addrs
}

// SetQuality sets the fractions of datagrams that are lost and duplicated, and the longest delay.
func (n *Network) SetQuality(loss, duplicate float64, maxDelay time.Duration) {
	n.mu.Lock()
	n.loss, n.duplicate, n.maxDelay = loss, duplicate, maxDelay
	n.mu.Unlock()
}

// Block blocks or unblocks datagrams from one limiter to another, in that direction only.
func (n *Network) Block(from, to int, blocked bool) {
	n.mu.Lock()
	n.blocked[direction{from, to}] = blocked
	n.mu.Unlock()
}

// Inject sends a limiter a datagram as if it came from another one.
func (n *Network) Inject(from, to int, data []byte) { n.deliver(direction{from, to}, data) }

// Epochs returns the epochs that were in the gossip of a limiter.
func (n *Network) Epochs(limiter int) []uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.epochs[limiter]))
}

// LeaseTraffic returns how many lease messages were sent to each limiter, and how many bytes they had in total.
func (n *Network) LeaseTraffic() (messages []int, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.leaseMessages), n.leaseBytes
}

// Datagrams returns how many datagrams were sent.
func (n *Network) Datagrams() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.datagrams
}

// relay forwards the datagrams of one direction until its socket is closed.
func (n *Network) relay(w direction) {
	buffer := make([]byte, maxDatagramSize)
	for {
		size, err := n.relays[w.from][w.to].Read(buffer)
		if err != nil {
			return
		}
		n.transmit(w, slices.Clone(buffer[:size]))
	}
}

// transmit delivers a datagram zero, one or two times, each after a random delay.
func (n *Network) transmit(w direction, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record(w, data)
	copies := 1
	if n.random.Float64() < n.duplicate {
		copies = 2
	}
	if n.random.Float64() < n.loss || n.blocked[w] {
		copies = 0
	}
	for range copies {
		delay := time.Duration(0)
		if n.maxDelay > 0 {
			delay = time.Duration(n.random.Int64N(int64(n.maxDelay)))
		}
		time.AfterFunc(delay, func() { n.deliver(w, data) })
	}
}

// record counts a datagram. The caller holds n.mu.
func (n *Network) record(w direction, data []byte) {
	n.datagrams++
	if message, ok := gossip.Parse(data); ok {
		n.epochs[w.from][message.Epoch] = true
	}
	if lease.IsMessage(data) {
		n.leaseMessages[w.to]++
		n.leaseBytes += len(data)
	}
}

// deliver sends a datagram to its receiver, from the address by which the receiver knows the sender.
func (n *Network) deliver(w direction, data []byte) {
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(n.listen[w.to]))
	_, _ = n.relays[w.to][w.from].WriteToUDP(data, to) // the socket may be closed; datagrams may be lost
}

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
	listen []string // addresses at which the limiters listen, by limiter
	// relays[i][j] is the socket that represents limiter j to limiter i: i sends its datagrams for j to that socket, and
	// receives the datagrams of j from it. What i sends to j is therefore forwarded from relays[j][i].
	relays [][]*net.UDPConn

	mu        sync.Mutex
	random    *rand.Rand
	loss      float64       // fraction of datagrams
	duplicate float64       // fraction of datagrams
	maxDelay  time.Duration // delays are random, so that some datagrams overtake others
	blocked   map[direction]bool

	// What the limiters sent, including datagrams that the network lost or blocked. Duplicates do not count.
	epochs        []map[uint32]bool // epochs in gossip, by sender
	sentDatagrams int
	leaseMessages []int // number of lease messages, by receiver
	leaseBytes    int   // bytes of all lease messages
}

// newNetwork starts a network that is closed when the host ends.
func newNetwork(h Host, limiters int) *Network {
	n := &Network{random: rand.New(rand.NewPCG(1, 2)), blocked: map[direction]bool{}, leaseMessages: make([]int, limiters)}
	for range limiters {
		n.listen = append(n.listen, freeAddr(h, "udp"))
		n.epochs = append(n.epochs, map[uint32]bool{})
	}
	for range limiters {
		n.relays = append(n.relays, openRelays(h, limiters))
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

// openRelays opens sockets that are closed when the host ends.
func openRelays(h Host, count int) []*net.UDPConn {
	var relays []*net.UDPConn
	for range count {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			h.Fatal(err)
		}
		h.Cleanup(func() { _ = conn.Close() }) // ends the goroutine that reads from it
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

// Inject delivers a datagram to one limiter as if another one had sent it, whatever the quality and blocks.
func (n *Network) Inject(from, to int, data []byte) { n.deliver(direction{from, to}, data) }

// Epochs returns the epochs that a limiter stated in its gossip.
func (n *Network) Epochs(limiter int) []uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.epochs[limiter]))
}

// LeaseTraffic returns how many lease messages were sent to each limiter, and their total size in bytes.
func (n *Network) LeaseTraffic() (messages []int, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.leaseMessages), n.leaseBytes
}

// Datagrams returns how many datagrams were sent.
func (n *Network) Datagrams() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sentDatagrams
}

// relay forwards the datagrams of one direction until its socket is closed.
func (n *Network) relay(d direction) {
	buffer := make([]byte, maxDatagramSize)
	for {
		size, err := n.relays[d.from][d.to].Read(buffer)
		if err != nil {
			return
		}
		n.transmit(d, slices.Clone(buffer[:size]))
	}
}

// transmit delivers a datagram zero, one or two times, each after a random delay.
func (n *Network) transmit(d direction, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record(d, data)
	copies := 1
	if n.random.Float64() < n.duplicate {
		copies = 2
	}
	if n.random.Float64() < n.loss || n.blocked[d] {
		copies = 0
	}
	for range copies {
		delay := time.Duration(0)
		if n.maxDelay > 0 {
			delay = time.Duration(n.random.Int64N(int64(n.maxDelay)))
		}
		time.AfterFunc(delay, func() { n.deliver(d, data) })
	}
}

// record counts a datagram, and records the epoch of a gossip message. The caller holds n.mu.
func (n *Network) record(d direction, data []byte) {
	n.sentDatagrams++
	if message, ok := gossip.Parse(data); ok {
		n.epochs[d.from][message.Epoch] = true
	}
	if lease.IsMessage(data) {
		n.leaseMessages[d.to]++
		n.leaseBytes += len(data)
	}
}

// deliver sends a datagram to its receiver, from the address by which the receiver knows the sender.
func (n *Network) deliver(d direction, data []byte) {
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(n.listen[d.to]))
	_, _ = n.relays[d.to][d.from].WriteToUDP(data, to) // an error loses the datagram, for example when the socket is closed
}

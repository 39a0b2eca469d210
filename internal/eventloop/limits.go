package eventloop

import "lemongate/internal/config"

// This file divides the limits of the process, on sockets and memory, among its components.

const (
	// clientConnFraction and backendConnFraction are the fractions of the socket limit for connections of
	// clients and to backends. The rest is for discovery, peers, files, and for sockets that this process
	// has closed and the operating system has not released yet.
	clientConnFraction  = 0.5
	backendConnFraction = 0.25

	// clientMemoryFraction is the fraction of the memory limit for requests and responses of clients.
	clientMemoryFraction = 1.0 / 16
	// idleProcessMemory is the memory of a process without connections. Of the rest of the memory limit each client
	// connection has clientConnMemory at least, and each connection to a backend backendConnMemory.
	idleProcessMemory = 19 << 20
	clientConnMemory  = 64 << 10
	backendConnMemory = 128 << 10

	// clientReceiveBuffer and clientSendBuffer are the system's buffers for each client connection: a few usual requests,
	// and the longest response.
	clientReceiveBuffer = 32 << 10
	clientSendBuffer    = 80 << 10

	// idleConnFraction is the fraction of the socket limit that a limiter keeps as idle connections per backend,
	// at least minIdleConns. All limiters together keep at most maxIdleConnsPerBackendOfTier at a backend, whose
	// room for connections is limited; each limiter keeps at least one.
	idleConnFraction             = 1.0 / 64
	minIdleConns                 = 4
	maxIdleConnsPerBackendOfTier = 128
)

// maxIdleConns returns how many idle connections a limiter keeps per backend.
func maxIdleConns(maxSockets float64, limiters int) int {
	perBackend := max(int(maxSockets*idleConnFraction), minIdleConns)
	return max(min(perBackend, maxIdleConnsPerBackendOfTier/max(limiters, 1)), 1)
}

// maxConns returns how many connections of a kind a limiter keeps open, with a fraction of the sockets and an amount of memory
// for each; 0 for no limit. Where the memory limit is low it has room for fewer than the socket limit allows.
func maxConns(limits config.Limits, socketFraction float64, memoryPerConn int) int {
	bySockets := int(float64(limits.Sockets) * socketFraction)
	if limits.MemoryMB <= 0 {
		return bySockets
	}
	byMemory := max((int(limits.MemoryMB)<<20-idleProcessMemory)/memoryPerConn, 1)
	if bySockets == 0 {
		return byMemory
	}
	return min(bySockets, byMemory)
}

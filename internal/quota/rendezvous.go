package quota

import (
	"cmp"
	"slices"
)

// This file chooses the owners of a customer among the limiters of its set, by rendezvous hashing: every
// limiter gets the same result without a message.

// HoldersOf returns the limiters that have a customer's buckets: of a large set the owner and its backups
// in their order, of a small set all limiters. Its parameters are those of Ledger.Account, and the number
// of limiters in the tier.
func HoldersOf(hash uint32, first, size, limiters int) []int {
	size = min(max(size, 1), limiters)
	if size <= SmallSetSize {
		return rank(hash, first%limiters, size, limiters, size)
	}
	return rank(hash, first%limiters, size, limiters, ownerCount)
}

// rank returns the first n limiters of a set by their scores for a customer, the highest first.
func rank(hash uint32, first, size, limiters, n int) []int {
	type scored struct {
		limiter int
		score   uint64
	}
	all := make([]scored, 0, size)
	for i := range size {
		limiter := (first + i) % limiters
		all = append(all, scored{limiter, Mix64(uint64(hash)<<32 | uint64(limiter))})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	list := make([]int, 0, n)
	for _, s := range all[:min(n, len(all))] {
		list = append(list, s.limiter)
	}
	return list
}

// Mix64 mixes the bits of a number (the finalizer of SplitMix64).
func Mix64(v uint64) uint64 {
	v ^= v >> 30
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 27
	v *= 0x94d049bb133111eb
	return v ^ v>>31
}

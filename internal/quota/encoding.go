package quota

import (
	"math"
	"time"

	"lemongate/internal/gossip"
)

// This file maps amounts to the small integers of gossip messages and back. Levels are rounded down, and
// demand up, so that a peer never assumes more than there is.

// encodeUnits encodes units in gossip.UnitParts.
func encodeUnits(units float64) uint16 {
	return uint16(min(max(units, 0)*gossip.UnitParts, math.MaxUint16))
}

func decodeUnits(parts uint16) float64 { return float64(parts) / gossip.UnitParts }

// roundToParts returns the amount that a message carries for these units.
func roundToParts(units float64) float64 { return decodeUnits(encodeUnits(units)) }

// encodeSigned encodes units that may be below 0, as an int16 in gossip.UnitParts.
func encodeSigned(units float64) uint16 {
	return uint16(int16(min(max(units*gossip.UnitParts, math.MinInt16), math.MaxInt16)))
}

func decodeSigned(parts uint16) float64 { return float64(int16(parts)) / gossip.UnitParts }

func decodeShare(steps uint8) float64 { return float64(steps) / gossip.ShareSteps }

// encodeDemand encodes the demand here relative to the quota's rate.
func (a *Account) encodeDemand(now time.Duration) uint8 {
	relative := a.demandRate(now) / max(a.plan().Quota.Rate, minDivisor)
	return uint8(min(math.Ceil(relative*gossip.DemandSteps), math.MaxUint8))
}

func (a *Account) decodeDemand(steps uint8) float64 {
	return float64(steps) / gossip.DemandSteps * a.plan().Quota.Rate
}

// encodeLevel encodes the level here relative to the quota's burst.
func (a *Account) encodeLevel() int8 {
	return int8(math.Floor(min(max(a.relativeToBurst(a.quotaLevel), -1), 1) * gossip.LevelSteps))
}

func (a *Account) decodeLevel(steps int8) float64 {
	return float64(steps) / gossip.LevelSteps * a.plan().Quota.Burst
}

// relativeToBurst returns a level as a fraction of the quota's burst.
func (a *Account) relativeToBurst(level float64) float64 {
	return level / max(a.plan().Quota.Burst, minDivisor)
}

// encodeTotal encodes the level of the customer's complete quota as far as it is known here.
func (a *Account) encodeTotal() uint8 {
	if !a.totalKnown {
		return gossip.UnknownTotal
	}
	return uint8(a.relativeToBurst(max(a.totalLevel, 0)) * gossip.TotalSteps)
}

func (a *Account) decodeTotal(steps uint8) float64 {
	return float64(steps) / gossip.TotalSteps * a.plan().Quota.Burst
}

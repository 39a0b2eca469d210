package node

import "lemongate/internal/reducer"

type helloOfRelease = helloFrame

func encodeState(x reducer.Inherit) any   { return newStateFrame(x) }
func encodeBegan(x reducer.Began) any     { return newBeganFrame(x) }
func encodeEnded(x reducer.Ended) any     { return newEndedFrame(x) }
func encodeRelayed(x reducer.Relayed) any { return newRelayFrame(x) }
func encodeAnswer(x reducer.Answer) any   { return newReplyFrame(x) }

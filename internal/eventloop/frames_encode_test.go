package eventloop

import "lemongate/internal/core"

type helloOfRelease = helloFrame

func encodeState(x core.HandoverState) any      { return newStateFrame(x) }
func encodeBegan(x core.OpenAttempt) any        { return newBeganFrame(x) }
func encodeEnded(x core.FinishedAttempt) any    { return newEndedFrame(x) }
func encodeRelayed(x core.ForwardedRequest) any { return newRelayFrame(x) }
func encodeAnswer(x core.Respond) any           { return newReplyFrame(x) }

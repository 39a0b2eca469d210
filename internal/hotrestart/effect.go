package hotrestart

// Effect is something that the owner of a Machine has to do, in the order given.
type Effect interface{ effect() }

// The effects.
type (
	// Send sends a message to the other process, and with Transfer the state and the sockets.
	Send struct{ Kind Kind }
	// StopAdmitting stops admitting, before Transfer is sent.
	StopAdmitting struct{}
	// ResumeAdmitting starts to admit again. NewEpoch means that the other process admitted meanwhile.
	ResumeAdmitting struct{ NewEpoch bool }
	// ForwardRequests forwards all requests from now on to the successor, which admits.
	ForwardRequests struct{}
	// StartAdmitting starts to admit by the state that came with Transfer.
	StartAdmitting struct{}
	// RunAlone reports to the owner that the other process is gone or is finishing.
	RunAlone struct{}
	// Finish ends this process once all its open requests have their responses.
	Finish struct{}
	// StartFresh starts without state from a predecessor. Wait means that a predecessor may still
	// have the listening address for a while.
	StartFresh struct{ Wait bool }
	// ConnectPredecessor connects to the predecessor once more; see New.
	ConnectPredecessor struct{}
	// KillOtherProcess kills the other process, which must not admit any more. The end of the link confirms it.
	KillOtherProcess struct{}
	// CloseLink closes the link, after all that was sent before.
	CloseLink struct{}
	// Abort ends this process, which never admitted.
	Abort struct{ Reason string }
)

func (Send) effect()               {}
func (StopAdmitting) effect()      {}
func (ResumeAdmitting) effect()    {}
func (ForwardRequests) effect()    {}
func (StartAdmitting) effect()     {}
func (RunAlone) effect()           {}
func (Finish) effect()             {}
func (StartFresh) effect()         {}
func (ConnectPredecessor) effect() {}
func (KillOtherProcess) effect()   {}
func (CloseLink) effect()          {}
func (Abort) effect()              {}

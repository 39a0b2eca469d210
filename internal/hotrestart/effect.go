package hotrestart

// Effect is an action that the caller of a Machine has to perform, in the order returned.
type Effect interface{ effect() }

// The effects.
type (
	// Send sends a message to the other process; with Transfer also the state and the sockets.
	Send struct{ Kind Kind }
	// StopAdmitting stops admitting, before Transfer is sent.
	StopAdmitting struct{}
	// ResumeAdmitting starts to admit again. NewEpoch means that the other process has admitted in the meantime.
	ResumeAdmitting struct{ NewEpoch bool }
	// ForwardRequests forwards all requests from now on to the successor, which admits.
	ForwardRequests struct{}
	// StartAdmitting starts to admit with the state that was received with Transfer.
	StartAdmitting struct{}
	// RunAlone reports that the other process has ended or is finishing.
	RunAlone struct{}
	// Finish ends this process once all its open requests have got their responses.
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

package hotrestart

// Kind is the kind of a message between the two processes. Its numbers are those of frames on the link.
type Kind uint8

// The kinds of messages, with their senders.
const (
	Hello     Kind = iota // successor: its identity, and the format that it understands; see Machine.SuccessorConnected
	Offer                 // predecessor: prepare to take over
	Deny                  // predecessor: no hot restart; the message carries the reason
	Prepared              // successor: could admit as soon as it has the state
	Transfer              // predecessor: has stopped admitting; carries the state and the sockets
	Adopted               // successor: has the state and the sockets
	Commit                // predecessor: admit; probation begins
	Heartbeat             // successor: is alive and admits
	Withdraw              // predecessor: admits again, or never stopped; start the hot restart again
	Final                 // predecessor: will never admit again; probation ends
	NumKinds              // the number of kinds
)

// String returns the name of a kind. Tests and logs have used these names since 0.8.0.
func (k Kind) String() string {
	return [NumKinds]string{
		Hello:     "hello",
		Offer:     "offer",
		Deny:      "deny",
		Prepared:  "prepared",
		Transfer:  "transfer",
		Adopted:   "taken",
		Commit:    "commit",
		Heartbeat: "beat",
		Withdraw:  "withdraw",
		Final:     "final",
	}[k]
}

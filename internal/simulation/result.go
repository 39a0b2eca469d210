package simulation

// A Result is what came of a run. Units are a customer's, on average, unless
// the name says worst or 99 (over the customers).
type Result struct {
	Asked        float64 `json:"asked"`         // units, first tries
	Due          float64 `json:"due"`           // units that one gateway seeing all first tries would let in
	Inside       float64 `json:"inside"`        // units sent on inside the quota
	Beyond       float64 `json:"beyond"`        // units sent on beyond it
	BeyondWorst  float64 `json:"beyond_worst"`  // units, the customer with most
	Beyond99     float64 `json:"beyond_99"`     // units
	RefusedUnits float64 `json:"refused_units"` // units of tries refused with nothing sent
	RefusedRoom  float64 `json:"refused_room"`  // of these, while over half of the true store was there
	UnderWorst   float64 `json:"under_worst"`   // units that a ceiling's store was below nothing
	Under99      float64 `json:"under_99"`      // units

	Reqs      int `json:"reqs"`
	Served    int `json:"served"`
	Lost      int `json:"lost"`    // without a whole answer, though the limiter lived; of processes alone
	Resent    int `json:"resent"`  // on a new connection, as a kept one had ended; of processes alone
	Doubled   int `json:"doubled"` // keyed reqs that ran twice; of processes alone
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	NoLimiter int `json:"no_limiter"` // tries that found every limiter of their set down
	Fetches   int `json:"fetches"`
	Near      int `json:"near"` // of these, those to a backend of the limiter's own zone
	Dead      int `json:"dead"` // of these, those that came to a backend that is down

	Messages       int     `json:"messages"`
	Bytes          int     `json:"bytes"`
	Dropped        int     `json:"dropped"` // datagrams beyond what a limiter takes in
	MessagesPerReq float64 `json:"messages_per_req"`
	BytesPerReq    float64 `json:"bytes_per_req"`
	CPUPerReq      float64 `json:"cpu_us_per_req"` // of the reducers; the only figure that a seed does not fix

	Wait50 float64 `json:"wait_50_ms"` // from a req's last byte to its first attempt
	Wait99 float64 `json:"wait_99_ms"`

	// Of the first task that is done under a lease.
	Holders       int     `json:"holders"`      // times that it came to another life of a limiter
	Overlaps      int     `json:"overlaps"`     // looks at which two held it
	NoHolder      float64 `json:"no_holder_ms"` // mean time without one, of the times after the first
	NoHolderWorst float64 `json:"no_holder_worst_ms"`
	Acts          int     `json:"acts"`        // attempts that came to backends under it
	TokenFalls    int     `json:"token_falls"` // of these, under a lower token than an earlier one
	Periods       int     `json:"periods"`     // lines of use that count
	UseFaults     int     `json:"use_faults"`  // what these lines say to be missing
	UseTwice      int     `json:"use_twice"`   // periods in two lines
	UseAgain      int     `json:"use_again"`   // lines that count and were written again
	UseOver       float64 `json:"use_over"`    // units in the lines beyond what came to backends
	UseUnder      float64 `json:"use_under"`   // units that came and are in no line, nor on their way there
	Walked        int     `json:"walked"`      // limiters that restarted by a turn and are back
	Walking       int     `json:"walking"`     // those that wait for one or are out, at the end
	LeaseMessages float64 `json:"lease_messages_per_s"`
	LeaseBytes    float64 `json:"lease_bytes_per_s"`
	LeaseBusiest  float64 `json:"lease_busiest_per_s"` // messages to the limiter that gets most

	Breaches int      `json:"breaches"` // of rules
	Broken   []string `json:"broken,omitempty"`
}

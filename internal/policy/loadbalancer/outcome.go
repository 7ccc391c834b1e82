package loadbalancer

// Outcome is the result of an attempt. It tells whether the attempt may have had an effect: a request that must take effect at most once
// is retried only if the attempt provably had none.
type Outcome int

// The outcomes of an attempt.
const (
	Served         Outcome = iota
	Rejected               // by the overloaded server: the attempt did not run
	Failed                 // at the server: the attempt may have run
	ConnectionLost         // before an answer: the attempt may have run
	ConnectFailed          // no connection: the attempt did not run
	TimedOut               // no answer in time: the attempt may have run
	NotSent                // the request was not written completely: the attempt did not run
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

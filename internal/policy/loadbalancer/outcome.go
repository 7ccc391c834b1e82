package loadbalancer

// Outcome is how an attempt ended. What matters of it is whether the attempt may have had an effect: a request that must take effect
// at most once is tried again only on proof that it had none.
type Outcome int

// The outcomes of an attempt.
const (
	Served         Outcome = iota
	Rejected               // by the server, as overloaded: proven that it never ran
	Failed                 // by the server: it may have run
	ConnectionLost         // without an answer: it may have run
	ConnectFailed          // no connection was to be had: proven that it never ran
	TimedOut               // no answer in time: it may have run
	NotSent                // the request was never written whole: proven that it never ran
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

package shardmap

// rule is one of the rules that make moves safe. Only tests disable rules: TestEachRuleIsNeeded checks that the model of a move violates
// an invariant when any one of them is disabled.
type rule uint16

const (
	// ruleEnrolled: a process writes to the map's ranges only once its document under RouterPrefix is in the log and its replica of the
	// shared documents is at least as new as that document (Router.isEnrolled).
	ruleEnrolled rule = 1 << iota
	// ruleAllAcknowledge: a range is copied only once every enrolled process has acknowledged that it needs a write lease
	// (Coordinator.allAcknowledged).
	ruleAllAcknowledge
	// ruleWriteLease: a write to a range in an active move is sent only while the process has a write lease (Router.mayWrite).
	ruleWriteLease
	// ruleFence: a process that has applied a map with a fenced move sends no write to its range (Router.mayWrite).
	ruleFence
	// ruleLeaseFromRequest: a write lease starts when its request was sent (Router.ApplyGrant).
	ruleLeaseFromRequest
	// ruleNewestEpoch: a process accepts a grant only if it has applied the map of the grant's epoch (Router.ApplyGrant).
	ruleNewestEpoch
	// ruleLeaderOnly: a coordinator grants write leases only while it leads (Coordinator.HandleRequest).
	ruleLeaderOnly
	// ruleDrain: the switch waits until every enrolled process has acknowledged the fence, or until all write leases have expired
	// (Coordinator.isDrained).
	ruleDrain
	// ruleFreshWait: a new coordinator waits as if the range had been fenced at the start of its term (Coordinator.BeginTerm).
	ruleFreshWait
	// ruleInFlight: a process acknowledges a fence only once it has no write to the range in flight (Router.acknowledgedEpoch).
	ruleInFlight
	// ruleLateAnswer: an answer that arrives after the write lease has expired is not accepted (Router.IsAnswerValid).
	ruleLateAnswer
	// ruleOneHome: a write is sent only to the home that it was admitted for (Router.sameHome).
	ruleOneHome
	// ruleToken: a step is written with the coordinator's fencing token and only if the stored document has the version that the coordinator
	// knows (session.writeDocument).
	ruleToken
	// ruleActOrder: a Copier executes no instruction that is older than one that it has executed (Instruction.Newer).
	ruleActOrder
)

// disabledRules is a set of rules that are not enforced. The zero value, which is used in production, disables none.
type disabledRules rule

// inForce reports whether a rule is enforced.
func (d disabledRules) inForce(r rule) bool { return rule(d)&r == 0 }

package shardmap

// rule is one of the rules that moves are safe by. The model of a move must find a fault if any of them is disabled; that is what the
// type is for, and tests alone disable rules.
type rule uint16

const (
	// ruleEnrolled: a process writes to the map's ranges only once its document under RouterPrefix is in the log and its replica of the
	// map is as new as that (Router.isEnrolled).
	ruleEnrolled rule = 1 << iota
	// ruleAllAcknowledge: a move is copied only once every enrolled process has acknowledged that it needs a right
	// (Coordinator.allAcknowledged).
	ruleAllAcknowledge
	// ruleRight: a write to a range in a move is sent only while the process has a right (Router.mayWrite).
	ruleRight
	// ruleFence: a process that has seen a fence sends no write to its range (Router.mayWrite).
	ruleFence
	// ruleRightFromRequest: a right counts from when it was requested (Router.ApplyGrant).
	ruleRightFromRequest
	// ruleNewestEpoch: a right is for processes that have seen the epoch at which it was granted (Router.ApplyGrant).
	ruleNewestEpoch
	// ruleLeaderOnly: rights are granted only while the coordinator leads (Coordinator.HandleRequest).
	ruleLeaderOnly
	// ruleDrain: the switch waits for every enrolled process's acknowledgement, or for the end of all rights (Coordinator.isDrained).
	ruleDrain
	// ruleFreshWait: a new coordinator waits as long as if the fence had been put when its term began (Coordinator.BeginTerm).
	ruleFreshWait
	// ruleInFlight: a process acknowledges a fence only once none of its writes to the range is in flight (Router.acknowledgedEpoch).
	ruleInFlight
	// ruleLateAnswer: an answer that arrives after the right has ended is not believed (Router.AnswerCounts).
	ruleLateAnswer
	// ruleOneHome: a request goes to no other home than the one that it was admitted for (Router.sameHome).
	ruleOneHome
	// ruleToken: steps are written with the coordinator's token and the version that it has read (session.writeDocument).
	ruleToken
	// ruleActOrder: a Copier carries out no instruction that is older than one that it has carried out (Instruction.Newer).
	ruleActOrder
)

// disabledRules is a set of rules that are not in force. The zero value, in service, disables none.
type disabledRules rule

// inForce reports whether a rule is not disabled.
func (d disabledRules) inForce(r rule) bool { return rule(d)&r == 0 }

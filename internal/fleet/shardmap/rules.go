package shardmap

// rule is one of the rules that moves are safe by. A model of the move must find a fault where any of them is taken out, which
// is what this type is for: tests alone take rules out.
type rule uint16

const (
	// ruleEnrolled: a process writes to the map's ranges only once its document under Routers is in the log and its copy of the
	// map is as new as that (Router.enrolled).
	ruleEnrolled rule = 1 << iota
	// ruleAllAcknowledge: a move is copied only once every enrolled process has said that it needs a right (Holder.allKnow).
	ruleAllAcknowledge
	// ruleRight: a write to a range under a move is sent only while the process has a right (Router.mayWrite).
	ruleRight
	// ruleFence: a process that has seen a fence sends no write there (Router.mayWrite).
	ruleFence
	// ruleRightFromRequest: a right counts from when it was asked for (Router.Granted).
	ruleRightFromRequest
	// ruleNewestEpoch: a right is for processes that have seen the epoch it was given at (Router.Granted).
	ruleNewestEpoch
	// ruleLeaderOnly: rights are given only in office (Holder.Heard).
	ruleLeaderOnly
	// ruleDrain: the switch waits for every enrolled process's word or the end of its right (Holder.quiet).
	ruleDrain
	// ruleFreshWait: a new holder waits as long as if the fence had been put when it came to office (Holder.Take).
	ruleFreshWait
	// ruleInFlight: a process acknowledges a fence only once none of its writes is under way there (Router.Known).
	ruleInFlight
	// ruleLateAnswer: an answer that comes after the right has ended is not believed (Router.Counts).
	ruleLateAnswer
	// ruleOneHome: a request goes to no other home than the one it came in for (Router.mayWrite).
	ruleOneHome
	// ruleToken: steps are written with the holder's token and the version that it has read (Part.put).
	ruleToken
	// ruleActOrder: whoever copies carries out no act that was told before one that it has carried out (Instruction.Newer).
	ruleActOrder
)

// disabledRules is the set of rules that are taken out; the zero value, in service, takes out none.
type disabledRules rule

func (w disabledRules) inForce(r rule) bool { return rule(w)&r == 0 }

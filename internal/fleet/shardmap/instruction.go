package shardmap

// Act is an operation on a range's data that must succeed before a move can enter its next state.
type Act string

// The acts, in order of the states that need them. Each act may be repeated at any time, also by another coordinator.
const (
	ActNone   Act = ""
	ActCopy   Act = "copy"   // in Copying: copies the range until the target is almost up to date with the source
	ActFence  Act = "fence"  // in Fenced: makes the source reject writes of earlier epochs, in addition to the routers' own checks
	ActFinish Act = "finish" // in Fenced, once drained: copies the rest, so that the target is fully up to date with the source
	ActClose  Act = "close"  // in Switched: makes the source reject all writes permanently, and the target accept writes of this epoch and later ones
)

// Instruction is a request to a Copier to execute an act. Token and Sequence order the instructions of all coordinators. A Copier rejects
// an instruction if it has executed a newer one, because the older one may have been delayed since before the switch.
type Instruction struct {
	Act      Act    `json:"act"`
	Move     Move   `json:"move"`
	Holder   string `json:"holder"` // name of the pooler that coordinates
	Epoch    uint64 `json:"epoch"`  // epoch of the document when the instruction was issued
	Token    uint64 `json:"token"`  // fencing token of the coordinator's lease
	Sequence uint64 `json:"seq"`    // increases with each instruction of a coordinator
}

// Newer reports whether the instruction is newer than last, the last one that was executed, and may therefore be executed. The zero
// Instruction stands for none and is older than all others.
func (i Instruction) Newer(last Instruction) bool {
	return i.Token > last.Token || i.Token == last.Token && i.Sequence > last.Sequence
}

// Step is the next step of a move: either an act to be executed or a document to be written.
type Step struct {
	Move Move
	Act  Act       // the act to be executed, if Next is nil
	Next *Document // the document to be written; nil: Act is to be executed
}

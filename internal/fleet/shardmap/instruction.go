package shardmap

// Act is what the range's data needs before a move's next step.
type Act string

// The acts, by the state in which they are done. Each may be repeated, by another coordinator, at any time.
const (
	ActNone   Act = ""
	ActCopy   Act = "copy"   // copying: bring the target nearly up to the source
	ActFence  Act = "fence"  // fenced: the source refuses writes of earlier epochs, as the second line of defence
	ActFinish Act = "finish" // fenced, and drained: bring the target fully up to the source
	ActClose  Act = "close"  // switched: the source refuses all writes for good, the target accepts those of this epoch or a later one
)

// Instruction is an act as a Copier receives it. Token and Sequence order all instructions of all coordinators. An instruction is refused
// once a newer one has been carried out, as it may have been on its way since before the switch.
type Instruction struct {
	Act      Act    `json:"act"`
	Move     Move   `json:"move"`
	Holder   string `json:"holder"` // the pooler that coordinates
	Epoch    uint64 `json:"epoch"`  // of the document when the instruction was given
	Token    uint64 `json:"token"`
	Sequence uint64 `json:"seq"`
}

// Newer reports whether an instruction may be carried out after another one, or after none (the zero Instruction).
func (i Instruction) Newer(last Instruction) bool {
	return i.Token > last.Token || i.Token == last.Token && i.Sequence > last.Sequence
}

// Step is what is to be done next about a move: an act, or a write of Next.
type Step struct {
	Move Move
	Act  Act
	Next *Document // nil: the act is to be done
}

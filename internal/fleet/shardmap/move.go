package shardmap

import (
	"errors"

	"threadsail/internal/keyrange"
)

// Range is the keys of a range, and its cluster.
type Range = keyrange.Range

// State is how far a move has come. Every transition is one write of the map's document.
type State string

// The states, in their order. Each state before the switch can be followed by Undone; Switched is followed by Done alone.
const (
	Prepared State = "prepared" // routers learn that they need a right to write to the range; writes go on
	Copying  State = "copying"  // all routers know; the range is copied while writes go on under rights
	Fenced   State = "fenced"   // no new writes; the last ones are waited for, and copied
	Switched State = "switched" // the range's home is the target; the source is being closed for good
	Done     State = "done"
	Undone   State = "undone"
)

// nextStates is which state follows which without an undo.
var nextStates = map[State]State{Prepared: Copying, Copying: Fenced, Fenced: Switched, Switched: Done}

func (s State) beforeSwitch() bool { return s == Prepared || s == Copying || s == Fenced }

func (s State) isFinal() bool { return s == Done || s == Undone }

// Move is the move of a range. The range's Cluster is the target.
type Move struct {
	Name        string `json:"name"`
	Range       Range  `json:"range"`
	Source      int    `json:"source"` // cluster
	State       State  `json:"state"`
	SinceEpoch  uint64 `json:"since"`           // at which the state began
	SwitchEpoch uint64 `json:"moved,omitempty"` // 0: not switched
	Reason      string `json:"why,omitempty"`   // why it was undone
}

// Order is a move that the operators order. It names the source, so an order that is repeated much later has no effect.
type Order struct {
	Name   string `json:"name"`
	Range  Range  `json:"range"`  // its Cluster is the target
	Source int    `json:"source"` // cluster
	Undo   bool   `json:"undo,omitempty"`
}

// Errors of Document.Begin.
var (
	errDuplicateMove   = errors.New("shardmap: there has been a move of this name")
	errOverlappingMove = errors.New("shardmap: another move of these keys is under way")
	errWrongSource     = errors.New("shardmap: the keys are not all at home in the move's source")
)

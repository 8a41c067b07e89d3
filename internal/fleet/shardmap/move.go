package shardmap

import (
	"errors"

	"threadsail/internal/keyrange"
)

// Range is a range of keys with the cluster that it is assigned to.
type Range = keyrange.Range

// State is the state of a move. Every transition is one write of the document MapKey.
type State string

// The states, in order. A move in a state before Switched may become Undone instead of entering the next state. A switched move can only
// become Done.
const (
	Prepared State = "prepared" // routers learn that writes to the range need a write lease; writes are accepted
	Copying  State = "copying"  // all routers use write leases; the range is copied while writes are accepted
	Fenced   State = "fenced"   // new writes are rejected; the writes in flight end, and their data is copied
	Switched State = "switched" // the target is the range's home; the source is made to reject all writes permanently
	Done     State = "done"     // the source rejects all writes
	Undone   State = "undone"   // the move was canceled before its switch; the source remains the range's home
)

// nextStates maps each state to the state that follows unless the move is undone.
var nextStates = map[State]State{Prepared: Copying, Copying: Fenced, Fenced: Switched, Switched: Done}

// beforeSwitch reports whether a move in the state is active: routers need a write lease for its range, and it can still be undone.
func (s State) beforeSwitch() bool { return s == Prepared || s == Copying || s == Fenced }

// isFinal reports whether a move in the state is finished.
func (s State) isFinal() bool { return s == Done || s == Undone }

// Move is the move of a range from the cluster Source to the cluster Range.Cluster.
type Move struct {
	Name        string `json:"name"`
	Range       Range  `json:"range"`
	Source      int    `json:"source"` // source cluster
	State       State  `json:"state"`
	SinceEpoch  uint64 `json:"since"`           // epoch at which the state began
	SwitchEpoch uint64 `json:"moved,omitempty"` // epoch of the switch; 0: not switched
	Reason      string `json:"why,omitempty"`   // why the move was undone
}

// Order is the operators' order to move a range, or to undo its move. It names the source, so that an old order that is submitted again
// after later moves has no effect.
type Order struct {
	Name   string `json:"name"`
	Range  Range  `json:"range"`          // its Cluster is the target cluster
	Source int    `json:"source"`         // source cluster
	Undo   bool   `json:"undo,omitempty"` // whether the move is to be undone
}

// Errors of Document.Begin.
var (
	errDuplicateMove   = errors.New("shardmap: a move with this name exists already")
	errOverlappingMove = errors.New("shardmap: another unfinished move includes some of these keys")
	errWrongSource     = errors.New("shardmap: the range is empty, its target is its source, or some of its keys are not assigned to the source")
)

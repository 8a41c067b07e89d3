// Package shardmap decides which cluster a key's requests go to, how a range of keys moves from one cluster to another while
// requests go on, and when a router (a pooler of the fleet) may write to a range.
//
// What it owns: one shared document, Key, with the map and its moves, whose epoch grows by one with every step; a document a
// router, under Routers, that names the process which may write. Whoever holds the duty Duty takes moves on, step by step, each
// step one write of the document that is fenced by its token.
//
// What the caller owes: one process at a time under a pooler's name; servers that answer a write only once it is durable; a
// Copier whose acts can be repeated.
//
// What holds: a write that was answered as served is in its range's home for as long as there is one; a write that may have run
// at one home never runs at another. Each rule that this stands on is one named function; rules.go lists them.
package shardmap

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/keyrange"
)

// Where things stand in the shared documents.
const (
	MapKey       = "shards/map"
	RouterPrefix = "shards/router/" // with a pooler's name behind it: the process that may write
	OrderPrefix  = "shards/order/"  // with a move's name behind it: what the operators ask for
)

// LeaseName is the duty of whoever takes moves on.
const LeaseName lease.Name = "shards/moves"

// maxFinishedMoves bounds the finished moves that the document remembers, so that an order is not carried out twice.
const maxFinishedMoves = 64

// Range is the keys of a range, and its cluster.
type Range = keyrange.Range

// Document is the map and its moves, as they stand at an epoch. The zero Document is no map: everything routes as without one.
type Document struct {
	Epoch  uint64  `json:"epoch"` // grows by one with every step of any move
	Holder string  `json:"holder,omitempty"`
	Ranges []Range `json:"ranges"`
	Moves  []Move  `json:"moves,omitempty"` // those under way, and the last finished ones, in the order of their beginning
}

// parseDocument reads a document; nil is none.
func parseDocument(text []byte) (d Document, err error) {
	if len(text) == 0 {
		return d, nil
	}
	err = json.Unmarshal(text, &d)
	return d, err
}

// encode writes it for the store.
func (d Document) encode() []byte {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(d); err != nil {
		panic(err) // plain values
	}
	return b.Bytes()
}

// Home is the cluster of a key; ok: there is a map.
func (d Document) Home(key string) (cluster int, ok bool) {
	return keyrange.Home(d.Ranges, key)
}

// activeMoveOf is the move under way, before its switch, that a key's range is in.
func (d Document) activeMoveOf(key string) (Move, bool) {
	for _, m := range d.Moves {
		if m.State.beforeSwitch() && m.Range.Holds(key) {
			return m, true
		}
	}
	return Move{}, false
}

// movedSince tells whether a key has changed its home behind an epoch. Requests are far shorter than what keptMoves moves take.
func (d Document) movedSince(key string, epoch uint64) bool {
	return slices.ContainsFunc(d.Moves, func(m Move) bool { return m.SwitchEpoch > epoch && m.Range.Holds(key) })
}

// Move looks a move up by its name.
func (d Document) Move(name string) (Move, bool) {
	if i := d.index(name); i >= 0 {
		return d.Moves[i], true
	}
	return Move{}, false
}

func (d Document) index(name string) int {
	return slices.IndexFunc(d.Moves, func(m Move) bool { return m.Name == name })
}

// hasActiveMove tells whether a move stands before its switch, where routers need a right to write.
func (d Document) hasActiveMove() bool {
	return slices.ContainsFunc(d.Moves, func(m Move) bool { return m.State.beforeSwitch() })
}

// State is how far a move has come. Every step is one write of the document.
type State string

// The states. Undone can follow each state before the switch, and nothing else follows the switch than done.
const (
	Prepared State = "prepared" // every router learns that it needs a lease to write to the range; writes go on
	Copying  State = "copying"  // all know; the range is copied while writes go on under leases
	Fenced   State = "fenced"   // no new write: the last of them are waited for, and copied
	Switched State = "switched" // the range is at home in the target; the source is being closed for good
	Done     State = "done"
	Undone   State = "undone"
)

func (s State) beforeSwitch() bool { return s == Prepared || s == Copying || s == Fenced }

// Move is a range on its way. Cluster of the Range is where it goes.
type Move struct {
	Name        string `json:"name"`
	Range       Range  `json:"range"`
	Source      int    `json:"source"`
	State       State  `json:"state"`
	SinceEpoch  uint64 `json:"since"`           // the epoch at which the state began
	SwitchEpoch uint64 `json:"moved,omitempty"` // the epoch of the switch; 0: not switched
	Reason      string `json:"why,omitempty"`
}

// Order is what the operators ask for. The source is named so that an order that is told again much later does nothing.
type Order struct {
	Name   string `json:"name"`
	Range  Range  `json:"range"` // Cluster: where to
	Source int    `json:"source"`
	Undo   bool   `json:"undo,omitempty"` // give it up, if it stands before its switch
}

// What a document can say to an order.
var (
	errDuplicateMove   = errors.New("there has been a move of this name")
	errOverlappingMove = errors.New("another move of these keys is under way")
	errWrongSource     = errors.New("the keys are not all at home in the move's source")
)

// Begin is the document with an order's move prepared.
func (d Document) Begin(o Order) (Document, error) {
	if d.index(o.Name) >= 0 {
		return d, errDuplicateMove
	}
	if overlapsUnfinishedMove(d, o.Range) {
		return d, errOverlappingMove
	}
	for _, r := range d.Ranges {
		if r.Overlaps(o.Range) && r.Cluster != o.Source {
			return d, errWrongSource
		}
	}
	if len(d.Ranges) == 0 || o.Source == o.Range.Cluster || o.Range.To != "" && o.Range.To <= o.Range.From {
		return d, errWrongSource
	}
	d = d.nextEpoch()
	d.Moves = append(d.Moves, Move{Name: o.Name, Range: o.Range, Source: o.Source, State: Prepared, SinceEpoch: d.Epoch})
	finished := 0
	for _, m := range d.Moves {
		if m.State == Done || m.State == Undone {
			finished++
		}
	}
	d.Moves = slices.DeleteFunc(d.Moves, func(m Move) bool {
		old := finished > maxFinishedMoves && (m.State == Done || m.State == Undone)
		if old {
			finished--
		}
		return old
	})
	return d, nil
}

// overlapsUnfinishedMove is the rule that no key is in two moves before their ends.
func overlapsUnfinishedMove(d Document, r Range) bool {
	return slices.ContainsFunc(d.Moves, func(m Move) bool {
		return m.State != Done && m.State != Undone && m.Range.Overlaps(r)
	})
}

// Advance is the document with a move taken to its next state. The switch puts the range's new home into the map in the same
// step.
func (d Document) Advance(name string) Document {
	i := d.index(name)
	to, ok := map[State]State{Prepared: Copying, Copying: Fenced, Fenced: Switched, Switched: Done}[d.Moves[i].State]
	if !ok {
		return d
	}
	d = d.nextEpoch()
	d.Moves[i].State, d.Moves[i].SinceEpoch = to, d.Epoch
	if to == Switched {
		d.Moves[i].SwitchEpoch = d.Epoch
		d.Ranges = keyrange.Place(d.Ranges, d.Moves[i].Range)
	}
	return d
}

// Undo is the document with a move given up; from the switch on it stays as it is.
func (d Document) Undo(name, why string) Document {
	i := d.index(name)
	if i < 0 || !d.Moves[i].State.beforeSwitch() {
		return d
	}
	d = d.nextEpoch()
	d.Moves[i].State, d.Moves[i].SinceEpoch, d.Moves[i].Reason = Undone, d.Epoch, why
	return d
}

// nextEpoch is a copy at the next epoch.
func (d Document) nextEpoch() Document {
	d.Epoch++
	d.Ranges, d.Moves = slices.Clone(d.Ranges), slices.Clone(d.Moves)
	return d
}

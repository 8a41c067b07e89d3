package shardmap

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"threadsail/internal/keyrange"
)

// maxFinishedMoves is the number of finished moves that the document retains, so that a repeated order does not begin its move again.
const maxFinishedMoves = 64

// Document is the map with its moves at an epoch. Its methods do not modify it: each step returns a new Document. The zero Document
// contains no map; requests are then routed without regard to their keys.
type Document struct {
	Epoch  uint64  `json:"epoch"`            // increases by one with each step of any move
	Holder string  `json:"holder,omitempty"` // name of the pooler that coordinates
	Ranges []Range `json:"ranges"`
	Moves  []Move  `json:"moves,omitempty"` // the unfinished moves and the last finished ones, in the order in which they began
}

// parseDocument decodes a stored document. Empty data decodes to the zero Document.
func parseDocument(data []byte) (Document, error) {
	var d Document
	if len(data) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return Document{}, fmt.Errorf("shardmap: decode document: %w", err)
	}
	return d, nil
}

// encode returns the stored form of the document.
func (d Document) encode() []byte {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(d); err != nil {
		panic(err) // unreachable: a Document consists of numbers and strings only
	}
	return b.Bytes()
}

// Home returns the home cluster of a key. ok is false if there is no map.
func (d Document) Home(key string) (cluster int, ok bool) {
	return keyrange.ClusterOf(d.Ranges, key)
}

// activeMoveOf returns the active move, that is, the one before its switch, whose range contains a key.
func (d Document) activeMoveOf(key string) (Move, bool) {
	for _, m := range d.Moves {
		if m.State.beforeSwitch() && m.Range.Contains(key) {
			return m, true
		}
	}
	return Move{}, false
}

// movedSince reports whether the home of a key has changed after an epoch. The retained moves suffice for that: no request lasts as long as
// maxFinishedMoves moves.
func (d Document) movedSince(key string, epoch uint64) bool {
	return slices.ContainsFunc(d.Moves, func(m Move) bool { return m.SwitchEpoch > epoch && m.Range.Contains(key) })
}

// Move returns the move with a name.
func (d Document) Move(name string) (Move, bool) {
	if i := d.moveIndex(name); i >= 0 {
		return d.Moves[i], true
	}
	return Move{}, false
}

// moveIndex returns the index of the move with a name, or -1 if there is none.
func (d Document) moveIndex(name string) int {
	return slices.IndexFunc(d.Moves, func(m Move) bool { return m.Name == name })
}

// hasActiveMove reports whether a move is active, so that routers need a write lease for its range.
func (d Document) hasActiveMove() bool {
	return slices.ContainsFunc(d.Moves, func(m Move) bool { return m.State.beforeSwitch() })
}

// hasUnfinishedMove reports whether there is a move that is neither done nor undone.
func (d Document) hasUnfinishedMove() bool {
	return slices.ContainsFunc(d.Moves, func(m Move) bool { return !m.State.isFinal() })
}

// Begin returns the document with the move of an order in the state Prepared. It returns errDuplicateMove, errOverlappingMove or
// errWrongSource if the move can't begin.
func (d Document) Begin(order Order) (Document, error) {
	if err := d.checkOrder(order); err != nil {
		return d, err
	}
	next := d.nextEpoch()
	next.Moves = append(next.Moves, Move{Name: order.Name, Range: order.Range, Source: order.Source, State: Prepared, SinceEpoch: next.Epoch})
	next.dropFinishedMoves()
	return next, nil
}

// checkOrder returns the reason why the move of an order can't begin, or nil if it can.
func (d Document) checkOrder(order Order) error {
	if d.moveIndex(order.Name) >= 0 {
		return errDuplicateMove
	}
	if overlapsUnfinishedMove(d, order.Range) {
		return errOverlappingMove
	}
	hasOtherHome := slices.ContainsFunc(d.Ranges, func(r Range) bool { return r.Overlaps(order.Range) && r.Cluster != order.Source })
	emptyRange := order.Range.To != "" && order.Range.To <= order.Range.From
	if hasOtherHome || emptyRange || len(d.Ranges) == 0 || order.Source == order.Range.Cluster {
		return errWrongSource
	}
	return nil
}

// overlapsUnfinishedMove reports whether a range overlaps that of an unfinished move. No key may be in two unfinished moves.
func overlapsUnfinishedMove(d Document, r Range) bool {
	return slices.ContainsFunc(d.Moves, func(m Move) bool { return !m.State.isFinal() && m.Range.Overlaps(r) })
}

// dropFinishedMoves removes the oldest finished moves, so that maxFinishedMoves remain.
func (d *Document) dropFinishedMoves() {
	finished := 0
	for _, m := range d.Moves {
		if m.State.isFinal() {
			finished++
		}
	}
	d.Moves = slices.DeleteFunc(d.Moves, func(m Move) bool {
		if finished <= maxFinishedMoves || !m.State.isFinal() {
			return false
		}
		finished--
		return true
	})
}

// Advance returns the document with a move in its next state. The transition to Switched also assigns the range to the target cluster. A
// move in a final state is left unchanged. Advance panics if there is no move with the name.
func (d Document) Advance(name string) Document {
	i := d.moveIndex(name)
	next, ok := nextStates[d.Moves[i].State]
	if !ok {
		return d
	}
	d = d.nextEpoch()
	m := &d.Moves[i]
	m.State = next
	m.SinceEpoch = d.Epoch
	if next == Switched {
		m.SwitchEpoch = d.Epoch
		d.Ranges = keyrange.Assign(d.Ranges, m.Range)
	}
	return d
}

// Undo returns the document with a move undone for a reason. It returns the document unchanged if there is no move with the name or the
// move has been switched or undone.
func (d Document) Undo(name, reason string) Document {
	i := d.moveIndex(name)
	if i < 0 || !d.Moves[i].State.beforeSwitch() {
		return d
	}
	d = d.nextEpoch()
	m := &d.Moves[i]
	m.State = Undone
	m.SinceEpoch = d.Epoch
	m.Reason = reason
	return d
}

// nextEpoch returns a copy of the document with the epoch increased by one.
func (d Document) nextEpoch() Document {
	d.Epoch++
	d.Ranges = slices.Clone(d.Ranges)
	d.Moves = slices.Clone(d.Moves)
	return d
}

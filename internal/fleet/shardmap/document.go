package shardmap

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"threadsail/internal/keyrange"
)

// maxFinishedMoves bounds the finished moves that the document remembers, so that an order is not carried out twice.
const maxFinishedMoves = 64

// Document is the map and its moves at an epoch. A Document does not change: each step returns another. The zero Document is no map, and
// everything is routed as without one.
type Document struct {
	Epoch  uint64  `json:"epoch"`            // grows by one with every step of any move
	Holder string  `json:"holder,omitempty"` // the pooler that coordinates
	Ranges []Range `json:"ranges"`
	Moves  []Move  `json:"moves,omitempty"` // those under way and the last finished ones, in the order of their beginning
}

// parseDocument decodes a stored document; an empty text is the zero Document.
func parseDocument(text []byte) (Document, error) {
	var d Document
	if len(text) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(text, &d); err != nil {
		return Document{}, fmt.Errorf("shardmap: decode document: %w", err)
	}
	return d, nil
}

// encode encodes the document for the store.
func (d Document) encode() []byte {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(d); err != nil {
		panic(err) // a document holds numbers and strings alone
	}
	return b.Bytes()
}

// Home returns the cluster of a key; ok is false if there is no map.
func (d Document) Home(key string) (cluster int, ok bool) {
	return keyrange.ClusterOf(d.Ranges, key)
}

// activeMoveOf returns the move before its switch that a key is in.
func (d Document) activeMoveOf(key string) (Move, bool) {
	for _, m := range d.Moves {
		if m.State.beforeSwitch() && m.Range.Contains(key) {
			return m, true
		}
	}
	return Move{}, false
}

// movedSince reports whether a key has changed its home after an epoch. A request is far shorter than maxFinishedMoves moves.
func (d Document) movedSince(key string, epoch uint64) bool {
	return slices.ContainsFunc(d.Moves, func(m Move) bool { return m.SwitchEpoch > epoch && m.Range.Contains(key) })
}

// Move returns the move of a name.
func (d Document) Move(name string) (Move, bool) {
	if i := d.index(name); i >= 0 {
		return d.Moves[i], true
	}
	return Move{}, false
}

func (d Document) index(name string) int {
	return slices.IndexFunc(d.Moves, func(m Move) bool { return m.Name == name })
}

// hasActiveMove reports whether a move is before its switch, so that routers need a right to write to its range.
func (d Document) hasActiveMove() bool {
	return slices.ContainsFunc(d.Moves, func(m Move) bool { return m.State.beforeSwitch() })
}

// hasUnfinishedMove reports whether a move is under way, before or after its switch.
func (d Document) hasUnfinishedMove() bool {
	return slices.ContainsFunc(d.Moves, func(m Move) bool { return !m.State.isFinal() })
}

// Begin returns the document with an order's move prepared.
func (d Document) Begin(o Order) (Document, error) {
	if err := d.checkOrder(o); err != nil {
		return d, err
	}
	next := d.nextEpoch()
	next.Moves = append(next.Moves, Move{Name: o.Name, Range: o.Range, Source: o.Source, State: Prepared, SinceEpoch: next.Epoch})
	next.dropFinishedMoves()
	return next, nil
}

// checkOrder returns why an order can't begin.
func (d Document) checkOrder(o Order) error {
	if d.index(o.Name) >= 0 {
		return errDuplicateMove
	}
	if overlapsUnfinishedMove(d, o.Range) {
		return errOverlappingMove
	}
	elsewhere := slices.ContainsFunc(d.Ranges, func(r Range) bool { return r.Overlaps(o.Range) && r.Cluster != o.Source })
	emptyRange := o.Range.To != "" && o.Range.To <= o.Range.From
	if elsewhere || emptyRange || len(d.Ranges) == 0 || o.Source == o.Range.Cluster {
		return errWrongSource
	}
	return nil
}

// overlapsUnfinishedMove is the rule that no key is in two moves before their ends.
func overlapsUnfinishedMove(d Document, r Range) bool {
	return slices.ContainsFunc(d.Moves, func(m Move) bool { return !m.State.isFinal() && m.Range.Overlaps(r) })
}

// dropFinishedMoves drops the oldest finished moves beyond maxFinishedMoves.
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

// Advance returns the document with a move taken to its next state. The switch puts the range's new home into the map in the same step.
func (d Document) Advance(name string) Document {
	i := d.index(name)
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

// Undo returns the document with a move undone. After its switch a move stays as it is.
func (d Document) Undo(name, reason string) Document {
	i := d.index(name)
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

// nextEpoch returns a copy at the next epoch.
func (d Document) nextEpoch() Document {
	d.Epoch++
	d.Ranges = slices.Clone(d.Ranges)
	d.Moves = slices.Clone(d.Moves)
	return d
}

package main

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// register is the shared document as a register: a read returns its value, a write replaces the value that it has read, and a
// write of an unknown result may have been applied or not.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, _ any) []any {
		l, value := input.(documentLine), state.(string)
		switch {
		case l.Message == readMessage && value == l.From, l.Result == resultConflict && value != l.From:
			return []any{value}
		case l.Result == resultOK && value == l.From:
			return []any{l.Value}
		case l.Result == resultUnknown && value == l.From:
			return []any{l.Value, value}
		case l.Result == resultUnknown:
			return []any{value}
		}
		return nil
	},
}

// writes is what documentWriter's lines say was written.
type writes struct {
	values map[uint64]string // of the shared document, by version
	tokens map[uint64]uint64 // of the leader's document, by version
}

// judgeRegister checks that the reads and writes are linearizable, and that the leader's writes come in the order of their
// tokens.
func judgeRegister(t *testing.T, lines []documentLine) writes {
	t.Helper()
	written := writes{values: map[uint64]string{}, tokens: map[uint64]uint64{}}
	counts := map[string]int{}
	var operations []porcupine.Operation
	for _, l := range completed(lines) {
		switch l.Message {
		case readMessage, putMessage:
			counts[l.Message+" "+l.Result]++
			operations = append(operations, registerOperation(l))
			if l.Result == resultOK {
				written.values[l.Version] = l.Value
			}
		case leaderPutMessage:
			counts[l.Message+" "+l.Result]++
			if l.Result == resultOK {
				written.tokens[l.Version] = l.Token
			}
		}
	}
	t.Log(counts)
	if got := porcupine.CheckOperationsTimeout(register.ToModel(), operations, 30*time.Second); got != porcupine.Ok {
		t.Errorf("%d reads and writes are %s as a register", len(operations), got)
	}
	versions := make([]uint64, 0, len(written.tokens))
	for v := range written.tokens {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	if !slices.IsSortedFunc(versions, func(a, b uint64) int { return int(written.tokens[a]) - int(written.tokens[b]) }) {
		t.Errorf("a leader's write came after one of a newer token: %v", written.tokens)
	}
	return written
}

// completed returns the lines with a put of unknown result for each that was begun and not ended: its pooler was killed.
func completed(lines []documentLine) []documentLine {
	ended := map[string]bool{}
	for _, l := range lines {
		ended[l.Value] = ended[l.Value] || l.Message == putMessage
	}
	all := slices.Clone(lines)
	for i, l := range all {
		if l.Message == putBegunMessage && !ended[l.Value] {
			all[i].Message = putMessage
			all[i].Result = resultUnknown
		}
	}
	return all
}

// registerOperation is a line as an operation on the register; a write of an unknown result may be applied at any time later.
func registerOperation(l documentLine) porcupine.Operation {
	ended := l.Ended
	if l.Result == resultUnknown {
		ended = math.MaxInt64
	}
	return porcupine.Operation{ClientId: l.Pooler, Input: l, Output: l, Call: l.Began, Return: ended}
}

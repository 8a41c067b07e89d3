package judge

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// RowOp is what a client asked of one row, in a class that sees every write before it, and what it was told.
type RowOp struct {
	Client       int
	Key          string
	Write        bool
	Value        string // written, or read
	Began, Ended time.Time
	Outcome      Outcome // a refused one has not run; of any other that was not served nobody knows
}

// rows is a register: what has no answer may take effect at any time, or never.
var rows = porcupine.Model{
	Partition: func(ops []porcupine.Operation) (out [][]porcupine.Operation) {
		at := map[string]int{}
		for _, op := range ops {
			key := op.Input.(RowOp).Key
			if _, ok := at[key]; !ok {
				at[key] = len(out)
				out = append(out, nil)
			}
			out[at[key]] = append(out[at[key]], op)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(RowOp)
		if op.Write {
			return true, op.Value
		}
		return state == op.Value, state
	},
}

// Rows tells whether what clients were told of rows is what one copy of them could have told, within a time; unknown: it ran out.
func Rows(ops []RowOp, within time.Duration) (fine, unknown bool) {
	var history []porcupine.Operation
	for _, op := range ops {
		end := op.Ended.UnixNano()
		switch {
		case op.Outcome == Refused || op.Outcome != Served && !op.Write:
			continue
		case op.Outcome != Served:
			end = math.MaxInt64
		}
		history = append(history, porcupine.Operation{ClientId: op.Client, Input: op, Call: op.Began.UnixNano(), Return: end})
	}
	got := porcupine.CheckOperationsTimeout(rows, history, within)
	return got == porcupine.Ok, got == porcupine.Unknown
}

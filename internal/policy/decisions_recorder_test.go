package policy_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"time"
)

// The kinds of record. Their numbers are part of the recorded digests: they never change, and a new kind is added at the end.
const (
	recordAttempt = iota + 1
	recordRefuse
	recordFail
	recordCancel
	recordProbe
	recordSetTimer
	recordCloseIdle
	recordWatch
	recordPrimary
	recordLog
	recordStillFits
	recordAvoids
	recordRetune
	recordValidate
	recordKinds
)

// recorder digests the sequence of records of one script. A record is the clock, its kind and integers; texts never enter it.
type recorder struct {
	sum     hash.Hash
	records int
	kinds   [recordKinds]int
	trace   *bufio.Writer // every record as a line of integers; nil for none
}

func newRecorder(trace *bufio.Writer) *recorder { return &recorder{sum: sha256.New(), trace: trace} }

func (r *recorder) add(clock time.Duration, kind int, values ...int64) {
	r.records++
	r.kinds[kind]++
	buffer := make([]byte, 0, 64)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(clock))
	buffer = append(buffer, byte(kind), byte(len(values)))
	for _, value := range values {
		buffer = binary.LittleEndian.AppendUint64(buffer, uint64(value))
	}
	r.sum.Write(buffer)
	if r.trace != nil {
		_, _ = fmt.Fprintln(r.trace, int64(clock), kind, values) // an error stays until Flush
	}
}

// checkpoint is the digest of all records so far.
func (r *recorder) checkpoint() checkpoint {
	return checkpoint{records: r.records, digest: hex.EncodeToString(r.sum.Sum(nil))}
}

// checkpoint is how far a script has come, and the digest up to there.
type checkpoint struct {
	records int
	digest  string
}

func integer(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}

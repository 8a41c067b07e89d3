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

// The kinds of records. Their numbers are part of the recorded digests: they must not change, and a
// new kind is added at the end.
const (
	recordAttempt = iota + 1
	recordReject
	recordFail
	recordCancelAttempt
	recordProbe
	recordSetTimer
	recordCloseIdleConnections
	recordWatchList
	recordPrimaryChanged
	recordLog
	recordMayStillSend
	recordAvoids
	recordUpdateSettings
	recordValidate
	recordKinds
)

// recorder computes a digest of the sequence of records of one script. A record consists of the
// time, its kind and integers. Texts are not recorded.
type recorder struct {
	sum     hash.Hash
	records int
	kinds   [recordKinds]int
	trace   *bufio.Writer // receives each record as a line of integers; nil for none
}

func newRecorder(trace *bufio.Writer) *recorder { return &recorder{sum: sha256.New(), trace: trace} }

// add adds a record to the digest and the trace.
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
		_, _ = fmt.Fprintln(r.trace, int64(clock), kind, values) // Flush returns the error
	}
}

// checkpoint returns the number and the digest of all records so far.
func (r *recorder) checkpoint() checkpoint {
	return checkpoint{records: r.records, digest: hex.EncodeToString(r.sum.Sum(nil))}
}

// checkpoint is the number of records up to a point of a script, and their digest.
type checkpoint struct {
	records int
	digest  string
}

// integer returns 1 for true and 0 for false.
func integer(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}

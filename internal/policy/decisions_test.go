package policy_test

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"threadsail/internal/policy"
)

const digestFile = "testdata/decisions.sha256"

var (
	recordDigests = flag.Bool("record-decisions", false,
		"overwrite the recorded digests of all decisions; a changed digest is a changed decision")
	traceDir = flag.String("trace-decisions", "",
		"write every record as a line of integers into `directory`")
)

// TestDecisions runs long seeded scripts against simulated servers and compares digests of all
// actions of the router, with their times, with the recorded ones. A refactoring must not change
// any decision. To find the first difference, run the test with -trace-decisions on both versions
// and compare the files.
func TestDecisions(t *testing.T) {
	recorded := readDigests(t)
	for _, script := range scripts() {
		compareRun(t, script.name, recorded, script.run)
	}
	compareRun(t, "sessions", recorded, runSessions)
	compareRun(t, "validate", recorded, runValidate)
}

// compareRun runs one script as a subtest. The subtests run in parallel, except while digests are
// recorded, which appends them in order.
func compareRun(t *testing.T, name string, recorded map[string]checkpoint,
	run func(*recorder) ([]checkpoint, error)) {
	t.Run(name, func(t *testing.T) {
		if !*recordDigests {
			t.Parallel()
		}
		checkpoints := play(t, name, run)
		if *recordDigests {
			writeDigests(t, name, checkpoints)
			return
		}
		compare(t, name, recorded, checkpoints)
	})
}

// play runs a script and returns its checkpoints. With -trace-decisions it also writes a trace.
func play(t *testing.T, name string, run func(*recorder) ([]checkpoint, error)) []checkpoint {
	recorder := newRecorder(nil)
	if *traceDir != "" {
		file, err := os.Create(filepath.Join(*traceDir, name+".trace"))
		if err != nil {
			t.Fatal(err)
		}
		defer closeFile(t, file)
		recorder.trace = bufio.NewWriter(file)
		defer func() {
			if err := recorder.trace.Flush(); err != nil {
				t.Error(err)
			}
		}()
	}
	checkpoints, err := run(recorder)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("records by kind: %v", recorder.kinds)
	return checkpoints
}

// compare fails the test at the first checkpoint that differs from the recorded one. The first
// difference lies between that checkpoint and the one before.
func compare(t *testing.T, name string, recorded map[string]checkpoint, checkpoints []checkpoint) {
	for i, got := range checkpoints {
		if want := recorded[checkpointName(name, i)]; got != want {
			t.Fatalf("checkpoint %d of %d: %d records with digest %.12s, recorded were %d with %.12s",
				i+1, len(checkpoints), got.records, got.digest, want.records, want.digest)
		}
	}
}

// closeFile closes a file and reports an error as a failure of the test.
func closeFile(t *testing.T, file *os.File) {
	t.Helper()
	if err := file.Close(); err != nil {
		t.Error(err)
	}
}

// checkpointName returns the name of a checkpoint in the file of digests.
func checkpointName(script string, number int) string { return fmt.Sprintf("%s/%d", script, number+1) }

// readDigests returns the recorded checkpoints by name. Each line of the file holds a checkpoint's
// name, number of records and digest. With -record-decisions it truncates the file instead.
func readDigests(t *testing.T) map[string]checkpoint {
	if *recordDigests {
		if err := os.WriteFile(digestFile, nil, 0o644); err != nil {
			t.Fatal(err)
		}
		return nil
	}
	text, err := os.ReadFile(digestFile)
	if err != nil {
		t.Fatal(err)
	}
	recorded := map[string]checkpoint{}
	for line := range strings.Lines(string(text)) {
		var name string
		var c checkpoint
		if _, err := fmt.Sscanf(line, "%s %d %s", &name, &c.records, &c.digest); err != nil {
			t.Fatalf("%s: %q: %v", digestFile, line, err)
		}
		recorded[name] = c
	}
	return recorded
}

// writeDigests appends a script's checkpoints to the file of digests.
func writeDigests(t *testing.T, script string, checkpoints []checkpoint) {
	file, err := os.OpenFile(digestFile, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer closeFile(t, file)
	var lines strings.Builder
	for i, c := range checkpoints {
		fmt.Fprintf(&lines, "%s %d %s\n", checkpointName(script, i), c.records, c.digest)
	}
	if _, err := file.WriteString(lines.String()); err != nil {
		t.Fatal(err)
	}
}

// runSessions lets more sessions write than the router tracks, and sends reads of early, recent and
// unknown sessions.
func runSessions(recorder *recorder) ([]checkpoint, error) {
	quietScript := &script{name: "sessions", seed: 14, groups: 1, positionsInReports: true,
		positionsInAnswers: true, rolesInAnswers: true,
		change: func(s *policy.Settings) { s.TrackSessions, s.MaxAttempts = true, 2 }}
	s, err := newSimulation(quietScript, recorder)
	if err != nil {
		return nil, err
	}
	s.addServer(policy.Member{Group: 1, State: policy.Ready, Primary: true})
	s.addServer(policy.Member{Group: 1, State: policy.Ready})
	s.servers[0].slowdown, s.servers[1].slowdown = 0, 0
	s.servers[1].lag = 4 * time.Second // more than the time in which all tracked sessions are replaced
	s.router.HandleList(s.clock, policy.ListFull, s.memberList())
	// starts the probe round that finds the primary
	s.submit(classLatest, policy.Request{Group: 1, Timeout: time.Second})
	s.runUntil(s.clock + time.Second)
	const sessions = 3 << 16
	var checkpoints []checkpoint
	for session := uint64(1); session <= sessions; session++ {
		s.answerAtOnce(s.submit(classNotIdempotent, policy.Request{Group: 1, Sessions: []uint64{session},
			Timeout: time.Second}))
		if session%32 == 0 {
			s.runUntil(s.clock + 2*millisecond)
		}
		if session%512 == 0 {
			for _, reader := range []uint64{session, session - 300, session / 2, session / 4, 1 << 40} {
				s.submit(classSession, policy.Request{Group: 1, Sessions: []uint64{reader}, Timeout: time.Second})
			}
		}
		if session%(sessions/4) == 0 {
			checkpoints = append(checkpoints, recorder.checkpoint())
		}
	}
	return checkpoints, nil
}

// answerAtOnce ends all attempts of a request with OK at once, rather than after a simulated
// execution.
func (s *simulation) answerAtOnce(request *modelRequest) {
	for _, attempt := range request.attempts {
		s.endAttempt(attempt, policy.OK)
	}
}

// runValidate records which of many settings Validate and New reject.
func runValidate(recorder *recorder) ([]checkpoint, error) {
	for _, change := range settingsToValidate() {
		settings := (&script{}).settings()
		change(&settings)
		recorder.add(0, recordValidate, integer(settings.Validate() == nil))
		_, err := policy.New(settings, 1, nil)
		recorder.add(0, recordValidate, integer(err == nil))
	}
	return []checkpoint{recorder.checkpoint()}, nil
}

// settingsToValidate returns changes that set each validated field to values on both sides of its
// limits.
func settingsToValidate() []func(*policy.Settings) {
	var changes []func(*policy.Settings)
	for _, number := range []int{-1, 0, 1} {
		duration := time.Duration(number)
		changes = append(changes,
			func(s *policy.Settings) { s.Poolers = number }, func(s *policy.Settings) { s.PoolerIndex = number },
			func(s *policy.Settings) { s.Zone = number }, func(s *policy.Settings) { s.MaxAttempts = number },
			func(s *policy.Settings) { s.StaleReadWait = duration },
			func(s *policy.Settings) { s.MaxRetryAfter = duration },
			func(s *policy.Settings) { s.MaxPollInterval = duration },
			func(s *policy.Settings) { s.EventInterval = duration },
			func(s *policy.Settings) { s.DrainGracePeriod = duration },
			func(s *policy.Settings) { s.SlowStartDuration = duration },
			func(s *policy.Settings) { s.OverloadInterval = duration },
			func(s *policy.Settings) { s.Classes[0].MaxStaleness = duration },
			func(s *policy.Settings) { s.Classes[1].DedupWindow = duration },
			func(s *policy.Settings) { s.Classes[2].LatencyObjective = duration },
			func(s *policy.Settings) { s.Classes[3].TotalTimeout = duration })
	}
	for _, share := range []float64{-0.01, 0, 1, 1.01} {
		changes = append(changes, func(s *policy.Settings) { s.SlowStartCapacity = share },
			func(s *policy.Settings) { s.OverloadFactor = share },
			func(s *policy.Settings) { s.Classes[4].PriorityWeight = share })
	}
	for number := range uint8(6) {
		changes = append(changes, func(s *policy.Settings) { s.StaleReads = policy.StaleReadHandling(number) },
			func(s *policy.Settings) { s.Classes[5].Access = policy.Access(number) },
			func(s *policy.Settings) { s.Classes[5].Idempotency = policy.Idempotency(number) },
			func(s *policy.Settings) { s.Classes[5].DedupScope = policy.DedupScope(number) })
	}
	return changes
}

package shardmap

import (
	"context"
	"time"

	"threadsail/internal/fleet/replication"
)

// withdrawTimeout bounds how long a pooler that ends waits for the voters to know.
const withdrawTimeout = 500 * time.Millisecond

// enroll writes this process's document, and again if the operators have retired the process though it runs. A document that names a
// later process stays, and this process sends no more writes. When ctx ends the document is deleted, so that no move waits for a pooler
// that was stopped in order.
func (s *session) enroll(ctx context.Context) {
	defer s.withdraw(ctx)
	enrolled := false
	for ctx.Err() == nil {
		changed := s.runtime.View.Changed()
		version, written, err := s.writeEnrollment(ctx, !enrolled)
		if written {
			enrolled = true
			s.router.SetEnrolled(version)
			s.runtime.Log.Info().Uint64("version", version).Msg("shardmap: enrolled")
			notify(s.routerWake)
		}
		var retryAfter time.Duration
		if err != nil {
			retryAfter = s.options.Term / requestsPerTerm
		}
		s.waitUntilRetired(ctx, enrolled, changed, retryAfter)
	}
}

// writeEnrollment writes this process's document if that is wanted: at the first time, and whenever there is no document. written reports
// whether it was written, at a version.
func (s *session) writeEnrollment(ctx context.Context, first bool) (version uint64, written bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Term)
	defer cancel()
	key := RouterPrefix + s.options.Name
	stored, err := s.runtime.Store.Read(ctx, key)
	if err != nil {
		return 0, false, err
	}
	if !first && stored.Version != 0 {
		return 0, false, nil
	}
	version, err = s.runtime.Store.Put(ctx, key, stored.Version, []byte(s.router.Instance), replication.Fence{})
	return version, err == nil, err
}

// waitUntilRetired waits until this process's document is gone from the replica, for no longer than retryAfter (0: without end), or until
// ctx ends. It logs if another process has enrolled under this pooler's name.
func (s *session) waitUntilRetired(ctx context.Context, enrolled bool, changed <-chan struct{}, retryAfter time.Duration) {
	var retry <-chan time.Time
	if retryAfter > 0 {
		timer := time.NewTimer(retryAfter)
		defer timer.Stop()
		retry = timer.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-retry:
			return
		case <-changed:
		}
		changed = s.runtime.View.Changed()
		stored, ok := s.runtime.View.Get(RouterPrefix + s.options.Name)
		if enrolled && !ok && s.runtime.View.Version() > 0 {
			return
		}
		if other := string(stored.Value); enrolled && ok && other != s.router.Instance {
			s.logOnce(other, func() {
				s.runtime.Log.Warn().Str("other", other).
					Msg("shardmap: another process has enrolled under this name; this one takes no writes of mapped keys")
			})
		}
	}
}

// withdraw ends the enrollment when ctx has ended.
func (s *session) withdraw(ctx context.Context) {
	s.router.Withdraw() // first: a process that is not waited for must not write
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(s.options.Term/4, withdrawTimeout))
	defer cancel()
	key := RouterPrefix + s.options.Name
	stored, err := s.runtime.Store.Read(ctx, key)
	if err == nil && string(stored.Value) == s.router.Instance {
		// If this fails, the next move waits for the process until another enrolls under the name or the operators retire it.
		_, _ = s.runtime.Store.Put(ctx, key, stored.Version, nil, replication.Fence{})
	}
}

package shardmap

import (
	"context"
	"time"

	"threadsail/internal/fleet/replication"
)

// withdrawTimeout is the maximum time for which a pooler delays its exit to delete its document.
const withdrawTimeout = 500 * time.Millisecond

// enroll writes this process's router document, and writes it again if the operators retire the process although it is running. It does
// not replace the document of a later process with the same name; this process then sends no more writes. When ctx ends, enroll deletes
// the document, so that no move waits for a pooler that has shut down cleanly.
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

// writeEnrollment writes this process's router document if first is true or if no document is stored. It returns the version of the
// document and whether it was written.
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

// waitUntilRetired blocks until this process's document has been deleted from the replica, retryAfter has passed (0: no limit) or ctx has
// ended. It logs a warning if another process has enrolled under this pooler's name.
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
					Msg("shardmap: another process has enrolled under this pooler's name; this process rejects writes of mapped keys")
			})
		}
	}
}

// withdraw ends the enrollment and deletes this process's document. It is called when ctx has ended.
func (s *session) withdraw(ctx context.Context) {
	s.router.Withdraw() // first, because moves do not wait for this process once the document is deleted
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(s.options.Term/4, withdrawTimeout))
	defer cancel()
	key := RouterPrefix + s.options.Name
	stored, err := s.runtime.Store.Read(ctx, key)
	if err == nil && string(stored.Value) == s.router.Instance {
		// If this fails, the next move waits for this process until another process enrolls under the name or the operators retire it.
		_, _ = s.runtime.Store.Put(ctx, key, stored.Version, nil, replication.Fence{})
	}
}

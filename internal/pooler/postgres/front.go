// Package pgside joins PostgreSQL's protocol to the core: a front that takes clients' requests in, and a backend
// that takes attempts to servers.
package postgres

import (
	"math/rand/v2"
	"strings"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/translate"
	"threadsail/internal/transport"
)

const (
	maxPipelinedCommands = 64      // commands of one client under way; it is cut off beyond
	maxHeldBytes         = 1 << 20 // bytes of answers that wait for an earlier one
)

// Statement is the payload of a request: what the client sent, and its comment.
// ListenFunc opens a listener that hands each accepted connection to accept.
type ListenFunc func(accept func(*transport.Conn)) (*transport.Listener, error)

type Statement struct {
	Text    string
	Comment comment.Comment
	epoch   uint64
}

// Stamp is documented with routing.Stamped.
func (s *Statement) Stamp(epoch uint64) { s.epoch = epoch }

// Frontend takes clients in. All of it runs on the core's loop.
type Frontend struct {
	loop           *dispatch.EventLoop
	dispatcher     *dispatch.Dispatcher
	listener       *transport.Listener
	limiter        *connlimit.Limiter
	sessions       map[*session]bool
	requestIDs     map[string]bool // of open requests
	draining       bool            // each client goes behind its next answer
	closing        bool            // no new clients are taken, and all are to go
	clientArrived  bool            // a client has come since the last look
	lastProcessID  uint32
	sessionsByKey  map[pgwire.Key]*session
	checkStatement func(text string, group int) error
}

// Listen starts a front for the clients that a door lets in; listen opens its socket, and fit tells why a statement can't be taken
// by all servers of a group.
func Listen(loop *dispatch.EventLoop, listen ListenFunc, core *dispatch.Dispatcher,
	d *connlimit.Limiter, fit func(text string, group int) error) (*Frontend, error) {
	f := &Frontend{loop: loop, dispatcher: core, limiter: d, checkStatement: fit, sessions: map[*session]bool{}, requestIDs: map[string]bool{}, sessionsByKey: map[pgwire.Key]*session{}}
	ln, err := listen(f.accept)
	f.listener = ln
	return f, err
}

// Addr is where it listens.
func (f *Frontend) Addr() string { return f.listener.Addr() }

// Drain takes no new clients, and closes each that there is behind its next answer.
func (f *Frontend) Drain() {
	f.draining = true
	f.listener.Close()
}

// CloseClients closes a share of the clients, from 0 to 1 (all), each between two requests: those that are idle now, and the others
// behind an answer. It is called again and again while the program ends. Once all are to go and no more come it takes no new
// ones. Of a client that never stops sending no more is read then than has been. empty: all have gone, and none can come.
func (f *Frontend) CloseClients(share float64) (empty bool) {
	f.limiter.SetDisconnectShare(share)
	if share >= 1 && !f.closing && !f.clientArrived && !f.listener.Pending() {
		f.closing = true
		f.Drain()
	}
	f.clientArrived = false
	for s := range f.sessions {
		s.closeIfDue(false)
	}
	return f.closing && len(f.sessions) == 0
}

// Terminate gives what is still open its final answer, a failure, and closes all clients: there is no more time.
func (f *Frontend) Terminate() {
	f.Drain()
	for s := range f.sessions {
		if len(s.slots) == 0 || !s.slots[0].relayStarted() { // no word fits into the middle of an answer
			s.conn.Write(s.failAll())
		}
		s.finish()
	}
}

func (f *Frontend) accept(c *transport.Conn) {
	s := &session{frontend: f, conn: c}
	c.SetHandler(s)
	f.sessions[s], f.clientArrived = true, true
	if s.admission = f.limiter.Admit(s); s.admission == nil {
		s.Evict() // with no error, as its first query may be on the way
	}
}

// session is one client's connection. Answers go out in the order of its commands.
type session struct {
	frontend            *Frontend
	conn                *transport.Conn
	admission           *connlimit.Admission // nil: there was no room
	input               []byte
	started             bool
	cancelKey           pgwire.Key // by which the client cancels
	requested           bool       // a request has come
	failedBeforeRequest bool       // a command has met an error: alone that is no reason to stay
	skipToSync          bool       // after an error in an extended query: until its Sync
	slots               []*slot
	heldBytes           int  // bytes in slots
	reading             bool // commands that have come are being taken in
	paused              bool // no more of them are read
	quitting            bool // it goes behind the last answer that it is owed
}

// slot is a command whose answer is due.
type slot struct {
	session   *session
	requestID string // of its request; empty: it needs no server
	request   *dispatch.OpenRequest
	answered  bool
	answer    []byte
	relay     *relay // of a long answer
}

func (s *session) Closed(error) {
	delete(s.frontend.sessions, s)
	delete(s.frontend.sessionsByKey, s.cancelKey)
	if s.admission != nil {
		s.admission.Release()
	}
	for _, w := range s.slots {
		w.abandon()
	}
}

// Quiet tells the door that nothing has come that was not seen.
func (s *session) Quiet() bool { return s.conn.Quiet() }

// Evict closes a client for the door.
func (s *session) Evict() {
	s.conn.Reset()
	s.Closed(nil)
}

// ClientDisconnected ends a client's session if it has closed its connection, also where its close has not been read yet.
func (w *slot) ClientDisconnected() bool {
	s := w.session
	if !s.conn.PeerDisconnected() {
		return false
	}
	if s.frontend.sessions[s] {
		s.conn.Close()
		s.Closed(nil)
	}
	return true
}

// updateState tells the door what the client is about.
func (s *session) updateState() {
	state := connlimit.Idle
	switch {
	case len(s.slots) > 0:
		state = connlimit.Active
	case !s.started || s.failedBeforeRequest && !s.requested:
		state = connlimit.Connecting
	case len(s.input) > 0:
		state = connlimit.Receiving
	}
	s.admission.SetState(state, len(s.input))
}

func (s *session) finish() {
	if s.frontend.sessions[s] {
		s.conn.Finish()
		s.Closed(nil)
	}
}

// fatal answers what can't be understood and closes at once: the framing may be lost. Commands that came before it and
// still wait get their final answer first, a failure: none may end without one.
func (s *session) fatal(code, text string) {
	if len(s.slots) > 0 && s.slots[0].relayStarted() { // no word fits into the middle of an answer
		s.finish()
		return
	}
	s.conn.Write(pgwire.AppendError(s.failAll(), "FATAL", code, text, ""))
	s.finish()
}

// failAll is the final answers of all commands that still wait: failures.
func (s *session) failAll() (out []byte) {
	for _, w := range s.slots {
		if !w.answered {
			w.abandon()
			w.answer = pgwire.AppendReady(appendFailure(nil))
		}
		out = append(out, w.answer...)
	}
	s.slots = nil
	return out
}

// closeIfDue closes the client if it is to go and this is between two requests: all that has come has its answer. behind: it has
// just got one.
func (s *session) closeIfDue(behind bool) {
	switch {
	case !s.frontend.sessions[s] || s.reading || !s.admission.ShouldDisconnect() && !(behind && s.frontend.draining):
	case len(s.slots) > 0:
		if s.frontend.closing && !s.Quiet() { // it sends on before it has its answers, and would for good
			s.paused = true
			s.conn.Pause(true)
		}
	case len(s.input) == 0 && s.Quiet():
		s.finish()
	case s.paused && s.conn.AllDelivered():
		s.finish()
	}
}

func (s *session) Data(at time.Duration, b []byte) {
	s.input = append(s.input, b...)
	s.reading = true
	rest := s.input
	for s.frontend.sessions[s] && !s.quitting {
		n, ok := s.nextMessage(at, rest)
		if !ok || n == 0 {
			break
		}
		rest = rest[n:]
	}
	if len(rest) == 0 || s.quitting {
		s.input = nil // idle clients hold no memory
	} else {
		s.input = append([]byte(nil), rest...)
	}
	s.reading = false
	s.updateState()
	s.closeIfDue(true)
}

// nextMessage takes one message off b.
func (s *session) nextMessage(at time.Duration, b []byte) (int, bool) {
	if !s.started {
		code, n, err := pgwire.NextStartup(b)
		switch {
		case err != nil:
			s.fatal(pgwire.CodeProtocol, "impossible startup message")
			return 0, false
		case n == 0:
		case code == pgwire.SSLCode || code == pgwire.GSSCode:
			s.conn.Write([]byte{'N'})
		case code>>16 == 3:
			s.started = true
			s.frontend.lastProcessID++
			s.cancelKey = pgwire.Key{Process: s.frontend.lastProcessID, Secret: rand.Uint32()}
			s.frontend.sessionsByKey[s.cancelKey] = s
			s.conn.Write(pgwire.AppendWelcome(nil, s.cancelKey))
		case code == pgwire.CancelCode: // it gets no answer, whether the key is right or not
			if key, ok := pgwire.ReadKey(b[8:n]); ok && s.frontend.sessionsByKey[key] != nil {
				s.frontend.sessionsByKey[key].cancel()
			}
			s.finish()
			return 0, false
		default:
			s.fatal(pgwire.CodeProtocol, "this protocol version is not supported")
			return 0, false
		}
		return n, true
	}
	m, n, err := pgwire.Next(b, pgwire.MaxQuery)
	if err != nil {
		s.fatal(pgwire.CodeProtocol, "impossible message length")
		return 0, false
	}
	if n > 0 {
		s.handleMessage(at, m)
	}
	return n, true
}

func (s *session) handleMessage(at time.Duration, m pgwire.Message) {
	if len(s.slots) >= maxPipelinedCommands {
		s.fatal(pgwire.CodeTooMany, "too many commands in one pipeline")
		return
	}
	switch m.Type {
	case 'Q':
		text, ok := pgwire.Text(m.Body)
		if !ok {
			s.answerLocally(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocol, "the query is not one string", ""), true)
			return
		}
		s.submitQuery(at, text)
	case 'X':
		s.quitting = true
		s.sendAnswers()
	case 'S', 'H':
		if m.Type == 'S' {
			s.skipToSync = false
			s.answerLocally(nil, true)
		}
	case 'P', 'B', 'D', 'E', 'C', 'F':
		if !s.skipToSync {
			s.skipToSync = m.Type != 'F'
			s.answerLocally(pgwire.AppendError(nil, "ERROR", pgwire.CodeUnsupported, "only simple queries are supported", ""),
				m.Type == 'F')
		}
	default:
		s.fatal(pgwire.CodeProtocol, "unknown message type")
	}
}

// answerLocally closes a command that needs no server.
func (s *session) answerLocally(out []byte, ready bool) {
	if ready {
		out = pgwire.AppendReady(out)
	}
	s.slots = append(s.slots, &slot{session: s, answered: true, answer: out})
	s.heldBytes += len(out)
	s.sendAnswers()
}

func (s *session) submitQuery(at time.Duration, text string) {
	trimmed := strings.Trim(text, " \t\r\n;")
	if trimmed == "" {
		s.answerLocally(pgwire.Append(nil, 'I'), true)
		return
	}
	c, err := comment.Parse(text)
	if err != nil {
		word, _, _ := strings.Cut(strings.ToUpper(trimmed), " ")
		if err == comment.ErrNone && (word == "SET" || word == "RESET" || word == "DISCARD") {
			s.answerLocally(pgwire.Append(nil, 'C', word, "\x00"), true) // a session here has no state to set
			return
		}
		s.protocolError(err.Error())
		return
	}
	class, ok := s.frontend.dispatcher.Class(c.Class)
	if !ok {
		s.protocolError("comment: c names an unknown class")
		return
	}
	if c.Group < 0 || !s.frontend.dispatcher.HasGroup(c.Group) {
		s.protocolError("comment: cluster names no known group")
		return
	}
	if s.frontend.requestIDs[c.ID] { // its answer would be told from the other's by nobody
		s.protocolError("comment: id is that of an open request")
		return
	}
	if err := s.frontend.checkStatement(text, c.Group); err != nil {
		own := translate.AsError(err)
		s.answerLocally(pgwire.AppendError(nil, "ERROR", own.Meaning.Postgres(), own.Text, ""), true)
		return
	}
	info := s.frontend.dispatcher.ClassInfo(class)
	if c.Patience == 0 {
		c.Patience = info.TotalTimeout
	}
	r := &dispatch.Request{Class: class, HasIdempotencyKey: c.Key != "", Group: c.Group, SessionCommitAt: c.After, ArrivedAt: at, Timeout: c.Patience,
		Payload: &Statement{Text: text, Comment: c}}
	if info.Access == policy.ReadSession || info.Access == policy.Write {
		r.Session = comment.Session(text)
	}
	if s.frontend.dispatcher.Guarded() {
		r.Statement, r.Key, r.CacheVariant = comment.Bare(text), comment.QuotedKey(text), "simple" // a session here has no state to set
	}
	s.requested = true
	w := &slot{session: s, requestID: c.ID}
	s.frontend.requestIDs[c.ID] = true
	r.Reply = w
	s.slots = append(s.slots, w)
	w.request = s.frontend.dispatcher.Submit(r)
}

func (s *session) protocolError(text string) {
	s.failedBeforeRequest = true
	s.answerLocally(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocol, text, ""), true)
}

// sendAnswers writes the answers that are due in order.
func (s *session) sendAnswers() {
	for len(s.slots) > 0 && s.slots[0].answered {
		s.conn.Write(s.slots[0].answer)
		s.heldBytes -= len(s.slots[0].answer)
		s.slots[0] = nil
		s.slots = s.slots[1:]
	}
	if len(s.slots) > 0 && s.slots[0].relay != nil && !s.slots[0].relayStarted() {
		s.slots[0].relay.start(s.slots[0])
		return
	}
	if s.quitting && len(s.slots) == 0 {
		s.finish()
		return
	}
	s.updateState()
	s.closeIfDue(true)
}

// cancel ends the command that is under way, at once: the first that has no answer yet. Without one nothing happens, so that
// no cancel reaches a command that comes after it.
func (s *session) cancel() {
	for _, w := range s.slots {
		if w.request != nil && !w.answered && !w.relayStarted() {
			w.request.ClientDisconnected() // the module ends the attempt; it may have run, and goes on at a server that has begun it
			w.complete(pgwire.AppendError(nil, "ERROR", translate.Cancelled.Postgres(), "canceling statement due to user request", ""))
			return
		}
	}
}

// abandon ends a request that nobody waits for any more.
func (w *slot) abandon() {
	if w.relay != nil {
		w.relay.Discard()
	}
	if w.request != nil {
		w.request.ClientDisconnected()
		w.releaseRequest()
	}
}

// releaseRequest gives the request's id back.
func (w *slot) releaseRequest() {
	delete(w.session.frontend.requestIDs, w.requestID)
	w.request = nil
}

func (w *slot) complete(out []byte) {
	if w.request == nil { // abandoned
		return
	}
	w.releaseRequest()
	w.answered, w.answer = true, pgwire.AppendReady(out)
	if w.session.heldBytes += len(w.answer); w.session.frontend.sessions[w.session] {
		if w.session.sendAnswers(); w.session.heldBytes > maxHeldBytes {
			w.session.fatal(pgwire.CodeTooMany, "too much waits for an earlier answer")
		}
	}
}

// Serve passes on the row as the server gave it, or begins to.
func (w *slot) Serve(answer any) {
	r, long := answer.(*relay)
	switch {
	case !long:
		w.complete(answer.([]byte))
	case w.request == nil: // abandoned
		r.Discard()
	default:
		w.relay = r
		w.session.sendAnswers()
	}
}

// relayStarted tells that part of its answer has been passed on.
func (w *slot) relayStarted() bool { return w.relay != nil && w.relay.slot != nil }

// completeRelay ends a long answer.
func (w *slot) completeRelay(tail []byte) {
	w.releaseRequest()
	w.answered, w.answer = true, pgwire.AppendReady(tail)
	w.session.heldBytes += len(w.answer)
	w.session.sendAnswers()
}

// Refuse tells the client that nothing has run, and when to come again.
func (w *slot) Refuse(after time.Duration) { w.complete(pgwire.AppendRefusal(nil, after)) }

// Fail promises nothing.
func (w *slot) Fail() { w.complete(appendFailure(nil)) }

func appendFailure(b []byte) []byte {
	return pgwire.AppendError(b, "ERROR", pgwire.CodeFailed, "no answer in time; the statement may have run", "")
}

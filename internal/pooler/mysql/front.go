// Package mysqlside joins the MySQL protocol to the core: a front that takes clients' statements in, prepared ones
// too, and a backend that takes attempts to servers.
package mysql

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/routes"
	"threadsail/internal/translate"
	"threadsail/internal/transport"
)

const (
	maxClientStatements = 1024 // prepared by one client
	maxClientInput      = 2 * mysql.MaxCommand
)

// Command is the payload of a request.
type Command struct {
	Text       string
	Comment    *comment.Comment // nil: it has none
	Database   string
	Prepared   bool
	ParamCount int
	Execute    mysql.Execute
	LongData   []mysql.LongData

	Client      translate.Client
	Translated  *Translated    // for servers of the other wire; nil: there are none in its cluster
	utf8Execute *mysql.Execute // Exec with its texts in UTF-8, where the client's are not; nil: they are

	translate func() (*Translated, error)
	epoch     uint64
}

// Stamp is documented with routing.Stamped. A prepared statement's text stays as it was prepared, without an epoch.
func (c *Command) Stamp(epoch uint64) { c.epoch = epoch }

// ForPostgres is the command as PostgreSQL servers get it. It may have come while none was in its cluster, and be sent, after
// a wait for a primary, when one is: what can't be translated is turned down then, before anything is sent.
func (c *Command) ForPostgres() (*Translated, error) {
	if c.Translated == nil {
		other, err := c.translate()
		if err != nil {
			return nil, err
		}
		c.Translated = other
	}
	c.Translated.epoch = c.epoch
	return c.Translated, nil
}

// Translated is a statement as PostgreSQL servers get it.
type Translated struct {
	translate.Statement
	comment *comment.Comment
	epoch   uint64
}

// Text is its SQL, with the time that is left in its comment, if it has one, and the epoch of the shard map, if there is one.
func (t *Translated) Text(left time.Duration) string {
	if t.comment == nil {
		return t.SQL
	}
	return comment.WithEpoch(t.comment.WithPatience(t.SQL, left), t.epoch)
}

func (c *Command) queryText(left time.Duration) string {
	if c.Comment == nil {
		return c.Text
	}
	return comment.WithEpoch(c.Comment.WithPatience(c.Text, left), c.epoch)
}

// Frontend takes clients in. All of it runs on the core's loop.
type Frontend struct {
	loop             *dispatch.EventLoop
	dispatcher       *dispatch.Dispatcher
	cfg              *config.MySQL
	listener         *transport.Listener
	limiter          *connlimit.Limiter
	lastThreadID     uint32
	sessions         map[*session]bool
	requestIDs       map[string]bool // of open requests
	draining         bool            // each client goes behind its next answer
	closing          bool            // no new clients are taken, and all are to go
	clientArrived    bool            // a client has come since the last look
	routes           *routes.Table
	sessionsByThread map[uint32]*session // by the number that each was told at its login
}

// Listen starts a front for the clients that a door lets in. table knows what the servers speak.
func Listen(loop *dispatch.EventLoop, budget *transport.Budget, core *dispatch.Dispatcher, cfg *config.MySQL, d *connlimit.Limiter,
	table *routes.Table) (*Frontend, error) {
	f := &Frontend{loop: loop, dispatcher: core, cfg: cfg, limiter: d, routes: table, sessions: map[*session]bool{}, requestIDs: map[string]bool{},
		sessionsByThread: map[uint32]*session{}}
	ln, err := transport.Listen(loop, budget, cfg.Listen, f.accept)
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

// CloseClients closes a share of the clients, from 0 to 1 (all), each between two commands: those that are idle now, and the others
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
		s.failRequest()
		s.failQueued()
		s.finish()
	}
}

func (f *Frontend) accept(c *transport.Conn) {
	s := &session{frontend: f, conn: c, challenge: newChallenge(), statements: map[uint32]*statement{}}
	c.SetHandler(s)
	f.sessions[s], f.clientArrived = true, true
	if s.admission = f.limiter.Admit(s); s.admission == nil {
		s.writePacket(0, mysql.Error(mysql.ErrConCount, "08004", "Too many connections"))
		s.finish()
		return
	}
	for f.lastThreadID++; f.lastThreadID == 0 || f.sessionsByThread[f.lastThreadID] != nil; f.lastThreadID++ {
	}
	s.threadID = f.lastThreadID
	f.sessionsByThread[s.threadID] = s
	c.Write(mysql.AppendGreeting(nil, f.lastThreadID, s.challenge))
}

// newChallenge draws 20 bytes for the login, none of them 0 or '$', which end or split strings in some clients.
func newChallenge() []byte {
	b := make([]byte, 20)
	_, _ = rand.Read(b) // never fails
	for i := range b {
		b[i] = 'A' + b[i]%26
	}
	return b
}

// statement is one that a client has prepared. It belongs to the session, not to a server: it outlives any node.
type statement struct {
	text         string
	paramCount   int
	scan         mysql.Scan
	comment      *comment.Comment
	translated   *Translated
	paramTypes   []byte
	longData     []mysql.LongData
	longDataSize int // of long
}

// session is one client's connection. It carries one command at a time; what comes meanwhile waits.
type session struct {
	frontend        *Frontend
	conn            *transport.Conn
	challenge       []byte
	admission       *connlimit.Admission // nil: there was no room
	authSwitched    bool
	threadID        uint32
	requestID       string
	loggedIn        bool
	user            string
	client          translate.Client
	fieldList       bool // the command under way wants its columns only
	database        string
	input           []byte
	busy            bool
	request         *dispatch.OpenRequest
	statements      map[uint32]*statement
	lastStatementID uint32
	paused          bool // no more of its commands are read
}

func (s *session) Closed(error) {
	delete(s.frontend.sessions, s)
	if s.frontend.sessionsByThread[s.threadID] == s {
		delete(s.frontend.sessionsByThread, s.threadID)
	}
	if s.admission != nil {
		s.admission.Release()
	}
	if s.request != nil {
		delete(s.frontend.requestIDs, s.requestID)
		s.request.ClientDisconnected()
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
func (s *session) ClientDisconnected() bool {
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
	case s.busy:
		state = connlimit.Active
	case !s.loggedIn:
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

func (s *session) writePacket(seq byte, payload []byte) {
	s.conn.Write(mysql.Append(nil, seq, payload))
}

func (s *session) Data(at time.Duration, b []byte) {
	s.input = append(s.input, b...)
	if len(s.input) > maxClientInput {
		s.failRequest()
		s.finish()
		return
	}
	s.handlePackets(at)
	s.updateState()
	s.closeIfDue(true)
}

// closeIfDue closes the client if it is to go and this is between two commands: all that has come has its answer. behind: it has
// just got one.
func (s *session) closeIfDue(behind bool) {
	switch {
	case !s.frontend.sessions[s] || !s.admission.ShouldDisconnect() && !(behind && s.frontend.draining):
	case s.busy:
		if s.frontend.closing && !s.Quiet() { // it sends on before it has its answers, and would for good
			s.paused = true
			s.conn.Pause(true)
		}
	case len(s.input) == 0 && s.Quiet():
		s.finish()
	case s.paused && s.conn.AllDelivered() && !s.hasCommand():
		s.finish()
	}
}

// failRequest answers the command that is under way, if there is one.
func (s *session) failRequest() {
	if s.request != nil {
		s.request.ClientDisconnected()
		s.Fail()
	}
}

// failQueued answers the commands that came ahead of an answer and have not been taken in: nothing of them has run.
func (s *session) failQueued() {
	for s.loggedIn {
		_, p, n, err := mysql.Next(s.input, mysql.MaxCommand)
		if err != nil || n == 0 || len(p) == 0 || p[0] == mysql.ComQuit {
			return
		}
		if s.input = s.input[n:]; p[0] != mysql.ComStmtClose && p[0] != mysql.ComStmtSendLong { // these two get no answer
			s.writeError(mysql.ErrInterrupted, "70100", "Query execution was interrupted: the server is shutting down")
		}
	}
}

// hasCommand tells that a command has come that is not taken in yet.
func (s *session) hasCommand() bool {
	_, _, n, err := mysql.Next(s.input, mysql.MaxCommand)
	return n > 0 || err != nil
}

// handlePackets takes packets until a command must wait for its answer.
func (s *session) handlePackets(at time.Duration) {
	for !s.busy && s.frontend.sessions[s] {
		seq, p, n, err := mysql.Next(s.input, mysql.MaxCommand)
		switch {
		case err != nil:
			s.writePacket(1, mysql.Error(mysql.ErrTooBig, "08S01", "Got a packet bigger than 'max_allowed_packet' bytes"))
			s.finish()
			return
		case n == 0:
			return
		}
		p = append([]byte(nil), p...)
		if s.input = s.input[n:]; len(s.input) == 0 {
			s.input = nil
		}
		switch {
		case !s.loggedIn:
			s.handleLogin(seq, p)
		case seq != 0 || len(p) == 0:
			s.writePacket(1, mysql.Error(mysql.ErrHandshake, "08S01", "Got packets out of order"))
			s.finish()
		default:
			s.handleCommand(at, p)
		}
	}
}

// handleLogin goes through the login.
func (s *session) handleLogin(seq byte, p []byte) {
	response := p
	if !s.authSwitched {
		l, err := mysql.ParseLogin(p)
		if err != nil {
			s.writePacket(seq+1, mysql.Error(mysql.ErrHandshake, "08S01", err.Error()))
			s.finish()
			return
		}
		s.user, s.database, response = l.User, l.Database, l.Response
		s.client = clientOfLogin(&l)
		if !l.IsNative() {
			s.authSwitched = true
			s.writePacket(seq+1, mysql.SwitchToNative(s.challenge))
			return
		}
	}
	cfg := s.frontend.cfg
	if cfg.ClientUser != "" &&
		(s.user != cfg.ClientUser || !mysql.PasswordFits(s.challenge, response, cfg.ClientPassword)) {
		s.writePacket(seq+1, mysql.Error(mysql.ErrAccessDenied, "28000", "Access denied"))
		s.finish()
		return
	}
	s.loggedIn = true
	s.writePacket(seq+1, mysql.OK())
}

// clientOfLogin is what a login tells of its client.
func clientOfLogin(l *mysql.Login) translate.Client {
	c := translate.Client{Generation: translate.Gen80, Charset: translate.UTF8MB4}
	switch {
	case !l.PluginAuth():
		c.Generation = translate.Gen50
	case !l.TracksSessions():
		c.Generation = translate.Gen55
	}
	if cs, ok := translate.CharsetOf(l.Collation); ok {
		c.Charset = cs
	}
	return c
}

func (s *session) writeError(code uint16, state, text string) {
	s.writePacket(1, mysql.Error(code, state, text))
}

func (s *session) writeUnsupported(what string) {
	s.writeError(mysql.ErrNotSupported, "42000", "This pooler does not support "+what)
}

func (s *session) handleCommand(at time.Duration, p []byte) {
	switch p[0] {
	case mysql.ComQuit:
		s.finish()
	case mysql.ComPing:
		s.writePacket(1, mysql.OK())
	case mysql.ComInitDB:
		s.database = string(p[1:])
		s.writePacket(1, mysql.OK())
	case mysql.ComResetConnection:
		s.statements = map[uint32]*statement{}
		s.writePacket(1, mysql.OK())
	case mysql.ComSetOption:
		s.writeUnsupported("several statements in one command")
	case mysql.ComFieldList: // a table's name, and a pattern, which clients that match by themselves leave empty
		name, pattern, _ := strings.Cut(string(p[1:]), "\x00")
		if text, ok := s.decodeText(name); ok && pattern == "" && text != "" {
			s.fieldList = true
			s.submit(at, mysql.Read, &Command{Text: "SELECT * FROM `" + strings.ReplaceAll(text, "`", "``") + "` LIMIT 0", Database: s.database}, nil)
			s.fieldList = s.busy
		} else if ok {
			s.writeUnsupported("a list of fields by a pattern")
		}
	case mysql.ComProcessKill:
		if len(p) != 5 {
			s.writeError(mysql.ErrHandshake, "08S01", "Malformed communication packet")
			return
		}
		s.handleKill(mysql.Kill{ID: binary.LittleEndian.Uint32(p[1:]), Connection: true})
	case mysql.ComQuery:
		text := string(p[1:])
		if k, ok := mysql.ParseKill(text); ok {
			s.handleKill(k)
			return
		}
		if sets, err := translate.SetsMode(text); err != nil {
			s.writeTranslationError(err)
			return
		} else if sets {
			s.writePacket(1, mysql.OK())
			return
		}
		scan := mysql.ScanStatement(text)
		if !s.checkSupported(scan) {
			return
		}
		if scan.Kind == mysql.Local {
			s.handleSet(scan)
			return
		}
		if text, ok := s.decodeText(text); ok {
			if c, ok := s.parseComment(text); ok {
				s.submit(at, scan.Kind, &Command{Text: text, Comment: c, Database: s.database}, nil)
			}
		}
	case mysql.ComStmtPrepare:
		s.handlePrepare(string(p[1:]))
	case mysql.ComStmtExecute, mysql.ComStmtSendLong, mysql.ComStmtClose, mysql.ComStmtReset, mysql.ComStmtFetch:
		s.handleStatementCommand(at, p)
	default:
		s.writeError(mysql.ErrUnknownCommand, "08S01", "Unknown command")
	}
}

// handleSet answers a SET of how things stand.
func (s *session) handleSet(scan mysql.Scan) {
	if scan.Names != "" {
		cs, ok := translate.CharsetNamed(scan.Names)
		if !ok && scan.Names != "default" {
			s.writeUnsupported("the character set " + scan.Names)
			return
		}
		if ok {
			s.client.Charset = cs
		}
	}
	s.writePacket(1, mysql.OK())
}

// decodeText is a client's statement in UTF-8.
func (s *session) decodeText(text string) (string, bool) {
	if !s.client.Foreign() {
		return text, true
	}
	out, err := s.client.Charset.Decode([]byte(text))
	if err != nil {
		s.writeTranslationError(err)
		return "", false
	}
	return string(out), true
}

// writeTranslationError answers a statement that can't be taken anywhere. Nothing has been sent.
func (s *session) writeTranslationError(err error) {
	s.conn.Write(s.client.AppendError(nil, translate.AsError(err)))
}

// translateToPostgres is a statement for servers of the other wire, whose comment keeps its place in what is resent.
func (s *session) translateToPostgres(text string, params int) (*Translated, error) {
	if _, err := translate.UTF8MB4.Decode([]byte(text)); err != nil {
		return nil, err
	}
	st, err := translate.ToPostgres(text, s.frontend.cfg.Translate)
	if err != nil {
		return nil, err
	}
	if st.Params != params {
		return nil, &translate.Error{Meaning: translate.Syntax, Text: "a parameter that is not bound"}
	}
	t := &Translated{Statement: st}
	if c, err := comment.Parse(st.SQL); err == nil {
		t.comment = &c
	}
	return t, nil
}

// checkSupported answers what can't be served.
func (s *session) checkSupported(scan mysql.Scan) bool {
	switch {
	case scan.Multi:
		s.writeUnsupported("several statements in one command")
	case scan.Kind == mysql.Unsupported:
		s.writeUnsupported("transactions, LOAD DATA or statements that need a session's state")
	default:
		return true
	}
	return false
}

// parseComment reads the comment of a statement, if it has one.
func (s *session) parseComment(text string) (*comment.Comment, bool) {
	c, err := comment.Parse(text)
	if err == comment.ErrNone {
		return nil, true
	}
	if err != nil {
		s.writeError(mysql.ErrParse, "42000", err.Error())
		return nil, false
	}
	return &c, true
}

// handlePrepare is answered here. The parameters are counted; what columns come, the answer to EXECUTE tells.
func (s *session) handlePrepare(text string) {
	text, ok := s.decodeText(text)
	if !ok {
		return
	}
	scan := mysql.ScanStatement(text)
	if !s.checkSupported(scan) {
		return
	}
	if scan.Kind == mysql.Local || scan.Params > 0xffff {
		s.writeUnsupported("this as a prepared statement")
		return
	}
	if len(s.statements) >= maxClientStatements {
		s.writeError(mysql.ErrMaxPrepared, "42000", "Can't create more prepared statements")
		return
	}
	c, ok := s.parseComment(text)
	if !ok {
		return
	}
	s.lastStatementID++
	s.statements[s.lastStatementID] = &statement{text: text, paramCount: scan.Params, scan: scan, comment: c}
	out := mysql.Append(nil, 1, mysql.PrepareOK{ID: s.lastStatementID, Params: scan.Params}.Payload())
	if scan.Params > 0 {
		def := mysql.ColumnDef("?")
		for i := range scan.Params {
			out = mysql.Append(out, byte(2+i), def)
		}
		out = mysql.Append(out, byte(2+scan.Params), mysql.EOF())
	}
	s.conn.Write(out)
}

func (s *session) handleStatementCommand(at time.Duration, p []byte) {
	id, ok := mysql.StatementID(p)
	st := s.statements[id]
	if !ok || st == nil {
		if p[0] != mysql.ComStmtClose && p[0] != mysql.ComStmtSendLong { // these two get no answer
			s.writeError(mysql.ErrUnknownStmt, "HY000", fmt.Sprintf("Unknown prepared statement handler (%d)", id))
		}
		return
	}
	switch p[0] {
	case mysql.ComStmtClose:
		delete(s.statements, id)
	case mysql.ComStmtReset:
		st.longData, st.longDataSize = nil, 0
		s.writePacket(1, mysql.OK())
	case mysql.ComStmtFetch:
		s.writeError(mysql.ErrNoCursor, "HY000", "The statement has no open cursor")
	case mysql.ComStmtSendLong:
		_, d, err := mysql.ParseLongData(p)
		if st.longDataSize += len(d.Data); err != nil || st.longDataSize > mysql.MaxCommand || int(d.Param) >= st.paramCount {
			s.writeError(mysql.ErrTooBig, "08S01", "Too much or misplaced long data")
			s.finish()
			return
		}
		st.longData = append(st.longData, d)
	case mysql.ComStmtExecute:
		e, err := mysql.ParseExecute(p, st.paramCount, st.paramTypes)
		if err != nil {
			s.writeError(mysql.ErrWrongArgs, "HY000", err.Error())
			return
		}
		st.paramTypes = e.Types
		cmd := &Command{Text: st.text, Comment: st.comment, Database: s.database, Prepared: true, ParamCount: st.paramCount, Execute: e,
			LongData: st.longData}
		st.longData, st.longDataSize = nil, 0
		s.submit(at, st.scan.Kind, cmd, st)
	}
}

// prepareForServers makes a command ready for the servers of a cluster; st is the prepared statement that it runs, if any. What can't be
// translated is turned down for the whole cluster: the same statement must not be served at one server and not at the next.
func (s *session) prepareForServers(cmd *Command, st *statement, cluster int) (err error) {
	cmd.Client = s.client
	cmd.translate = func() (*Translated, error) {
		if st != nil && st.translated != nil {
			return st.translated, nil
		}
		t, err := s.translateToPostgres(cmd.Text, cmd.ParamCount)
		if st != nil {
			st.translated = t
		}
		return t, err
	}
	if s.frontend.routes.Needs(cluster).Translation {
		_, err = cmd.ForPostgres()
	}
	if err == nil && cmd.Prepared && cmd.ParamCount > 0 && s.client.Foreign() {
		var e mysql.Execute
		e, err = s.client.RecodeParams(cmd.Execute, cmd.ParamCount, cmd.LongData)
		cmd.utf8Execute = &e
	}
	return err
}

// submit hands a statement to the core, by its comment or by the defaults of its kind.
func (s *session) submit(at time.Duration, kind mysql.Kind, cmd *Command, st *statement) {
	d := s.frontend.cfg.ReadDefault
	if kind == mysql.Write {
		d = s.frontend.cfg.WriteDefault
	}
	c := comment.Comment{Group: -1}
	if cmd.Comment != nil {
		c = *cmd.Comment
	}
	if c.Class == "" {
		c.Class = d.Class
	}
	if c.Group < 0 {
		c.Group = d.Cluster
	}
	class, ok := s.frontend.dispatcher.Class(c.Class)
	switch {
	case !ok:
		s.writeError(mysql.ErrParse, "42000", "comment: c names an unknown class")
		return
	case !s.frontend.dispatcher.HasGroup(c.Group):
		s.writeError(mysql.ErrParse, "42000", "comment: cluster names no known group")
		return
	case kind == mysql.Write && s.frontend.dispatcher.ClassInfo(class).Access != policy.Write:
		s.writeError(mysql.ErrParse, "42000", "comment: a statement that may write is in a class of reads")
		return
	}
	// A prepared statement's comment is the same at each EXECUTE: only an id that is open now can't be told apart.
	if c.ID != "" && s.frontend.requestIDs[c.ID] {
		s.writeError(mysql.ErrParse, "42000", "comment: id is that of an open request")
		return
	}
	if c.Patience == 0 {
		c.Patience = s.frontend.dispatcher.ClassInfo(class).TotalTimeout
	}
	if err := s.prepareForServers(cmd, st, c.Group); err != nil {
		s.writeTranslationError(err)
		return
	}
	r := &dispatch.Request{Class: class, Group: c.Group, HasIdempotencyKey: c.Key != "", SessionCommitAt: c.After, ArrivedAt: at,
		Timeout: c.Patience, Payload: cmd, Reply: s}
	if c.After > 0 || s.frontend.dispatcher.ClassInfo(class).Access == policy.ReadSession {
		r.Session = comment.Session(cmd.Text)
	}
	if s.frontend.dispatcher.Guarded() {
		r.Statement, r.Key = comment.Bare(cmd.Text), comment.QuotedKey(cmd.Text)
		// Parameters are not in the text, and a class by default was not chosen for this statement, which may ask for anything.
		if !cmd.Prepared && cmd.Comment != nil && cmd.Comment.Class != "" {
			r.CacheVariant = fmt.Sprintf("%v %s", s.client, cmd.Database)
		}
	}
	s.busy, s.requestID = true, c.ID
	s.frontend.requestIDs[c.ID] = c.ID != ""
	s.request = s.frontend.dispatcher.Submit(r)
}

// handleKill ends what another connection is about, at once, and that connection if it is to. What is not under way any more is not
// touched: a cancel never reaches the command after the one it was meant for, as far as its client could know.
func (s *session) handleKill(k mysql.Kill) {
	other := s.frontend.sessionsByThread[k.ID]
	switch {
	case other == nil || !other.loggedIn:
		s.writeError(mysql.ErrNoThread, "HY000", fmt.Sprintf("Unknown thread id: %d", k.ID))
		return
	case other.user != s.user:
		s.writeError(1095, "HY000", fmt.Sprintf("You are not owner of thread %d", k.ID))
		return
	}
	if other != s {
		s.writePacket(1, mysql.OK())
	}
	if other.request != nil {
		other.request.ClientDisconnected() // the module ends the attempt; it may have run, and goes on at a server that has begun it
		code, state := translate.Cancelled.MySQL(other.client.Generation)
		other.answer(mysql.Append(nil, 1, mysql.Error(code, state, "Query execution was interrupted")))
	} else if other == s {
		s.writeError(mysql.ErrInterrupted, "70100", "Query execution was interrupted")
	}
	if k.Connection {
		other.finish()
	}
}

// answer gives the final answer, and goes on with what has come meanwhile.
func (s *session) answer(out []byte) {
	if s.request == nil { // abandoned
		return
	}
	delete(s.frontend.requestIDs, s.requestID)
	s.busy, s.request, s.fieldList = false, nil, false
	if !s.frontend.sessions[s] {
		return
	}
	s.conn.Write(out)
	s.updateState()
	if len(s.input) > 0 {
		s.frontend.loop.Post(func() {
			s.handlePackets(s.frontend.loop.Now())
			s.updateState()
			s.closeIfDue(true)
		})
		return
	}
	s.closeIfDue(true)
}

// Serve passes on the server's answer to this statement.
func (s *session) Serve(answer any) {
	raw := answer.([]byte)
	if s.fieldList {
		raw = translate.FieldList(raw)
	}
	s.answer(raw)
}

// Refuse tells the client that nothing has run, and when to come again.
func (s *session) Refuse(after time.Duration) {
	text := "Too many connections: no server can take this statement now; nothing has run"
	if after > 0 {
		text += fmt.Sprintf("; retry after %d ms", (after+time.Millisecond-1)/time.Millisecond)
	}
	s.answer(mysql.Append(nil, 1, mysql.Error(mysql.ErrConCount, "08004", text)))
}

// Fail promises nothing.
func (s *session) Fail() {
	s.answer(mysql.Append(nil, 1, mysql.Error(mysql.ErrInterrupted, "70100",
		"Query execution was interrupted: no answer in time; the statement may have run")))
}

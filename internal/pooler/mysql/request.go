package mysql

import (
	"errors"
	"fmt"
	"time"

	"threadsail/internal/policy"
	"threadsail/internal/pooler/frontend"
	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/translate"
)

// errWriteInReadClass is returned if a comment names a read class for a statement that may write. Its text is sent to clients.
var errWriteInReadClass = errors.New("comment: a statement that may write is in a class of reads")

// parseComment returns the comment of a statement, or nil if there is none. If the comment is invalid, parseComment sends the client
// an error and returns false.
func (s *session) parseComment(text string) (*comment.Comment, bool) {
	cm, err := comment.Parse(text)
	if errors.Is(err, comment.ErrNone) {
		return nil, true
	}
	if err != nil {
		s.writeError(mysql.ErrParse, "42000", err.Error())
		return nil, false
	}
	return &cm, true
}

// submit passes a command to the dispatcher, with the class and cluster from its comment or from the defaults for kind. st is the
// prepared statement that the command executes, or nil. If the command is invalid, submit sends the client an error instead.
func (s *session) submit(at time.Duration, kind mysql.Kind, cmd *Command, st *statement) {
	cm := s.withDefaults(cmd.Comment, kind)
	class, info, err := s.checkComment(cm, kind)
	if err != nil {
		s.writeError(mysql.ErrParse, "42000", err.Error())
		return
	}
	if err := s.prepareForServers(cmd, st, cm.Group); err != nil {
		s.writeTranslationError(err)
		return
	}
	request := frontend.NewRequest(class, info, cm, at)
	request.Payload = cmd
	request.Reply = s
	if cm.After > 0 || info.Access == policy.ReadSession {
		request.Session = comment.Session(cmd.Text)
	}
	if s.frontend.dispatcher.HasGuards() {
		request.Statement = comment.Bare(cmd.Text)
		request.Key = comment.QuotedKey(cmd.Text)
		request.CacheVariant = s.cacheVariant(cmd)
	}
	s.current.busy = true
	s.current.requestID = cm.ID
	s.frontend.BeginRequest(cm.ID)
	s.current.request = s.frontend.dispatcher.Submit(request)
}

// withDefaults returns the comment, with the configured default class and cluster where it names none. parsed may be nil.
func (s *session) withDefaults(parsed *comment.Comment, kind mysql.Kind) comment.Comment {
	defaults := s.frontend.config.ReadDefault
	if kind == mysql.Write {
		defaults = s.frontend.config.WriteDefault
	}
	cm := comment.Comment{Group: -1}
	if parsed != nil {
		cm = *parsed
	}
	if cm.Class == "" {
		cm.Class = defaults.Class
	}
	if cm.Group < 0 {
		cm.Group = defaults.Cluster
	}
	return cm
}

// checkComment returns the class that a comment names, or an error if the comment is invalid. A prepared statement's comment is the
// same at each EXECUTE, so only a request ID that is in flight is rejected as a duplicate.
func (s *session) checkComment(cm comment.Comment, kind mysql.Kind) (int, policy.Class, error) {
	class, info, err := s.frontend.Class(cm)
	if err != nil {
		return 0, info, err
	}
	if kind == mysql.Write && info.Access != policy.Write {
		return 0, info, errWriteInReadClass
	}
	return class, info, s.frontend.CheckRequestID(cm.ID)
}

// cacheVariant returns a key for the properties besides the text that a command's answer depends on, or "" if the answer must not
// be cached. Prepared statements are not cached, because their parameters are not in the text. Statements in a default class are not
// cached either, because the class was not chosen for them and they may query anything.
func (s *session) cacheVariant(cmd *Command) string {
	if cmd.Prepared || cmd.Comment == nil || cmd.Comment.Class == "" {
		return ""
	}
	return fmt.Sprintf("%v %s", s.client, cmd.Database)
}

// prepareForServers translates and recodes a command for the servers of a cluster. If the cluster needs translation and the command
// can't be translated, it fails for the whole cluster, so that a statement never succeeds on one server and fails on another.
func (s *session) prepareForServers(cmd *Command, st *statement, cluster int) error {
	cmd.Client = s.client
	cmd.translate = func() (*Translated, error) { return s.translateOnce(cmd, st) }
	if s.frontend.routes.Needs(cluster).Translation {
		if _, err := cmd.ForPostgres(); err != nil {
			return err
		}
	}
	if !cmd.Prepared || cmd.ParamCount == 0 || !s.client.Foreign() {
		return nil
	}
	execute, err := s.client.RecodeParams(cmd.Execute, cmd.ParamCount, cmd.LongData)
	cmd.utf8Execute = &execute
	return err
}

// translateOnce translates a command to PostgreSQL. It stores the translation in the prepared statement st, if not nil, for the next
// EXECUTE.
func (s *session) translateOnce(cmd *Command, st *statement) (*Translated, error) {
	if st != nil && st.translated != nil {
		return st.translated, nil
	}
	translated, err := s.translateToPostgres(cmd.Text, cmd.ParamCount)
	if st != nil {
		st.translated = translated
	}
	return translated, err
}

// translateToPostgres translates a statement for PostgreSQL servers. The statement's comment stays in its place in the translated
// text.
func (s *session) translateToPostgres(text string, params int) (*Translated, error) {
	if _, err := translate.UTF8MB4.Decode([]byte(text)); err != nil {
		return nil, err
	}
	st, err := translate.ToPostgres(text, s.frontend.config.Translate)
	if err != nil {
		return nil, err
	}
	if st.Params != params {
		return nil, &translate.Error{Meaning: translate.Syntax, Text: "a parameter that is not bound"}
	}
	translated := &Translated{Statement: st}
	if cm, err := comment.Parse(st.SQL); err == nil {
		translated.comment = &cm
	}
	return translated, nil
}

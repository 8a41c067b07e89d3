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

// errWriteInReadClass tells that a comment names a class of reads for a statement that may write. Clients are sent its text as it is.
var errWriteInReadClass = errors.New("comment: a statement that may write is in a class of reads")

// parseComment reads the comment of a statement; nil: it has none. Where it is wrong the client gets the error.
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

// submit hands a statement to the dispatcher, by its comment or by the defaults of its kind. st is the prepared statement that it
// executes; nil: none.
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

// withDefaults returns the comment with the class and the cluster that the configuration names where it has none.
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

// checkComment returns the class that a comment names, or what is wrong with the comment. A prepared statement's comment is the
// same at each EXECUTE: only an ID that is in flight now can't be told apart.
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

// cacheVariant returns what else a command's answer depends on; empty: it must not be cached. Parameters are not in the text, and a
// class by default was not chosen for this statement, which may ask for anything.
func (s *session) cacheVariant(cmd *Command) string {
	if cmd.Prepared || cmd.Comment == nil || cmd.Comment.Class == "" {
		return ""
	}
	return fmt.Sprintf("%v %s", s.client, cmd.Database)
}

// prepareForServers makes a command ready for the servers of a cluster. What can't be translated fails for the whole cluster: the
// same statement must not be served by one server and not by the next.
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

// translateOnce translates a command; a prepared statement keeps its translation for the next EXECUTE.
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

// translateToPostgres returns a statement for PostgreSQL servers. Its comment keeps its place in what is sent.
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

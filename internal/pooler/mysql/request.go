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
	parsedComment, err := comment.Parse(text)
	if errors.Is(err, comment.ErrNone) {
		return nil, true
	}
	if err != nil {
		s.writeError(mysql.ErrParse, "42000", err.Error())
		return nil, false
	}
	return &parsedComment, true
}

// submit passes a command to the dispatcher, with the class and cluster from its comment or from the defaults for kind.
// prepared is the prepared statement that the command executes, or nil. If the command is invalid, submit sends the client an error
// instead.
func (s *session) submit(at time.Duration, kind mysql.Kind, command *Command, prepared *statement) {
	parsedComment := s.withDefaults(command.Comment, kind)
	class, info, err := s.checkComment(parsedComment, kind)
	if err != nil {
		s.writeError(mysql.ErrParse, "42000", err.Error())
		return
	}
	if err := s.prepareForServers(command, prepared, parsedComment.Group); err != nil {
		s.writeTranslationError(err)
		return
	}
	request := frontend.NewRequest(class, info, parsedComment, at)
	request.Payload = command
	pending := &pendingCommand{session: s, requestID: parsedComment.ID, bytes: command.size(), prepared: command.Prepared}
	request.Reply = pending
	command.expiresAt = at + request.Timeout
	if s.frontend.dispatcher.NeedsSessions(info) {
		keys := command.sessionKeys()
		request.Sessions = frontend.Sessions(&keys, info)
	}
	if s.frontend.dispatcher.HasGuards() {
		request.Statement = comment.Bare(command.Text)
		request.Key = comment.QuotedKey(command.Text)
		request.CacheVariant = s.cacheVariant(command)
	}
	s.pending = pending
	s.frontend.BeginRequest(parsedComment.ID)
	pending.request = s.frontend.dispatcher.Submit(request)
}

// withDefaults returns the comment, with the configured default class and cluster where it names none. parsed may be nil.
func (s *session) withDefaults(parsed *comment.Comment, kind mysql.Kind) comment.Comment {
	defaults := s.frontend.config.ReadDefault
	if kind == mysql.Write {
		defaults = s.frontend.config.WriteDefault
	}
	completed := comment.Comment{Group: -1}
	if parsed != nil {
		completed = *parsed
	}
	if completed.Class == "" {
		completed.Class = defaults.Class
	}
	if completed.Group < 0 {
		completed.Group = defaults.Cluster
	}
	return completed
}

// checkComment returns the class that a comment names, or an error if the comment is invalid. A prepared statement's comment is the
// same at each EXECUTE, so only a request ID that is in flight is rejected as a duplicate.
func (s *session) checkComment(parsedComment comment.Comment, kind mysql.Kind) (int, policy.Class, error) {
	class, info, err := s.frontend.Class(parsedComment)
	if err != nil {
		return 0, info, err
	}
	if kind == mysql.Write && info.Access != policy.Write {
		return 0, info, errWriteInReadClass
	}
	return class, info, s.frontend.CheckRequestID(parsedComment.ID)
}

// cacheVariant returns a key for the properties besides the text that a command's answer depends on, or "" if the answer must not
// be cached. Prepared statements are not cached, because their parameters are not in the text. Statements in a default class are not
// cached either, because the class was not chosen for them and they may query anything.
func (s *session) cacheVariant(command *Command) string {
	if command.Prepared || command.Comment == nil || command.Comment.Class == "" {
		return ""
	}
	return fmt.Sprintf("%v %s", s.client, command.Database)
}

// prepareForServers translates and recodes a command for the servers of a cluster. If the cluster needs translation and the command
// can't be translated, it fails for the whole cluster, so that a statement never succeeds on one server and fails on another.
func (s *session) prepareForServers(command *Command, prepared *statement, cluster int) error {
	command.Client = s.client
	command.translate = func() (*Translated, error) { return s.translateOnce(command, prepared) }
	if s.frontend.routes.Needs(cluster).Translation {
		if _, err := command.ForPostgres(); err != nil {
			return err
		}
	}
	if !command.Prepared || command.ParamCount == 0 || !s.client.Foreign() {
		return nil
	}
	execute, err := s.client.RecodeParams(command.Execute, command.ParamCount, command.LongData)
	command.utf8Execute = &execute
	return err
}

// translateOnce translates a command to PostgreSQL. It stores the translation in prepared, if that is not nil, for the next EXECUTE.
func (s *session) translateOnce(command *Command, prepared *statement) (*Translated, error) {
	if prepared != nil && prepared.translated != nil {
		return prepared.translated, nil
	}
	translated, err := s.translateToPostgres(command.Text, command.ParamCount)
	if prepared != nil {
		prepared.translated = translated
	}
	return translated, err
}

// translateToPostgres translates a statement for PostgreSQL servers. The statement's comment stays in its place in the translated
// text.
func (s *session) translateToPostgres(text string, paramCount int) (*Translated, error) {
	if _, err := translate.UTF8MB4.Decode([]byte(text)); err != nil {
		return nil, err
	}
	postgresStatement, err := translate.ToPostgres(text, s.frontend.config.Translate)
	if err != nil {
		return nil, err
	}
	if postgresStatement.Params != paramCount {
		return nil, &translate.Error{Meaning: translate.Syntax, Text: "a parameter that is not bound"}
	}
	translated := &Translated{Statement: postgresStatement}
	if parsedComment, err := comment.Parse(postgresStatement.SQL); err == nil {
		translated.comment = &parsedComment
	}
	return translated, nil
}

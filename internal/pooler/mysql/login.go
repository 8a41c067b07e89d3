package mysql

import (
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/translate"
)

// login is the state of a client's login.
type login struct {
	challenge      []byte
	user           string
	pluginSwitched bool // the client was sent a request to switch to the native password plugin
	done           bool
}

// handleLogin processes a login packet of the client. It closes the session if the packet is malformed or access is denied.
func (s *session) handleLogin(seq byte, payload []byte) {
	response := payload
	if !s.login.pluginSwitched {
		parsed, err := mysql.ParseLogin(payload)
		if err != nil {
			s.writePacket(seq+1, mysql.Error(mysql.ErrHandshake, "08S01", err.Error()))
			s.Finish()
			return
		}
		s.login.user = parsed.User
		s.database = parsed.Database
		s.client = clientFromLogin(&parsed)
		if !parsed.IsNative() {
			s.login.pluginSwitched = true
			s.writePacket(seq+1, mysql.SwitchToNative(s.login.challenge))
			return
		}
		response = parsed.Response
	}
	if !s.checkCredentials(response) {
		s.writePacket(seq+1, mysql.Error(mysql.ErrAccessDenied, "28000", "Access denied"))
		s.Finish()
		return
	}
	s.login.done = true
	s.writePacket(seq+1, mysql.OK())
}

// checkCredentials reports whether the user and the password are correct. Without a configured user, every client may log in.
func (s *session) checkCredentials(response []byte) bool {
	cfg := s.frontend.config
	if cfg.ClientUser == "" {
		return true
	}
	return s.login.user == cfg.ClientUser && mysql.PasswordFits(s.login.challenge, response, cfg.ClientPassword)
}

// clientFromLogin derives the generation of the client's library and its character set from a login packet.
func clientFromLogin(request *mysql.Login) translate.Client {
	client := translate.Client{Generation: translate.Gen80, Charset: translate.UTF8MB4}
	switch {
	case !request.PluginAuth():
		client.Generation = translate.Gen50
	case !request.TracksSessions():
		client.Generation = translate.Gen55
	}
	if charset, ok := translate.CharsetOf(request.Collation); ok {
		client.Charset = charset
	}
	return client
}

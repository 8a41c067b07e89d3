package standin

import (
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha1"
	"crypto/x509"
	"encoding/pem"
	"net"
	"sync"

	"threadsail/internal/protocol/mysql"
)

// Login is how a MySQL stand-in has the pooler log in.
type Login uint8

// The ways: natively, as servers before 8 do; by the newer method, which knows the password already; or has to see it.
const (
	Native Login = iota
	Fast
	Full8
	Scram // on PostgreSQL's wire: by SCRAM-SHA-256
)

// Demand sets how the pooler must log in. The key of Full8 is made here, not within the first login: on a busy machine that takes
// longer than a pooler waits for a connection, and all servers would count as down.
func (s *Server) Demand(how Login) {
	if how == Full8 {
		serverKey()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.login = how
}

var serverKey = sync.OnceValue(func() *rsa.PrivateKey {
	key, err := rsa.GenerateKey(rand.Reader, 2048)
	if err != nil {
		panic(err)
	}
	return key
})

// logInAnew has the pooler log in by the method of servers since 8.
func logInAnew(c net.Conn, r *buffered, full bool) bool {
	challenge := []byte("ABCDEFGHIJKLMNOPQRST")
	send(c, mysql.AppendGreeting(nil, 1, []byte("abcdefghijklmnopqrst")))
	p, seq, err := r.my()
	if l, bad := mysql.ParseLogin(p); err != nil || bad != nil || l.User != BackendUser {
		return false
	}
	send(c, mysql.Append(nil, seq+1, mysql.SwitchToCaching(challenge)))
	response, seq, err := r.my()
	fine := err == nil && mysql.CachingFits(challenge, response, BackendPassword)
	if fine && full {
		send(c, mysql.Append(nil, seq+1, mysql.FullWanted()))
		wish, at, err := r.my()
		der, bad := x509.MarshalPKIXPublicKey(&serverKey().PublicKey)
		if err != nil || bad != nil || len(wish) != 1 || wish[0] != 2 {
			return false
		}
		key := pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: der})
		send(c, mysql.Append(nil, at+1, append([]byte{1}, key...)))
		secret, at, err := r.my()
		password, bad := rsa.DecryptOAEP(sha1.New(), nil, serverKey(), secret, nil)
		fine, seq = err == nil && bad == nil && string(mysql.Masked(password, challenge)) == BackendPassword+"\x00", at
	} else if fine {
		send(c, mysql.Append(nil, seq+1, mysql.FastFine()))
		seq++
	}
	if !fine {
		send(c, mysql.Append(nil, seq+1, mysql.Error(mysql.ErrAccessDenied, "28000", "Access denied")))
		return false
	}
	send(c, mysql.Append(nil, seq+1, mysql.OK()))
	return true
}

// logIn checks the backend's password, by the challenge of the greeting and again by one of its own.
func logIn(c net.Conn, r *buffered, how Login) bool {
	if how != Native {
		return logInAnew(c, r, how == Full8)
	}
	first, second := []byte("abcdefghijklmnopqrst"), []byte("tsrqponmlkjihgfedcba")
	send(c, mysql.AppendGreeting(nil, 1, first))
	p, seq, err := r.my()
	l, bad := mysql.ParseLogin(p)
	if err != nil || bad != nil {
		return false
	}
	send(c, mysql.Append(nil, seq+1, mysql.SwitchToNative(second)))
	response, seq, err := r.my()
	if err != nil || l.User != BackendUser || !mysql.PasswordFits(first, l.Response, BackendPassword) ||
		!mysql.PasswordFits(second, response, BackendPassword) {
		send(c, mysql.Append(nil, seq+1, mysql.Error(mysql.ErrAccessDenied, "28000", "Access denied")))
		return false
	}
	send(c, mysql.Append(nil, seq+1, mysql.OK()))
	return true
}

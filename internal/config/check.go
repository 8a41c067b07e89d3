package config

import (
	"errors"
	"fmt"
	"net"
	"reflect"
	"strconv"
	"strings"
	"time"

	"threadsail/internal/jsonfile"
)

const maxPort = 65535

// address checks a value that must be host:port.
func address(key, value string) error {
	if value == "" {
		return fmt.Errorf("%s: missing", key)
	}
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Errorf("%s: %q is no host:port", key, value)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > maxPort {
		return fmt.Errorf("%s: %q names no port", key, value)
	}
	return nil
}

// ipAddress is address for a host that must be named by its IP address.
func ipAddress(key, value string) error {
	if err := address(key, value); err != nil {
		return err
	}
	if host, _, _ := net.SplitHostPort(value); net.ParseIP(host) == nil {
		return fmt.Errorf("%s: %q is no IP address", key, host)
	}
	return nil
}

// within checks that a duration is not outside of two bounds.
func within(key string, d, least, most time.Duration) error {
	if d < least || d > most {
		return fmt.Errorf("%s: %v is not from %v to %v", key, d, least, most)
	}
	return nil
}

// unless returns an error of the given text if ok is false.
func unless(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}

const (
	maxOrderName    = 100 // bytes
	orderCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-"
)

// validOrderName tells whether an order of the operators may have a name that others in seen do not have.
func validOrderName(name string, seen map[string]bool) bool {
	return name != "" && len(name) <= maxOrderName && strings.Trim(name, orderCharacters) == "" && !seen[name]
}

// notNegative returns an error that names the key of the first number below 0 in a struct, array or number.
func notNegative(key string, v reflect.Value) error {
	negative := false
	switch v.Kind() {
	case reflect.Int:
		negative = v.Int() < 0
	case reflect.Float64:
		negative = v.Float() < 0
	case reflect.Slice:
		for i := range v.Len() {
			if err := notNegative(fmt.Sprintf("%s[%d]", key, i), v.Index(i)); err != nil {
				return err
			}
		}
	case reflect.Struct:
		for i := range v.NumField() {
			name := v.Type().Field(i).Tag.Get("json")
			if err := notNegative(key+"."+jsonfile.KeyOf(name), v.Field(i)); err != nil {
				return err
			}
		}
	}
	if negative {
		return fmt.Errorf("%s: %v is below 0", key, v)
	}
	return nil
}

// keyCheck is what is wrong with a key, if err is not nil.
type keyCheck struct {
	key string
	err error
}

// firstFailed returns the first check that failed; ok is false if none did.
func firstFailed(checks []keyCheck) (failed keyCheck, ok bool) {
	for _, c := range checks {
		if c.err != nil {
			return c, true
		}
	}
	return keyCheck{}, false
}

// pathError is an error about the key at a path of a file.
type pathError struct {
	path []string
	err  error
}

func (e *pathError) Error() string { return e.err.Error() }

func (e *pathError) Unwrap() error { return e.err }

// atPath returns err, if there is one, with the path of the key that it is about.
func atPath(err error, path ...string) error {
	if err == nil {
		return nil
	}
	return &pathError{path: path, err: err}
}

// place gives an error with a path the path's offset in the file's text. Other errors are returned as they are.
func place(text []byte, err error) error {
	var at *pathError
	if errors.As(err, &at) {
		return jsonfile.At(jsonfile.OffsetOf(text, at.path), err)
	}
	return err
}

package mysql

import (
	"slices"
	"testing"

	"threadsail/internal/protocol/mysql"
	"threadsail/internal/sessionkey"
	"threadsail/internal/translate"
)

// A session that binds its key must be the one that quotes it, also if the key is sent ahead or in another character set.
func TestKeysOfParameters(t *testing.T) {
	const typeString, typeLong, typeNull = 0xfe, 0x03, 0x06
	latin2, _ := translate.CharsetNamed("latin2")
	value := func(text string) []byte { return mysql.AppendText(nil, []byte(text)) }
	for name, test := range map[string]struct {
		command Command
		want    string // the literals of the same keys
	}{
		"string":     {Command{Execute: mysql.Execute{Types: []byte{typeString, 0}, Values: value("it's")}}, "'it''s'"},
		"number":     {Command{Execute: mysql.Execute{Types: []byte{typeLong, 0}, Values: []byte{17, 0, 0, 0}}}, "17"},
		"null":       {Command{Execute: mysql.Execute{Types: []byte{typeNull, 0}}}, "NULL"},
		"other text": {Command{Execute: mysql.Execute{Types: []byte{typeString, 0}, Values: value("\xf5")}, Client: translate.Client{Charset: latin2}}, "'ő'"},
		"sent ahead": {Command{Execute: mysql.Execute{Types: []byte{typeString, 0}},
			LongData: []mysql.LongData{{Data: []byte("a")}, {Data: []byte("b")}}}, "'ab'"},
		"malformed": {Command{Execute: mysql.Execute{Types: []byte{typeString, 0}, Values: []byte{9}}}, "X'00'"},
	} {
		t.Run(name, func(t *testing.T) {
			command := test.command
			command.Text, command.ParamCount = "DELETE FROM state WHERE uid = ? AND val = 'x'", 1
			command.Execute.Nulls = []byte{0}
			if command.Client == (translate.Client{}) {
				command.Client.Charset = translate.UTF8MB4
			}
			keys := command.sessionKeys()
			quoted := sessionkey.OfText("DELETE FROM state WHERE val = 'x' AND uid = "+test.want, sessionkey.MySQL)
			if got, want := keys.OfWrite(), quoted.OfWrite(); !slices.Equal(got, want) {
				t.Errorf("got the keys %v, want %v", got, want)
			}
		})
	}
}

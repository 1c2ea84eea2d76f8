package limpetkey_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetkey"
)

func TestAuthenticate(t *testing.T) {
	token, hash := limpetkey.Generate("desk_1")
	other, _ := limpetkey.Generate("desk_1")
	d := limpetconfig.NewDocument()
	d.Keys["desk_1"] = limpetconfig.Key{Name: "desk_1", Account: "desk", Role: limpetconfig.Caller, Hash: hash}
	for _, c := range []struct {
		name      string
		token     string
		suspended map[string]bool
		ok        bool
	}{
		{"valid", token, nil, true},
		{"another secret of the same name", other, nil, false},
		{"truncated", token[:len(token)-1], nil, false},
		{"extended", token + "x", nil, false},
		{"without prefix", strings.TrimPrefix(token, limpetkey.Prefix), nil, false},
		{"hash instead of secret", hash, nil, false},
		{"empty", "", nil, false},
		{"suspended", token, map[string]bool{"desk_1": true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("only the complete token of an active key is accepted", t, func() {
				principal, err := limpetkey.Authenticate(d, c.suspended, c.token)
				So(err == nil, ShouldEqual, c.ok)
				if c.ok {
					So(principal, ShouldResemble, limpetkey.Principal{Key: "desk_1", Account: "desk", Role: limpetconfig.Caller})
				}
			})
		})
	}
}

func FuzzAuthenticate(f *testing.F) {
	f.Add("Bearer lmk_a_b")
	f.Fuzz(func(t *testing.T, header string) {
		token, err := limpetkey.BearerToken(header)
		if err != nil {
			return
		}
		if _, err := limpetkey.Authenticate(limpetconfig.NewDocument(), nil, token); err == nil {
			t.Fatal("token accepted although no key is configured")
		}
	})
}

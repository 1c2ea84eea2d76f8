package limpeterror_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
)

func TestIs(t *testing.T) {
	refused := limpeterror.Unavailable.New("refused")
	for _, c := range []struct {
		name string
		err  error
		want *errorx.Type
	}{
		{"plain", refused, limpeterror.Unavailable},
		{"wrapped with %w", fmt.Errorf("store: %w", refused), limpeterror.Unavailable},
		{"joined", errors.Join(errors.New("x"), refused), limpeterror.Unavailable},
		{"Unknown that wraps Unavailable", limpeterror.Unknown.Wrap(refused, "later"), limpeterror.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("only the outermost typed error counts", t, func() {
				for _, typ := range []*errorx.Type{limpeterror.Unavailable, limpeterror.Unknown, limpeterror.Invalid} {
					So(limpeterror.Is(c.err, typ), ShouldEqual, typ == c.want)
				}
			})
		})
	}
}

func TestFindings(t *testing.T) {
	Convey("an empty collection is no error, and findings keep their order", t, func() {
		var f limpeterror.Findings
		So(f.Err(), ShouldBeNil)
		f.Add("a:1", "first %d", 1)
		f.Add("a:2", "second")
		So(f.Err().Error(), ShouldEqual, "a:1: first 1\na:2: second")
	})
}

package limpetdirector

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFormerDirectors(t *testing.T) {
	Convey("each former director is listed once, the latest first, and the list is bounded", t, func() {
		term := Term{}
		for _, vm := range []string{"a", "b", "a", "c"} {
			term = term.next(vm, vm)
		}
		So(term.Former, ShouldResemble, []string{"a", "b"})
		for _, vm := range []string{"d", "e", "f", "g", "h", "i", "j", "k", "l", "m"} {
			term = term.next(vm, vm)
		}
		So(len(term.Former), ShouldEqual, maxFormer)
		So(term.Former[0], ShouldEqual, "l")
	})
	for _, c := range []struct {
		name   string
		term   Term
		vm     string
		follow bool
	}{
		{"no director yet", Term{}, "a", false},
		{"the VM itself was the last one", Term{VM: "a", Former: []string{"b"}}, "a", false},
		{"the VM was the director before", Term{VM: "b", Former: []string{"c", "a"}}, "a", true},
		{"the VM never was", Term{VM: "b", Former: []string{"c"}}, "a", false},
		{"a term of an earlier release does not tell", Term{VM: "b"}, "a", true},
	} {
		Convey(c.name, t, func() { So(c.term.mayFollow(c.vm), ShouldEqual, c.follow) })
	}
}

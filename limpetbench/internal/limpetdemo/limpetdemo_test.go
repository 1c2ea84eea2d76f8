package limpetdemo_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/limpetbench/internal/limpetdemo"
)

func TestDemo(t *testing.T) {
	Convey("every step of the demo passes its checks", t, func() {
		So((&limpetdemo.Command{}).Run(), ShouldBeNil)
	})
}

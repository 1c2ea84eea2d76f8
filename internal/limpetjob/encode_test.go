package limpetjob

import (
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetstore"
)

// Guards against bounds that count a text in fewer bytes than it takes in the store.
func TestEncodedLen(t *testing.T) {
	Convey("the length of a text is that of its stored form", t, func() {
		r := rand.New(rand.NewPCG(1, 1))
		parts := []string{"a", "<", "&", "\"", "\\", "\n", "\x00", "\x1f", "\x7f", "é", "\u2028", "\u2029", "\xff", "\xe2\x80", "日", "😀"}
		for range 2000 {
			text := ""
			for range r.IntN(40) {
				text += parts[r.IntN(len(parts))]
			}
			So(EncodedLen(text), ShouldEqual, len(encodeValue(text))-len(`""`))
		}
	})
}

func TestChunksThatAreTooLargeArePacked(t *testing.T) {
	for name, text := range map[string]string{"a small text": "x", "a text that JSON escapes": strings.Repeat("\x01", 400_000), "a large text": strings.Repeat("abc ", 500_000)} {
		Convey(name, t, func() {
			c := Chunk{First: 3, Results: []Result{{ID: "i", State: Completed, Text: text}}}
			data := c.Encode()
			So(len(data), ShouldBeLessThanOrEqualTo, limpetstore.MaxValue)
			back, err := DecodeChunk(limpetstore.Value{Key: "res/j/00000003", Data: data})
			So(err, ShouldBeNil)
			So(back.Results[0].Text == text, ShouldBeTrue)
			So(back.First, ShouldEqual, 3)
		})
	}
}

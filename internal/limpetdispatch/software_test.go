package limpetdispatch_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetstub"
)

// Guards against answers with tokens of two software versions: a completion that
// broke was resumed on any engine.
func TestCompletionsStayWithOneSoftware(t *testing.T) {
	for _, c := range []struct {
		name string
		// software is that of the engines e1 to e3.
		software [3]string
		whole    bool
	}{
		{"they go on at engines of their software", [3]string{"v1", "v2", "v1"}, true},
		{"they end if none takes requests", [3]string{"v1", "v2", "v3"}, false},
	} {
		Convey(c.name, t, func() {
			// The prompt decides which engine is preferred.
			for n := range 8 {
				prompt := fmt.Sprintf("p%d", n)
				var text strings.Builder
				var tokens int
				var err error
				used := map[string]bool{}
				synctest.Test(t, func(*testing.T) {
					tokens, err = completeBroken(c.software, prompt, &text, used)
				})
				So(len(used), ShouldEqual, 1)
				if c.whole {
					So(err, ShouldBeNil)
					So(text.String(), ShouldEqual, limpetstub.Answer(prompt, answerTokens))
					continue
				}
				So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
				So(tokens, ShouldEqual, answerTokens/2)
			}
		})
	}
}

// completeBroken runs a completion whose first engine breaks it midway and leaves.
// Engine e2 comes after that. Used gets the software of all engines that ran it.
func completeBroken(software [3]string, prompt string, text *strings.Builder, used map[string]bool) (tokens int, err error) {
	engines := &stubEngines{scripts: map[string][]behaviour{}}
	dispatcher, view := newDispatcher(engines, limpetquarantine.New(limpetquarantine.Rules{Threshold: 2, SuspectTTL: time.Minute}))
	drafts := view.Servers["drafts"]
	for n := range drafts {
		drafts[n].Software = software[n]
	}
	drafts[1].Leaving = true
	stream := dispatcher.Engine.Stream
	dispatcher.Engine.Stream = func(ctx context.Context, address, path string, params []byte, onData func([]byte) error) error {
		for n, s := range drafts {
			if s.Address != address {
				continue
			}
			if len(used) == 0 {
				engines.scripts[address] = []behaviour{breaksMidway}
				drafts[n].Leaving, drafts[1].Leaving = true, false
			}
			used[s.Software] = true
		}
		return stream(ctx, address, path, params, onData)
	}
	result, err := dispatcher.Complete(context.Background(), completion(prompt, text))
	return result.Tokens, err
}

package limpetcaller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetcaller"
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetkey"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetrollout"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetview"
)

// A trainerFrontend is a Frontend whose configuration has one trainer's key.
type trainerFrontend struct {
	*limpetcaller.Frontend
	token string
	// confirmed and unconfirmed are the view before and after the VM cannot confirm
	// its configuration any more; withdrawn has no key.
	confirmed, unconfirmed, withdrawn *limpetview.View
	view                              atomic.Pointer[limpetview.View]
	// onView, if set, is called after each read of the view.
	onView func()
	// callError is what a call of a job that its context ends fails with.
	callError func(ctx context.Context) error
}

func newTrainerFrontend() *trainerFrontend {
	token, hash := limpetkey.Generate("trainer1")
	f := &trainerFrontend{token: token}
	document := func(keys map[string]limpetconfig.Key) *limpetconfig.Document {
		return &limpetconfig.Document{
			Keys: keys, Accounts: map[string]limpetconfig.Account{"training": {MaxOpenRequests: 4}},
			Jobs: map[string]limpetconfig.Job{"notes": {Account: "training"}},
		}
	}
	known := document(map[string]limpetconfig.Key{"trainer1": {Name: "trainer1", Account: "training", Role: limpetconfig.Trainer, Hash: hash}})
	f.confirmed = &limpetview.View{Config: known, KeysAccepted: true}
	f.unconfirmed = &limpetview.View{Config: known}
	f.withdrawn = &limpetview.View{Config: document(nil), KeysAccepted: true}
	f.view.Store(f.confirmed)
	f.callError = func(ctx context.Context) error {
		return limpeterror.Unavailable.Wrap(ctx.Err(), "canceled before it was sent")
	}
	f.Frontend = limpetcaller.New(limpetcaller.Dependencies{
		View: func() *limpetview.View {
			v := f.view.Load()
			if f.onView != nil {
				f.onView()
			}
			return v
		},
		CallJob: func(ctx context.Context, _, _ string, _ limpetrollout.Operation, _ []byte) (int, []byte, error) {
			<-ctx.Done()
			return 0, nil, f.callError(ctx)
		},
		Metrics: limpetmetric.New(), Log: limpetlog.Discard(), NewRequestID: func() string { return "r1" },
	}, limpetsettings.Limits{}, limpetsettings.Timing{})
	return f
}

// publish replaces the view, as the control goroutine does.
func (f *trainerFrontend) publish(v *limpetview.View) {
	f.view.Store(v)
	f.CancelWithdrawn(v)
}

// fetch returns the status and the error of a trainer's fetch.
func (f *trainerFrontend) fetch() (int, limpetcaller.ErrorBody) {
	r := httptest.NewRequest(http.MethodGet, "/v1/jobs/notes/samples?session=1&cursor=1&wait_ms=500", nil)
	r.Header.Set("Authorization", "Bearer "+f.token)
	w := httptest.NewRecorder()
	f.Handler().ServeHTTP(w, r)
	var body limpetcaller.ErrorResponse
	_ = json.Unmarshal(w.Body.Bytes(), &body)
	return w.Code, body.Error
}

// Guards against telling a caller that its key was withdrawn when this VM merely
// cannot confirm its configuration for a moment, as while the store is down and
// another VM's heartbeat is late. Trainers end at a 401.
func TestUnconfirmedConfigurationIsNotAWithdrawal(t *testing.T) {
	for _, c := range []struct {
		name    string
		disrupt func(f *trainerFrontend)
		status  int
		outcome limpetcaller.Outcome
	}{
		{"a call is open when the configuration cannot be confirmed", func(f *trainerFrontend) {
			f.publish(f.unconfirmed)
		}, http.StatusServiceUnavailable, limpetcaller.NotRun},
		{"the same call may have run", func(f *trainerFrontend) {
			f.callError = func(ctx context.Context) error { return limpeterror.Unknown.Wrap(ctx.Err(), "sent") }
			f.publish(f.unconfirmed)
		}, http.StatusBadGateway, limpetcaller.Unknown},
		{"a call is open when its key is withdrawn", func(f *trainerFrontend) {
			f.publish(f.withdrawn)
		}, http.StatusUnauthorized, limpetcaller.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTrainerFrontend()
				var status int
				var body limpetcaller.ErrorBody
				group := limpettask.New(context.Background())
				answered := make(chan struct{})
				group.Go(func(context.Context) error {
					defer close(answered)
					status, body = f.fetch()
					return nil
				})
				synctest.Wait()
				c.disrupt(f)
				<-answered
				if err := group.Stop(); err != nil {
					t.Error(err)
				}
				Convey("the answer states what happened", t, func() {
					So(status, ShouldEqual, c.status)
					So(body.Outcome, ShouldEqual, c.outcome)
				})
			})
		})
	}
	t.Run("between the two authentications of a call", func(t *testing.T) {
		f := newTrainerFrontend()
		f.onView = func() { f.view.Store(f.unconfirmed) }
		// The limit of open requests is read from the view, too.
		status, body := f.fetch()
		Convey("the answer is not a withdrawal", t, func() {
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(body.Outcome, ShouldEqual, limpetcaller.NotRun)
		})
	})
}

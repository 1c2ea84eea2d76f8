package limpethost_test

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpetwire"
)

// A messageFiller fills messages with odd values: empty and long ones, negative and
// huge numbers, missing and repeated parts.
type messageFiller struct{ *rand.Rand }

func (f messageFiller) fill(m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for n := range fields.Len() {
		field := fields.Get(n)
		if f.IntN(3) == 0 {
			continue
		}
		switch {
		case field.IsMap():
			if field.MapValue().Message() == nil {
				entries := m.Mutable(field).Map()
				for range f.IntN(3) {
					entries.Set(f.scalar(field.MapKey()).MapKey(), f.scalar(field.MapValue()))
				}
			}
		case field.IsList():
			list := m.Mutable(field).List()
			for range f.IntN(4) {
				if field.Message() == nil {
					list.Append(f.scalar(field))
				} else if depth > 0 {
					f.fill(list.AppendMutable().Message(), depth-1)
				}
			}
		case field.Message() != nil:
			if depth > 0 {
				f.fill(m.Mutable(field).Message(), depth-1)
			}
		default:
			m.Set(field, f.scalar(field))
		}
	}
}

func (f messageFiller) scalar(field protoreflect.FieldDescriptor) protoreflect.Value {
	numbers := []int64{0, 1, -1, 2, 1 << 20, math.MaxInt32, math.MinInt32, math.MaxInt64, math.MinInt64}
	n := numbers[f.IntN(len(numbers))]
	texts := []string{"", "s0", "vm-0", "chat/v1", "x/y/z", "\xc3\xa9", string(make([]byte, 300))}
	text := texts[f.IntN(len(texts))]
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text)
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(text))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(n > 0)
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(n)
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(n))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64([]float64{0, -1, math.NaN(), math.Inf(1), 1e300}[f.IntN(5)])
	}
	return field.Default()
}

// Guards against a message of another VM that ends the process: a handler's panic
// ends the test, and so does one in a goroutine that the message reaches later.
func TestMalformedMessagesOfOtherVMs(t *testing.T) {
	const messages = 1500
	synctest.Test(t, func(t *testing.T) {
		f := startChat(t)
		relay := limpetwire.NewRelayClient(&http.Client{Transport: f.network}, "http://vm-0")
		filler := messageFiller{rand.New(rand.NewPCG(1, 2))}
		ctx, cancel := context.WithCancel(context.Background())
		answered := 0
		for n := range messages {
			callCtx, end := context.WithTimeout(ctx, 40*time.Millisecond)
			var err error
			switch n % 8 {
			case 0:
				_, err = relay.Follow(callCtx, filled(filler, &limpetwire.FollowRequest{}))
			case 1:
				_, err = relay.Results(callCtx, filled(filler, &limpetwire.ResultsRequest{}))
			case 2:
				_, err = relay.Count(callCtx, filled(filler, &limpetwire.CountRequest{}))
			case 3:
				_, err = relay.Permit(callCtx, filled(filler, &limpetwire.PermitRequest{}))
			case 4:
				_, err = relay.Origin(callCtx, filled(filler, &limpetwire.OriginRequest{}))
			case 5:
				_, err = relay.Check(callCtx, filled(filler, &limpetwire.CheckRequest{}))
			case 6:
				_, err = relay.Deliver(callCtx, filled(filler, &limpetwire.DeliverRequest{}))
			case 7:
				err = receiveAll(callCtx, relay, filler)
			}
			if err == nil {
				answered++
			}
			end()
		}
		cancel()
		t.Logf("%d of %d messages answered", answered, messages)
		time.Sleep(3 * time.Second)
		a := f.vms[0].Forwarder.Forward(context.Background(), chatRequest("after", "", 0))
		check(t, a.Reason, convey.ShouldEqual, limpetforward.Served)
		check(t, len(readEvents(a, 3)), convey.ShouldEqual, 3)
		a.Reply.Close()
		f.stop(t)
	})
}

func filled[T any](f messageFiller, m *T) *connect.Request[T] {
	f.fill(any(m).(proto.Message).ProtoReflect(), 3)
	return connect.NewRequest(m)
}

// receiveAll makes one of the calls whose answer is a stream.
func receiveAll(ctx context.Context, relay limpetwire.RelayClient, f messageFiller) error {
	if f.IntN(2) == 0 {
		stream, err := relay.Pass(ctx, filled(f, &limpetwire.PassRequest{}))
		for err == nil && stream.Receive() {
			continue
		}
		return err
	}
	stream, err := relay.Carry(ctx, filled(f, &limpetwire.CarryRequest{}))
	for err == nil && stream.Receive() {
		continue
	}
	return err
}

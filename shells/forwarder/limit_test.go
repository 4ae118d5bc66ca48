package forwarder_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// TestLogTellsWhichLimitEndedRequest guards against logs that do not tell a request that ended at
// its route's limit from one that ended at its caller's, or beside a change or a stop.
func TestLogTellsWhichLimitEndedRequest(t *testing.T) {
	for _, c := range []struct {
		name           string
		callerDeadline time.Duration
		situation      forwarder.Situation
		limit          string
		configNow      int64
	}{
		{name: "Route", limit: "Route"},
		{name: "RouteBeforeCaller", callerDeadline: 2 * time.Second, limit: "Route", situation: forwarder.Situation{ConfigVersion: 7}},
		{name: "Caller", callerDeadline: time.Second, limit: "Caller", situation: forwarder.Situation{ConfigVersion: 8, Leaving: true}, configNow: 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				logger := logrus.New()
				logger.SetOutput(&out)
				logger.SetFormatter(&logrus.JSONFormatter{})
				p := placer.New(placer.Config{})
				p.SetFleet(time.Now(), placer.Fleet{
					Replicas: filbertstile.NewTable(filbertstile.Replica{ID: "first", Service: "s", Address: "first", Slots: 1}),
					Pools:    filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
				})
				f := forwarder.New(forwarder.Config{
					Placer: p, Link: &script{steps: []step{responseTimeout}}, Log: reporter.New(reporter.Config{Logger: logger}), Situation: func() forwarder.Situation { return c.situation },
					VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
				})
				now := time.Now()
				call := &forwarder.Call{ID: "1", Route: route(filbertstile.CallNonIdempotent), Service: "s", Arrived: now, Deadline: now.Add(time.Second), ConfigVersion: 7}
				if c.callerDeadline > 0 {
					call.CallerDeadline = now.Add(c.callerDeadline)
				}
				f.Serve(t.Context(), call, &caller{})
				events := 0
				for _, line := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
					var got struct {
						Msg, Limit, LimitLeft string
						Leaving               bool
						ConfigNow             int64
					}
					is.NoErr(json.Unmarshal(line, &got))
					if got.Msg != "RequestFailed" && got.Msg != "AttemptEnded" {
						continue
					}
					events++
					left, err := time.ParseDuration(got.LimitLeft)
					is.NoErr(err)
					is.True(left <= 0)
					is.Equal(got.Limit, c.limit)
					is.Equal(got.Leaving, c.situation.Leaving)
					is.Equal(got.ConfigNow, c.configNow)
				}
				is.Equal(events, 2)
			})
		})
	}
}

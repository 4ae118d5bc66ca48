package edgerunner

import (
	"encoding/json"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/transport/pulser"
)

// TestContactsGetHeartbeatsBeforeMembersAreListed guards against entries that all read the store
// at once after the first of them has failed to, because none has heard the others yet.
func TestContactsGetHeartbeatsBeforeMembersAreListed(t *testing.T) {
	is := is.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := reporter.New(reporter.Config{Logger: logger})
	self := filbertstile.Member{Name: "e1", Role: filbertstile.RoleEntry, Domain: "d"}
	other := filbertstile.Member{Name: "e2", Role: filbertstile.RoleEntry, Domain: "d", Address: "127.0.0.1:2"}
	e := New(Config{Self: self, Metrics: metrics.NewRegistry(), Log: log})
	newMembers := func(prefix string) *tracker.Tracker[filbertstile.Member] {
		return tracker.New(tracker.Config[filbertstile.Member]{Prefix: prefix, Clock: e.config.Clock, Log: log, Decode: func(o filbertstile.Object) (filbertstile.Member, error) {
			var m filbertstile.Member
			return m, json.Unmarshal(o.Value, &m)
		}})
	}
	e.sources = Sources{Routing: tracker.New(tracker.Config[filbertstile.Routing]{Prefix: "config/", Clock: e.config.Clock, Log: log}), Marks: tracker.New(tracker.Config[filbertstile.Mark]{Prefix: "marks/", Clock: e.config.Clock, Log: log}), Members: newMembers("members/"), Contacts: newMembers("contacts/")}
	e.pulser = pulser.New(pulser.Config{Self: self, Log: log})
	is.Equal(len(e.domainPeers()), 0)
	var objects []filbertstile.Object
	for _, m := range []filbertstile.Member{self, other} {
		value, err := json.Marshal(m)
		is.NoErr(err)
		objects = append(objects, filbertstile.Object{Key: "contacts/" + m.Name, Version: 1, Value: value})
	}
	is.True(e.sources.Contacts.Follow(tracker.Update{Era: 1, Revision: 1, Complete: true, Objects: objects}, 0))
	messages := e.compose()
	is.Equal(len(messages), 1)
	is.Equal(messages[0].To, []filbertstile.Member{other})
	is.Equal(e.domainPeers()[0].Member, other)

	// The list of all processes replaces the contacts.
	is.True(e.sources.Members.Follow(tracker.Update{Era: 1, Revision: 1, Complete: true, Objects: objects[:1]}, 0))
	is.Equal(len(e.domainPeers()), 0)
}

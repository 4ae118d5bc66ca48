// Package joiner implements the part that all processes of the system share: the
// announcement on the host list, the view of the configuration, the sessions with other
// processes, metrics and dumps.
package joiner

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/outside/lister"
	"filbertstile.example/filbertstile/outside/storer"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/messenger"
	"filbertstile.example/filbertstile/transport/responder"
)

const (
	announceInterval      = time.Second
	announceTimeout       = 2 * time.Second
	maxConcurrentRequests = 4096
	readyPollInterval     = 10 * time.Millisecond
	dumpPieceBytes        = 64 << 10
)

// Config configures a Node.
type Config struct {
	Self    filbertstile.Member
	Network filbertstile.Network
	// ObjectAPI and HostList are addresses.
	ObjectAPI string
	HostList  string
	Logger    *logrus.Logger
	// Subsystems lists the subsystems to log; empty means all.
	Subsystems []string
	// Tree determines the shape of the relay tree.
	Tree relayer.Limits
	// Trust sets how long evidence that the view is current stays valid.
	Trust evaluator.Limits
	// Handle handles the requests that the node does not handle itself.
	Handle messenger.Handler
	// Dump returns the state that is specific to the process's role, for Dump.Role.
	Dump func() any
}

// Node is the part of a process that all roles share.
type Node struct {
	config  Config
	Holder  *viewer.Holder
	Relay   *relayer.Relay
	Client  *messenger.Client
	Store   *storer.Client
	List    *lister.Client
	Log     *reporter.Log
	Metrics metrics.Registry

	// self is the process's own member, as it is announced.
	self    atomic.Pointer[filbertstile.Member]
	leaving atomic.Bool
	server  *messenger.Server
}

// New returns a node. It does nothing until Run is called.
func New(c Config) (*Node, error) {
	n := &Node{
		config:  c,
		Holder:  viewer.NewHolder(),
		Client:  messenger.NewClient(messenger.ClientConfig{Network: c.Network, Sender: c.Self.Name}),
		List:    lister.New(lister.Config{Address: c.HostList, Network: c.Network}),
		Log:     reporter.New(reporter.Config{Logger: c.Logger, Process: c.Self.Name, Subsystems: c.Subsystems}),
		Metrics: metrics.NewRegistry(),
	}
	n.Store = storer.New(storer.Config{Address: c.ObjectAPI, Network: c.Network, Metrics: n.Metrics})
	self := c.Self
	n.self.Store(&self)
	server, err := messenger.NewServer(messenger.ServerConfig{Handler: n.handle, Concurrency: maxConcurrentRequests})
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", c.Self.Name, err)
	}
	n.server = server
	n.Relay = relayer.New(relayer.Config{
		Self: c.Self, Holder: n.Holder, Store: n.Store, List: n.List, Client: n.Client, Log: n.Log, Limits: c.Tree, Trust: c.Trust,
	})
	return n, nil
}

// Self returns the process's own member, with Leaving set after Leave was called.
func (n *Node) Self() filbertstile.Member { return *n.self.Load() }

// Leaving reports whether a planned stop has begun.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Run serves requests of other processes on the listener until the context ends.
func (n *Node) Run(ctx context.Context, l net.Listener) error {
	n.Log.Event(reporter.ProcessStarted, reporter.Fields{"Address": l.Addr().String()})
	var wg sync.WaitGroup
	wg.Go(func() { n.keepAnnounced(ctx) })
	wg.Go(func() { n.Relay.Run(ctx) })
	err := n.server.Serve(ctx, l)
	n.Client.Close()
	wg.Wait()
	n.Store.Close()
	n.List.Close()
	return err
}

// keepAnnounced announces the node whenever the host list does not show its current
// state, because the platform may lose entries of the list.
func (n *Node) keepAnnounced(ctx context.Context) {
	for {
		self := n.Self()
		listed, ok := n.Holder.View().Members.Get(self.Name)
		if !ok || listed != self {
			if err := n.announce(ctx); err != nil {
				n.Log.Event(reporter.ListOutOfReach, reporter.Fields{"Error": err})
			}
		}
		if sleeper.Sleep(ctx, announceInterval) != nil {
			return
		}
	}
}

// announce adds the node to the host list or updates its entry.
func (n *Node) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return n.List.Announce(ctx, n.Self())
}

// Leave announces a planned stop. If the host list does not respond, keepAnnounced
// retries until the process ends. Peers learn of the stop directly.
func (n *Node) Leave(ctx context.Context) {
	self := n.Self().WithLeaving()
	n.self.Store(&self)
	n.leaving.Store(true)
	n.Log.Event(reporter.ProcessLeaving, nil)
	if err := n.announce(ctx); err != nil {
		n.Log.Event(reporter.ListOutOfReach, reporter.Fields{"Error": err})
	}
}

// AwaitReady waits until the view is no longer stale, because the store or a peer has
// confirmed it.
func (n *Node) AwaitReady(ctx context.Context) error {
	for n.Relay.Trust() == evaluator.Stale {
		if err := sleeper.Sleep(ctx, readyPollInterval); err != nil {
			return fmt.Errorf("wait for a confirmed view: %w", err)
		}
	}
	n.Log.Event(reporter.ProcessReady, reporter.Fields{"Revision": n.Holder.View().Config.Revision})
	return nil
}

// handle handles a request of another process.
func (n *Node) handle(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	switch req.GetKind().(type) {
	case *wire.Request_Subscribe:
		n.Relay.HandleSubscribe(ctx, req, s)
	case *wire.Request_Push:
		n.Relay.HandlePush(req, s)
	case *wire.Request_Watch:
		n.Relay.HandleWatch(s)
	case *wire.Request_Dump:
		n.sendDump(s)
	default:
		n.config.Handle(ctx, req, s)
	}
}

// Dump is the state of a process, as shown to operators.
type Dump struct {
	Self     filbertstile.Member
	Trust    evaluator.Trust
	Place    relayer.Place
	Revision uint64
	// Vouched is the time since the store confirmed the view.
	Vouched time.Duration
	Config  filbertstile.Config
	Members filbertstile.Table[filbertstile.Member]
	// Role is the state that is specific to the process's role.
	Role any
}

// Dump returns the state of the process.
func (n *Node) Dump() Dump {
	v := n.Holder.View()
	return Dump{
		Self: n.Self(), Trust: n.Relay.Trust(), Place: n.Relay.Place(), Revision: v.Config.Revision,
		Vouched: time.Since(v.ConfirmedAt), Config: v.Config, Members: v.Members, Role: n.config.Dump(),
	}
}

// sendDump sends the dump as JSON.
func (n *Node) sendDump(s *messenger.Stream) {
	data, err := json.Marshal(n.Dump())
	if err != nil {
		n.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "dump", "Error": err})
		return
	}
	// An error means that the reader has disconnected and no longer needs the dump.
	_ = s.SendContent(data, dumpPieceBytes)
}

// HandleHTTP handles requests for /metrics and /dump. For other paths it returns false.
func (n *Node) HandleHTTP(rc *fasthttp.RequestCtx) bool {
	switch string(rc.Path()) {
	case "/metrics":
		rc.SetContentType("application/json")
		metrics.WriteJSONOnce(n.Metrics, rc)
	case "/dump":
		responder.WriteJSON(rc, fasthttp.StatusOK, n.Dump())
	default:
		return false
	}
	return true
}

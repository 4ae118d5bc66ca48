// Package joiner holds what every process of the system has: its place among
// the others, its view of the configuration, its sessions, metrics and dumps.
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
	"filbertstile.example/filbertstile/decisions/voucher"
	"filbertstile.example/filbertstile/outside/lister"
	"filbertstile.example/filbertstile/outside/storer"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/messenger"
	"filbertstile.example/filbertstile/transport/responder"
)

const (
	announceEvery  = time.Second
	announceWait   = 2 * time.Second
	concurrency    = 4096
	readyPoll      = 10 * time.Millisecond
	dumpPieceBytes = 64 << 10
)

// Config puts a node together.
type Config struct {
	Self       filbertstile.Member
	Network    filbertstile.Network
	ObjectAPI  string
	HostList   string
	Logger     *logrus.Logger
	Subsystems []string
	Tree       relayer.Limits
	Trust      voucher.Limits
	// Handle serves the requests that are not for the node itself.
	Handle messenger.Handler
	// Dump returns the role's tables.
	Dump func() any
}

// Node is a process's common part.
type Node struct {
	config  Config
	Holder  *viewer.Holder
	Relay   *relayer.Relay
	Client  *messenger.Client
	Store   *storer.Client
	List    *lister.Client
	Log     *reporter.Log
	Metrics metrics.Registry

	self    atomic.Pointer[filbertstile.Member]
	leaving atomic.Bool
	server  *messenger.Server
}

// New returns a node that does not run yet.
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
	server, err := messenger.NewServer(messenger.ServerConfig{Handler: n.handle, Concurrency: concurrency})
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", c.Self.Name, err)
	}
	n.server = server
	n.Relay = relayer.New(relayer.Config{
		Self: c.Self, Holder: n.Holder, Store: n.Store, List: n.List, Client: n.Client, Log: n.Log, Limits: c.Tree, Trust: c.Trust,
	})
	return n, nil
}

// Self returns the member as it is announced.
func (n *Node) Self() filbertstile.Member { return *n.self.Load() }

// Leaving tells whether a planned stop was announced.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Run serves the other processes at the listener until the context ends.
func (n *Node) Run(ctx context.Context, l net.Listener) error {
	n.Log.Event(reporter.ProcessStarted, reporter.Fields{"Address": l.Addr().String()})
	var wg sync.WaitGroup
	wg.Go(func() { n.announceAgain(ctx) })
	wg.Go(func() { n.Relay.Run(ctx) })
	err := n.server.Serve(ctx, l)
	n.Client.Close()
	wg.Wait()
	n.Store.Close()
	n.List.Close()
	return err
}

// announceAgain keeps the node on the list, whose keeper may forget it.
func (n *Node) announceAgain(ctx context.Context) {
	for {
		self := n.Self()
		listed, ok := n.Holder.View().Members.Get(self.Name)
		if !ok || listed != self {
			if err := n.announce(ctx); err != nil {
				n.Log.Event(reporter.ListOutOfReach, reporter.Fields{"Error": err})
			}
		}
		if sleeper.Sleep(ctx, announceEvery) != nil {
			return
		}
	}
}

func (n *Node) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceWait)
	defer cancel()
	return n.List.Announce(ctx, n.Self())
}

// Leave announces a planned stop. A list that does not answer is told later,
// as long as the process stays; peers hear of the stop directly.
func (n *Node) Leave(ctx context.Context) {
	self := n.Self().WithLeaving()
	n.self.Store(&self)
	n.leaving.Store(true)
	n.Log.Event(reporter.ProcessLeaving, nil)
	if err := n.announce(ctx); err != nil {
		n.Log.Event(reporter.ListOutOfReach, reporter.Fields{"Error": err})
	}
}

// AwaitReady returns when the store or a peer has vouched for the view.
func (n *Node) AwaitReady(ctx context.Context) error {
	for n.Relay.Trust() == voucher.Stale {
		if err := sleeper.Sleep(ctx, readyPoll); err != nil {
			return fmt.Errorf("wait for a vouched view: %w", err)
		}
	}
	n.Log.Event(reporter.ProcessReady, reporter.Fields{"Revision": n.Holder.View().Config.Revision})
	return nil
}

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

// Dump is the state of a process, as operators see it.
type Dump struct {
	Self     filbertstile.Member
	Trust    voucher.Trust
	Place    relayer.Place
	Revision uint64
	Vouched  time.Duration
	Config   filbertstile.Config
	Members  filbertstile.Table[filbertstile.Member]
	Role     any
}

// Dump returns the state of the process.
func (n *Node) Dump() Dump {
	v := n.Holder.View()
	return Dump{
		Self: n.Self(), Trust: n.Relay.Trust(), Place: n.Relay.Place(), Revision: v.Config.Revision,
		Vouched: time.Since(v.ConfirmedAt), Config: v.Config, Members: v.Members, Role: n.config.Dump(),
	}
}

func (n *Node) sendDump(s *messenger.Stream) {
	data, err := json.Marshal(n.Dump())
	if err != nil {
		n.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "dump", "Error": err})
		return
	}
	// A reader that goes away needs no dump.
	_ = s.SendContent(data, dumpPieceBytes)
}

// HandleHTTP answers /metrics and /dump, and reports whether it did.
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

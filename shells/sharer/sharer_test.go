package sharer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/selector"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/shells/sharer"
	"filbertstile.example/filbertstile/transport/messenger"
)

const (
	prefix       = "kind/"
	watchTimeout = 1200 * time.Millisecond
	maxCopyAge   = 1700 * time.Millisecond
	// maxHostCopyAge is the same for hosts, whose copies may be older.
	maxHostCopyAge = 6 * time.Second
	// revokeLimit is the age at which an entry stops honouring keys; it must not be
	// reached while other processes of the domain reach the store.
	revokeLimit = 4600 * time.Millisecond
	// heartbeatDelay is the age of what processes know of each other.
	heartbeatDelay = 100 * time.Millisecond
)

type item struct{ name, value string }

func (i item) Key() string { return i.name }

// write is a change of the store: object name gets the value of the revision.
type write struct {
	era, revision uint64
	name          string
	at            time.Time
}

// store is a store that may turn processes away, lose its history, and come back from an
// older copy.
type store struct {
	filbertstile.Store
	mu       sync.Mutex
	era      uint64
	revision uint64
	writes   []write // of the current era's history
	// started is the first time of each era.
	eraStartedAt map[uint64]time.Time
	historyFrom  uint64
	refused      map[string]bool
	calls        map[string]int
	changed      chan struct{}
}

func newStore() *store {
	return &store{era: 1, revision: 1, refused: make(map[string]bool), calls: make(map[string]int), changed: make(chan struct{}), eraStartedAt: map[uint64]time.Time{1: time.Now()}}
}

// put writes one of a few objects.
func (s *store) put(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.writes = append(s.writes, write{era: s.era, revision: s.revision, name: fmt.Sprint("o", n%7), at: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings back the state of some writes ago, in a new era.
func (s *store) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := max(0, len(s.writes)-lost)
	if lost = len(s.writes) - keep; lost > 0 {
		s.revision = s.writes[keep].revision - 1
	}
	s.writes = slices.Clone(s.writes[:keep])
	s.era++
	s.eraStartedAt[s.era] = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory makes watches from earlier revisions fail.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyFrom = s.revision
}

func (s *store) setRefused(name string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[name] = refused
}

// totalCalls returns the number of calls of all processes and the names of the callers since
// the last call.
func (s *store) totalCalls() (int, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	var names []string
	for name, calls := range s.calls {
		n += calls
		names = append(names, name)
	}
	clear(s.calls)
	return n, names
}

// client is the store as one process sees it.
type client struct {
	*store
	name string
	wait time.Duration
}

var errRefused = errors.New("the store turns this process away")

func (c client) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[c.name]++
	if c.refused[c.name] {
		return errRefused
	}
	return nil
}

func (c client) List(context.Context, string, string) (filbertstile.Batch, error) {
	if err := c.begin(); err != nil {
		return filbertstile.Batch{}, err
	}
	time.Sleep(4 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := make(map[string]uint64)
	for _, w := range c.writes {
		latest[w.name] = w.revision
	}
	b := filbertstile.Batch{Era: c.era, Revision: c.revision}
	for name, revision := range latest {
		b.Objects = append(b.Objects, object(name, revision))
	}
	return b, nil
}

func object(name string, revision uint64) filbertstile.Object {
	return filbertstile.Object{Key: prefix + name, Version: revision, Value: []byte(strconv.FormatUint(revision, 10))}
}

func (c client) Watch(ctx context.Context, _ string, after uint64) (filbertstile.Batch, error) {
	if err := c.begin(); err != nil {
		return filbertstile.Batch{}, err
	}
	timer := time.NewTimer(c.wait)
	defer timer.Stop()
	for expired := false; ; {
		c.mu.Lock()
		b := filbertstile.Batch{Era: c.era, Revision: c.revision}
		for _, w := range c.writes {
			if w.revision > after {
				b.Objects = append(b.Objects, object(w.name, w.revision))
			}
		}
		gone, refused, changed := after < c.historyFrom, c.refused[c.name], c.changed
		c.mu.Unlock()
		switch {
		case refused:
			return filbertstile.Batch{}, errRefused
		case gone:
			return filbertstile.Batch{}, filbertstile.ErrHistoryGone{}
		case len(b.Objects) > 0 || expired:
			return b, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return filbertstile.Batch{}, ctx.Err()
		}
	}
}

// process is an entry, or a host if it is in no domain order.
type process struct {
	member  filbertstile.Member
	copy    *tracker.Tracker[item]
	sharer  *sharer.Sharer
	cancel  context.CancelFunc
	stopped chan struct{}
	running bool
	host    bool
	// seen is the position that was checked last.
	seen tracker.Position
}

// fleet is a system of processes in several failure domains.
type fleet struct {
	t         *testing.T
	ctx       context.Context
	store     *store
	fabric    *shaper.Fabric
	processes []*process
	started   time.Time

	mu sync.Mutex
	// heard is what processes know of each other: the live entries and which are readers.
	heard map[string]bool
}

// withFleet runs f in virtual time with the numbers of entries and hosts in each domain.
func withFleet(t *testing.T, domains, entries, hosts int, f func(s *fleet)) {
	t.Helper()
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		s := &fleet{t: t, ctx: ctx, store: newStore(), fabric: shaper.New(shaper.Config{DomainDelay: time.Millisecond, RegionDelay: 3 * time.Millisecond, Base: shaper.NewMemory()}), started: time.Now(), heard: make(map[string]bool)}
		for d := range domains {
			for n := range entries + hosts {
				domain := fmt.Sprint("d", d)
				s.start(&process{host: n >= entries, member: filbertstile.Member{Name: fmt.Sprintf("%s-%d", domain, n), Domain: domain, Region: domain, Role: filbertstile.RoleEntry}})
			}
		}
		heartbeats, stopHeartbeats := context.WithCancel(ctx)
		go s.exchangeHeartbeats(heartbeats)
		f(s)
		stopHeartbeats()
		for _, p := range s.processes {
			s.kill(p)
		}
	})
}

func (s *fleet) clock() time.Duration { return time.Since(s.started) }

// start starts a process that holds nothing.
func (s *fleet) start(p *process) {
	if p.member.Address == "" {
		s.processes = append(s.processes, p)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := reporter.New(reporter.Config{Logger: logger})
	ctx, cancel := context.WithCancel(s.ctx)
	network := s.fabric.Network(shaper.Site{Name: p.member.Name, Domain: p.member.Domain, Region: p.member.Region})
	p.copy = tracker.New(tracker.Config[item]{
		Store: client{store: s.store, name: p.member.Name, wait: watchTimeout}, Immediate: client{store: s.store, name: p.member.Name},
		Prefix: prefix, Clock: s.clock, Log: log, WatchTimeout: watchTimeout,
		Decode: func(o filbertstile.Object) (item, error) { return item{name: o.Key, value: string(o.Value)}, nil },
	})
	messages := messenger.NewClient(messenger.ClientConfig{Network: network, Sender: p.member.Name})
	choose, maxAge, startTimeout := selector.Choose, maxCopyAge, time.Second
	if p.host {
		choose, maxAge, startTimeout = selector.ChooseAny, maxHostCopyAge, 3*time.Second
	}
	p.sharer = sharer.New(sharer.Config{
		Self: p.member, Copies: []sharer.SharedCopy{{Copy: p.copy, MaxAge: maxAge}}, Choose: choose, StartTimeout: startTimeout, Clock: s.clock, Client: messages, Log: log,
		Peers: func() []sharer.Peer { return s.peersOf(p) },
	})
	server, err := messenger.NewServer(messenger.ServerConfig{Handler: p.sharer.Serve, Concurrency: 256})
	if err != nil {
		s.t.Fatal(err)
	}
	l, err := network.Listen("127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	p.member.Address = l.Addr().String()
	p.cancel, p.stopped, p.running, p.seen = cancel, make(chan struct{}), true, tracker.Position{}
	go func(stopped chan struct{}) {
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(ctx, l) })
		wg.Go(func() { p.copy.Run(ctx) })
		wg.Go(func() { p.sharer.Run(ctx) })
		wg.Wait()
		messages.Close()
		close(stopped)
	}(p.stopped)
}

// kill ends a process.
func (s *fleet) kill(p *process) {
	if p.running {
		p.running = false
		p.cancel()
		<-p.stopped
	}
}

// exchangeHeartbeats lets processes learn of each other with a delay.
func (s *fleet) exchangeHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		heard := make(map[string]bool)
		for _, p := range s.processes {
			if p.running && !p.host {
				heard[p.member.Name] = p.sharer.Reader()
			}
		}
		s.mu.Lock()
		s.heard = heard
		s.mu.Unlock()
		select {
		case <-time.After(heartbeatDelay):
		case <-ctx.Done():
		}
	}
}

// peersOf returns the entries of the process's domain, as its heartbeats show them; a host
// knows only which are registered.
func (s *fleet) peersOf(p *process) []sharer.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []sharer.Peer
	for _, o := range s.processes {
		reader, live := s.heard[o.member.Name]
		if o != p && !o.host && o.member.Domain == p.member.Domain {
			out = append(out, sharer.Peer{Member: o.member, Heard: live, Reader: reader})
		}
	}
	return out
}

// run lets time pass, and checks all processes meanwhile. It returns the highest age seen of
// any process for which counts is true.
func (s *fleet) run(d time.Duration, counts func(p *process) bool) time.Duration {
	highest := time.Duration(0)
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		for _, p := range s.processes {
			if !p.running {
				continue
			}
			s.check(p)
			if pos, _ := p.copy.Position(); counts(p) {
				highest = max(highest, s.clock()-pos.ConfirmedAt)
			}
		}
	}
	return highest
}

// check checks that the copy was true, never goes back within an era, and is no older than
// it claims.
func (s *fleet) check(p *process) {
	pos, _ := p.copy.Position()
	if !pos.Listed {
		return
	}
	if pos.Era < p.seen.Era || pos.Era == p.seen.Era && pos.Revision < p.seen.Revision {
		s.t.Fatalf("%s went back from era %d revision %d to era %d revision %d", p.member.Name, p.seen.Era, p.seen.Revision, pos.Era, pos.Revision)
	}
	p.seen = pos
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if pos.Era != s.store.era {
		if claimed := s.started.Add(pos.ConfirmedAt); claimed.After(s.store.eraStartedAt[pos.Era+1]) {
			s.t.Fatalf("%s claims that era %d was confirmed %s after it had ended", p.member.Name, pos.Era, claimed.Sub(s.store.eraStartedAt[pos.Era+1]))
		}
		return
	}
	want := make(map[string]string)
	for _, w := range s.store.writes {
		if w.revision <= pos.Revision {
			want[prefix+w.name] = strconv.FormatUint(w.revision, 10)
		} else if claimed := s.started.Add(pos.ConfirmedAt); claimed.After(w.at) {
			s.t.Fatalf("%s claims to be up to date as of %s after revision %d was written, but has %d", p.member.Name, claimed.Sub(w.at), w.revision, pos.Revision)
		}
	}
	rows := p.copy.View().Rows
	if rows.Len() != len(want) {
		s.t.Fatalf("%s has %d rows at revision %d, want %d", p.member.Name, rows.Len(), pos.Revision, len(want))
	}
	for _, r := range rows.All() {
		if want[r.name] != r.value {
			s.t.Fatalf("%s has %s = %s at revision %d, want %s", p.member.Name, r.name, r.value, pos.Revision, want[r.name])
		}
	}
}

func all(*process) bool { return true }

// readers returns the entries that read the store.
func (s *fleet) readers() []*process {
	return slices.DeleteFunc(slices.Clone(s.processes), func(p *process) bool { return !p.running || !p.sharer.Reader() })
}

// TestFewProcessesReadTheStore guards against calls of the store that grow with the number
// of processes: one entry of each failure domain reads, whatever their number, and every
// process has each change within the time of a message.
func TestFewProcessesReadTheStore(t *testing.T) {
	for _, size := range []struct{ entries, hosts int }{{4, 4}, {20, 28}, {60, 140}} {
		t.Run(fmt.Sprint(5*(size.entries+size.hosts)), func(t *testing.T) {
			withFleet(t, 5, size.entries, size.hosts, func(s *fleet) {
				s.run(8*time.Second, all)
				// All processes start at the same moment.
				if calls, _ := s.store.totalCalls(); calls > 5*15 {
					t.Errorf("%d calls in the first 8 s", calls)
				}
				const seconds = 10
				age := s.run(seconds*time.Second, all)
				calls, names := s.store.totalCalls()
				t.Logf("%d processes: %d calls in %d s by %s, highest age %s", len(s.processes), calls, seconds, strings.Join(names, " "), age)
				// One watch for each domain in each watchTimeout.
				if limit := 5 * (seconds*1000/int(watchTimeout.Milliseconds()) + 2); calls > limit || len(names) > 5 {
					t.Errorf("%d calls by %d processes, want at most %d by 5", calls, len(names), limit)
				}
				if age > maxCopyAge {
					t.Errorf("highest age %s, want at most %s", age, maxCopyAge)
				}
				s.store.put(1)
				time.Sleep(100 * time.Millisecond)
				for _, p := range s.processes {
					if pos, _ := p.copy.Position(); pos.Revision != 2 {
						t.Fatalf("%s has revision %d 100 ms after revision 2 was written", p.member.Name, pos.Revision)
					}
				}
			})
		})
	}
}

// TestReaderFails guards against copies that grow too old when the process that reads the
// store for a failure domain fails in any way, while other processes reach the store.
func TestReaderFails(t *testing.T) {
	faults := map[string]func(s *fleet, p *process){
		"killed":      func(s *fleet, p *process) { s.kill(p) },
		"stalled":     func(s *fleet, p *process) { s.fabric.SetStalled(p.member.Name, true) },
		"turned away": func(s *fleet, p *process) { s.store.setRefused(p.member.Name, true) },
		"cut and away": func(s *fleet, p *process) {
			s.fabric.SetStalled(p.member.Name, true)
			s.store.setRefused(p.member.Name, true)
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 2, 20, 30, func(s *fleet) {
				s.run(8*time.Second, all)
				failed := s.readers()
				for _, p := range failed {
					fault(s, p)
				}
				age := s.run(12*time.Second, func(p *process) bool { return !slices.Contains(failed, p) })
				t.Logf("highest age %s, readers %d", age, len(s.readers()))
				if age > 2900*time.Millisecond {
					t.Errorf("highest age %s: entries were not ready, or honoured no keys", age)
				}
				s.store.totalCalls()
				s.run(10*time.Second, all)
				if _, names := s.store.totalCalls(); len(names) > 4 {
					t.Errorf("%d processes read the store: %v", len(names), names)
				}
			})
		})
	}
}

// TestAllFollowersReadWhenAlone guards against a process that nobody serves: all but one of
// the domain's entries are gone.
func TestAllFollowersReadWhenAlone(t *testing.T) {
	withFleet(t, 1, 12, 10, func(s *fleet) {
		s.run(8*time.Second, all)
		for _, p := range s.processes[:11] {
			s.kill(p)
		}
		if age := s.run(10*time.Second, all); age > revokeLimit {
			t.Errorf("highest age %s, want at most %s", age, revokeLimit)
		}
	})
}

// TestStoreOutageAndReturn guards against calls of all processes at the moment at which the
// store returns, and against copies that claim to be confirmed meanwhile.
func TestStoreOutageAndReturn(t *testing.T) {
	withFleet(t, 2, 20, 30, func(s *fleet) {
		s.run(8*time.Second, all)
		for _, p := range s.processes {
			s.store.setRefused(p.member.Name, true)
		}
		s.store.totalCalls()
		s.run(10*time.Second, all)
		// The first few of each failure domain try often, the others rarely.
		if calls, _ := s.store.totalCalls(); calls > 10*len(s.processes)*3/4 {
			t.Errorf("%d calls by %d processes in 10 s without an answer", calls, len(s.processes))
		}
		for _, p := range s.processes {
			s.store.setRefused(p.member.Name, false)
		}
		s.run(3*time.Second, all)
		if age := s.run(5*time.Second, all); age > maxCopyAge {
			t.Errorf("highest age %s, want at most %s", age, maxCopyAge)
		}
	})
}

// TestNewEra guards against copies that miss what was written under revisions that were
// given out a second time, and against processes that keep the era before.
func TestNewEra(t *testing.T) {
	withFleet(t, 3, 15, 20, func(s *fleet) {
		for n := range 20 {
			s.store.put(n)
		}
		s.run(8*time.Second, all)
		s.store.restore(10)
		for n := range 12 {
			s.store.put(100 + n) // some revisions are higher than any process has seen
		}
		s.run(4*time.Second, all)
		for _, p := range s.processes {
			if pos, _ := p.copy.Position(); pos.Era != 2 || pos.Revision != s.store.revision {
				t.Fatalf("%s is at era %d revision %d, want 2 and %d", p.member.Name, pos.Era, pos.Revision, s.store.revision)
			}
		}
	})
}

// TestRandomFaults plays random series of writes, new eras, lost history and failed
// processes, and checks each copy all the while. Afterwards all copies must agree.
func TestRandomFaults(t *testing.T) {
	const seeds = 6
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("Seed", seed), func(t *testing.T) {
			withFleet(t, 3, 14, 20, func(s *fleet) {
				rng := rand.New(rand.NewPCG(seed, 5))
				s.run(3*time.Second, all)
				for n := range 60 {
					s.injectRandom(rng, n)
					s.run(time.Duration(50+rng.IntN(600))*time.Millisecond, all)
				}
				for _, p := range s.processes {
					s.store.setRefused(p.member.Name, false)
					s.fabric.SetStalled(p.member.Name, false)
					if !p.running {
						s.start(p)
					}
				}
				s.run(12*time.Second, all)
				for _, p := range s.processes {
					if pos, _ := p.copy.Position(); pos.Era != s.store.era || pos.Revision != s.store.revision {
						t.Fatalf("%s is at era %d revision %d, want %d and %d", p.member.Name, pos.Era, pos.Revision, s.store.era, s.store.revision)
					}
				}
			})
		})
	}
}

// injectRandom makes one random change.
func (s *fleet) injectRandom(rng *rand.Rand, n int) {
	p := s.processes[rng.IntN(len(s.processes))]
	if r := s.readers(); rng.IntN(2) == 0 && len(r) > 0 {
		p = r[rng.IntN(len(r))]
	}
	switch rng.IntN(10) {
	case 0, 1, 2, 3:
		for i := range 1 + rng.IntN(4) {
			s.store.put(10*n + i)
		}
	case 4:
		s.store.restore(rng.IntN(6))
	case 5:
		s.store.dropHistory()
	case 6:
		s.store.setRefused(p.member.Name, !s.store.refused[p.member.Name])
	case 7:
		s.fabric.SetStalled(p.member.Name, rng.IntN(2) == 0)
	case 8:
		s.kill(p)
	case 9:
		if !p.running {
			s.fabric.SetStalled(p.member.Name, false)
			s.start(p)
		}
	}
}

// Package reporter logs numbered events. The catalogue below is the source of
// docs/LOGS.md.
package reporter

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"
)

// Event is a kind of log line, by its stable number.
type Event int

// Events, by subsystem: 1xx process, 2xx configuration, 3xx requests, 4xx
// weights, 5xx rollout, 6xx non-idempotent calls, 7xx limits.
const (
	ProcessStarted      Event = 101
	ProcessReady        Event = 102
	ProcessLeaving      Event = 103
	ProcessStopped      Event = 104
	StepFailed          Event = 105
	ListOutOfReach      Event = 106
	ChangeApplied       Event = 201
	ParentLost          Event = 202
	StoreOutOfReach     Event = 203
	StoreBack           Event = 204
	ViewStale           Event = 205
	ViewTrusted         Event = 206
	ChangeAccepted      Event = 207
	ChangeRefused       Event = 208
	PushIncomplete      Event = 209
	SnapshotFailed      Event = 210
	HistoryGone         Event = 211
	ObjectUnreadable    Event = 212
	SettingsReloaded    Event = 213
	HostLost            Event = 301
	HostFound           Event = 302
	RequestFailed       Event = 303
	StreamResumed       Event = 304
	BackendCold         Event = 305
	AttemptEnded        Event = 306
	RequestRefused      Event = 307
	RequestDone         Event = 308
	CallerLeft          Event = 309
	ReplicaHeld         Event = 310
	ReplicasChanged     Event = 311
	PeersChanged        Event = 312
	TransferStarted     Event = 401
	TransferDone        Event = 402
	ChunkRefused        Event = 403
	PeerSetAside        Event = 404
	SourceFailed        Event = 405
	ChunkRestaged       Event = 406
	VersionNamed        Event = 407
	SwitchStarted       Event = 501
	SwitchDone          Event = 502
	SwitchFailed        Event = 503
	LeaseTaken          Event = 504
	LeaseLost           Event = 505
	PermitRefused       Event = 506
	CommitFailed        Event = 601
	OutcomeUnknown      Event = 602
	RequestSealed       Event = 603
	QuotaOwnerUnreached Event = 701
)

// Entry describes an event in the catalogue.
type Entry struct {
	Event     Event
	Name      string
	Subsystem string
	Level     logrus.Level
	Meaning   string
	Action    string
}

const nothing = "None."

// Catalogue lists every event.
var Catalogue = []Entry{
	{ProcessStarted, "ProcessStarted", "process", logrus.InfoLevel, "A process has started and listens.", nothing},
	{ProcessReady, "ProcessReady", "process", logrus.InfoLevel, "The store or a peer has vouched for the process's view; it takes work.", nothing},
	{ProcessLeaving, "ProcessLeaving", "process", logrus.InfoLevel, "A planned stop was announced; no new work is taken.", nothing},
	{ProcessStopped, "ProcessStopped", "process", logrus.InfoLevel, "All work in hand is finished and the process ends.", nothing},
	{StepFailed, "StepFailed", "process", logrus.WarnLevel, "A background step failed and will be tried again.", "Look at the step and the peer named in the line."},
	{ListOutOfReach, "ListOutOfReach", "process", logrus.WarnLevel, "The host list does not answer; the members last seen stay in use.", "Check the platform's host list."},
	{ChangeApplied, "ChangeApplied", "config", logrus.InfoLevel, "A configuration revision is in force in this process.", nothing},
	{ParentLost, "ParentLost", "config", logrus.InfoLevel, "The subscription to a relay ended; the other one serves until it is back.", "Look at the relay if this repeats."},
	{StoreOutOfReach, "StoreOutOfReach", "config", logrus.WarnLevel, "The object API does not answer this relay.", "Check the platform; serving goes on."},
	{StoreBack, "StoreBack", "config", logrus.InfoLevel, "The object API answers again.", nothing},
	{ViewStale, "ViewStale", "config", logrus.WarnLevel, "Others may have a newer configuration; new work is refused as NotRun.", "Check the network between this host and the relays."},
	{ViewTrusted, "ViewTrusted", "config", logrus.InfoLevel, "The view is confirmed again; work is taken.", nothing},
	{ChangeAccepted, "ChangeAccepted", "config", logrus.InfoLevel, "An operator's change was accepted.", nothing},
	{ChangeRefused, "ChangeRefused", "config", logrus.InfoLevel, "An operator's change was refused; nothing of it is in force.", "The operator's answer names the fields."},
	{PushIncomplete, "PushIncomplete", "config", logrus.WarnLevel, "An accepted change has not reached more than half of the relays directly.", "Use watch to see where it is not in force."},
	{SnapshotFailed, "SnapshotFailed", "config", logrus.WarnLevel, "The snapshot of the configuration was not written; the log grows until the next one.", "Check the object API."},
	{HistoryGone, "HistoryGone", "config", logrus.InfoLevel, "The store no longer keeps the history that a watch started from; the objects are listed again.", nothing},
	{ObjectUnreadable, "ObjectUnreadable", "config", logrus.WarnLevel, "An object of the store cannot be read and is left out.", "Look at the object and at who wrote it."},
	{SettingsReloaded, "SettingsReloaded", "process", logrus.InfoLevel, "The settings file was read again on SIGHUP.", nothing},
	{HostLost, "HostLost", "requests", logrus.WarnLevel, "A host process no longer answers; no work goes there.", "Check the host if it stays away."},
	{HostFound, "HostFound", "requests", logrus.InfoLevel, "A host process answers.", nothing},
	{RequestFailed, "RequestFailed", "requests", logrus.InfoLevel, "A request ended without a whole answer.", "The line names the code, the step and the peer."},
	{StreamResumed, "StreamResumed", "requests", logrus.InfoLevel, "A broken stream goes on at another replica of the same release.", nothing},
	{BackendCold, "BackendCold", "requests", logrus.InfoLevel, "A backend server is cold; its limit starts at one again.", nothing},
	{AttemptEnded, "AttemptEnded", "requests", logrus.InfoLevel, "A request was sent to a replica and came back without a whole answer; the line says what follows.", nothing},
	{RequestRefused, "RequestRefused", "requests", logrus.InfoLevel, "A request was refused and has not run; the line names what decided it.", nothing},
	{RequestDone, "RequestDone", "requests", logrus.InfoLevel, "A request was answered.", nothing},
	{CallerLeft, "CallerLeft", "requests", logrus.InfoLevel, "The caller closed its connection before the answer was complete.", nothing},
	{ReplicaHeld, "ReplicaHeld", "requests", logrus.InfoLevel, "A replica failed and gets no requests until the moment in the line.", "Look at the replica if this repeats."},
	{ReplicasChanged, "ReplicasChanged", "requests", logrus.InfoLevel, "The replicas that take requests have changed.", nothing},
	{PeersChanged, "PeersChanged", "process", logrus.InfoLevel, "The processes that are heard have changed.", nothing},
	{TransferStarted, "TransferStarted", "weights", logrus.InfoLevel, "A host starts to fetch a release.", nothing},
	{TransferDone, "TransferDone", "weights", logrus.InfoLevel, "All chunks of a release are held and verified.", nothing},
	{ChunkRefused, "ChunkRefused", "weights", logrus.WarnLevel, "A chunk did not match its digest and was dropped.", "Check the peer or source named in the line."},
	{PeerSetAside, "PeerSetAside", "weights", logrus.WarnLevel, "A peer that sent a bad chunk is not asked for a while.", "Check the peer's memory and network."},
	{SourceFailed, "SourceFailed", "weights", logrus.WarnLevel, "The weight store and the origin did not give a manifest or a chunk.", "Check the weight store."},
	{ChunkRestaged, "ChunkRestaged", "weights", logrus.WarnLevel, "A chunk beside the engine did not match its digest and was put there again.", "Check the replica's machine if this repeats."},
	{VersionNamed, "VersionNamed", "weights", logrus.InfoLevel, "Operators have named a version of the weights.", nothing},
	{SwitchStarted, "SwitchStarted", "rollout", logrus.InfoLevel, "A replica stops taking work in order to load another release.", nothing},
	{SwitchDone, "SwitchDone", "rollout", logrus.InfoLevel, "The engine confirmed the release's digest; the replica takes work.", nothing},
	{SwitchFailed, "SwitchFailed", "rollout", logrus.ErrorLevel, "The engine did not load the release; it is ordered again.", "Look at the engine's own log."},
	{LeaseTaken, "LeaseTaken", "rollout", logrus.InfoLevel, "This entry controls rollouts now.", nothing},
	{LeaseLost, "LeaseLost", "rollout", logrus.InfoLevel, "This entry no longer controls rollouts.", nothing},
	{PermitRefused, "PermitRefused", "rollout", logrus.WarnLevel, "A host refused a permit, as a rule for its old epoch.", nothing},
	{CommitFailed, "CommitFailed", "once", logrus.WarnLevel, "An intent or outcome was not recorded; calls that depend on it end as NotRun.", "Check the object API."},
	{OutcomeUnknown, "OutcomeUnknown", "once", logrus.WarnLevel, "A non-idempotent call may have run, and nobody can tell.", "Look the call up at the backend server before you repeat it."},
	{RequestSealed, "RequestSealed", "once", logrus.InfoLevel, "A host made sure that a request never runs.", nothing},
	{QuotaOwnerUnreached, "QuotaOwnerUnreached", "limits", logrus.InfoLevel, "The owner of an account's quota does not answer; the static share applies.", nothing},
}

func find(e Event) Entry {
	for _, x := range Catalogue {
		if x.Event == e {
			return x
		}
	}
	panic(fmt.Sprintf("event %d is not in the catalogue", int(e)))
}

// Subsystems returns the names that the log switch knows.
func Subsystems() []string {
	var out []string
	for _, e := range Catalogue {
		if !slices.Contains(out, e.Subsystem) {
			out = append(out, e.Subsystem)
		}
	}
	return out
}

// Fields are the facts of one log line.
type Fields = logrus.Fields

// Config describes a log.
type Config struct {
	Logger  *logrus.Logger
	Process string
	// Subsystems lists the subsystems to log; empty means all.
	Subsystems []string
}

// Log writes events of one process.
type Log struct {
	config Config
}

// New returns a log.
func New(c Config) *Log { return &Log{config: c} }

// Event writes one line. Errors and the peers they name go into the fields.
func (l *Log) Event(e Event, f Fields) {
	x := find(e)
	if len(l.config.Subsystems) > 0 && !slices.Contains(l.config.Subsystems, x.Subsystem) {
		return
	}
	entry := l.config.Logger.WithFields(f).WithFields(Fields{"Event": int(e), "Process": l.config.Process})
	entry.Log(x.Level, x.Name)
}

// Markdown renders the catalogue as docs/LOGS.md.
func Markdown() string {
	rows := slices.Clone(Catalogue)
	slices.SortFunc(rows, func(a, b Entry) int { return cmp.Compare(a.Event, b.Event) })
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated by `make docs` from the catalogue in package reporter. Each line of the log has the\n")
	b.WriteString("number in its field `Event`. Settings choose subsystems with `Log.Subsystems`.\n\n")
	b.WriteString("| Event | Name | Subsystem | Level | Meaning | What to do |\n|---|---|---|---|---|---|\n")
	for _, x := range rows {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", int(x.Event), x.Name, x.Subsystem, x.Level, x.Meaning, x.Action)
	}
	return b.String()
}

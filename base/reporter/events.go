// Package reporter logs numbered events. Its catalogue of events is the source of
// docs/LOGS.md.
package reporter

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"
)

// Event identifies a kind of log line by a stable number.
type Event int

// Events, numbered by subsystem: 1xx process, 2xx configuration, 3xx requests, 4xx
// weights, 5xx rollout, 6xx non-idempotent calls, 7xx limits.
const (
	ProcessStarted       Event = 101
	ProcessReady         Event = 102
	ProcessLeaving       Event = 103
	ProcessStopped       Event = 104
	StepFailed           Event = 105
	ListOutOfReach       Event = 106
	PanicRecovered       Event = 107
	ProcessPaused        Event = 108
	ChangeApplied        Event = 201
	ParentLost           Event = 202
	StoreOutOfReach      Event = 203
	StoreBack            Event = 204
	ViewStale            Event = 205
	ViewTrusted          Event = 206
	ChangeAccepted       Event = 207
	ChangeRefused        Event = 208
	PushIncomplete       Event = 209
	SnapshotFailed       Event = 210
	HistoryGone          Event = 211
	ObjectUnreadable     Event = 212
	SettingsReloaded     Event = 213
	StoreEraChanged      Event = 214
	SourceChanged        Event = 215
	ConfigurationRead    Event = 216
	StoreUnavailable     Event = 217
	ConfigurationAdopted Event = 218
	EraCompared          Event = 219
	EraRecorded          Event = 220
	HostLost             Event = 301
	HostFound            Event = 302
	RequestFailed        Event = 303
	StreamResumed        Event = 304
	BackendCold          Event = 305
	AttemptEnded         Event = 306
	RequestRefused       Event = 307
	RequestDone          Event = 308
	CallerLeft           Event = 309
	ReplicaHeld          Event = 310
	ReplicasChanged      Event = 311
	PeersChanged         Event = 312
	ReplicaCrashed       Event = 313
	PromptPartChanged    Event = 314
	ReplicaLeaving       Event = 316
	ReplicaPaused        Event = 317
	RequestSuspected     Event = 318
	ReplicaLimited       Event = 319
	HeaderUnreadable     Event = 320
	BackupRefused        Event = 321
	TransferStarted      Event = 401
	TransferDone         Event = 402
	ChunkRefused         Event = 403
	PeerSetAside         Event = 404
	SourceFailed         Event = 405
	ChunkRestaged        Event = 406
	VersionNamed         Event = 407
	ManifestReplaced     Event = 408
	SwitchStarted        Event = 501
	SwitchDone           Event = 502
	SwitchFailed         Event = 503
	LeaseTaken           Event = 504
	LeaseLost            Event = 505
	PermitRefused        Event = 506
	LoadDoubted          Event = 507
	LoadChecked          Event = 508
	CommitFailed         Event = 601
	OutcomeUnknown       Event = 602
	RequestSealed        Event = 603
	QuotaOwnerUnreached  Event = 701
)

// CatalogueEntry describes an event.
type CatalogueEntry struct {
	Event     Event
	Name      string
	Subsystem string
	Level     logrus.Level
	// Meaning is the description of the event, and Action the advice to operators.
	Meaning string
	Action  string
}

// noAction is the action of events that operators need not act on.
const noAction = "None."

// Catalogue lists every event.
var Catalogue = []CatalogueEntry{
	{ProcessStarted, "ProcessStarted", "process", logrus.InfoLevel, "A process has started and is listening.", noAction},
	{ProcessReady, "ProcessReady", "process", logrus.InfoLevel, "The store or a peer has confirmed the process's view of the configuration; the process accepts work.", noAction},
	{ProcessLeaving, "ProcessLeaving", "process", logrus.InfoLevel, "A planned stop has begun; the process accepts no new work.", noAction},
	{ProcessStopped, "ProcessStopped", "process", logrus.InfoLevel, "All work in flight has finished and the process exits.", noAction},
	{StepFailed, "StepFailed", "process", logrus.WarnLevel, "A background step failed and will be retried.", "Check the step and the peer in the log line."},
	{ListOutOfReach, "ListOutOfReach", "process", logrus.WarnLevel, "The host list is unreachable; the process keeps using the last known members.", "Check the platform's host list."},
	{PanicRecovered, "PanicRecovered", "process", logrus.ErrorLevel, "A panic ended the handling of one request or message; the process goes on.", "Report it with the stack of the log line."},
	{ProcessPaused, "ProcessPaused", "process", logrus.WarnLevel, "The process stood still, or its host was suspended, for the time in the log line.", "Check the host if this repeats."},
	{ChangeApplied, "ChangeApplied", "config", logrus.InfoLevel, "A configuration revision is in force in this process.", noAction},
	{ParentLost, "ParentLost", "config", logrus.InfoLevel, "The subscription to a relay ended; the subscription to the other relay is used until it is restored.", "Check the relay if this repeats."},
	{StoreOutOfReach, "StoreOutOfReach", "config", logrus.WarnLevel, "The object API is unreachable from this process.", "Check the platform; requests are still served."},
	{StoreBack, "StoreBack", "config", logrus.InfoLevel, "The object API is reachable again.", noAction},
	{ViewStale, "ViewStale", "config", logrus.WarnLevel, "Other processes may have a newer configuration; new work is rejected as NotRun.", "Check the network between this host and the relays."},
	{ViewTrusted, "ViewTrusted", "config", logrus.InfoLevel, "The view of the configuration is confirmed again; the process accepts work.", noAction},
	{ChangeAccepted, "ChangeAccepted", "config", logrus.InfoLevel, "An operator's change was accepted.", noAction},
	{ChangeRefused, "ChangeRefused", "config", logrus.InfoLevel, "An operator's change was rejected; no part of it is in force.", "The error returned to the operator names the invalid fields."},
	{PushIncomplete, "PushIncomplete", "config", logrus.WarnLevel, "An accepted change was pushed directly to at most half of the relays.", "Use watch to see where it is not in force."},
	{SnapshotFailed, "SnapshotFailed", "config", logrus.WarnLevel, "The configuration snapshot could not be written; the change log grows until the next snapshot succeeds.", "Check the object API."},
	{HistoryGone, "HistoryGone", "config", logrus.InfoLevel, "The store no longer keeps the history from which a watch started; the objects are listed again.", noAction},
	{ObjectUnreadable, "ObjectUnreadable", "config", logrus.WarnLevel, "An object of the store cannot be decoded and counts as absent; logged once until it can be decoded or is removed.", "Check the object and its writer."},
	{StoreEraChanged, "StoreEraChanged", "config", logrus.WarnLevel, "The store has come back from an older copy of its data; the objects are listed again.", "Check what was written in the seconds before."},
	{SourceChanged, "SourceChanged", "config", logrus.InfoLevel, "The process now reads the store itself, or follows the copy of the process in the log line.", noAction},
	{ConfigurationRead, "ConfigurationRead", "config", logrus.InfoLevel, "A host has the configuration, from the entry in the log line or, without one, from the store.", noAction},
	{StoreUnavailable, "StoreUnavailable", "config", logrus.WarnLevel, "The store is unavailable to most entries. The time in which a chosen version must be in use begins anew when it is back.", "See StoreOutOfReach."},
	{ConfigurationAdopted, "ConfigurationAdopted", "config", logrus.WarnLevel, "The store has lost a configuration that the entry in the log line has in force; this entry has it from there.", "Write the configuration again if it is not written soon."},
	{EraCompared, "EraCompared", "config", logrus.InfoLevel, "The entry has compared its configuration with those of other entries, in an era of the store (Era) that is new to it. Recorded is the latest era in which entries had done so, as far as the store shows; Heard is the number of entries that were heard, and Took the time since the entry listed the configuration.", noAction},
	{EraRecorded, "EraRecorded", "config", logrus.InfoLevel, "The entry has recorded in the store that entries have compared their configurations in the era.", noAction},
	{SettingsReloaded, "SettingsReloaded", "process", logrus.InfoLevel, "The settings file was read again after SIGHUP. The log level is in force; the settings that NextStart names have changed, and are in force after the next start.", "Start the process again if NextStart names any."},
	{HostLost, "HostLost", "requests", logrus.WarnLevel, "A host process is unreachable and gets no work.", "Check the host if it stays unreachable."},
	{HostFound, "HostFound", "requests", logrus.InfoLevel, "A host process is reachable.", noAction},
	{RequestFailed, "RequestFailed", "requests", logrus.InfoLevel, "A request ended without a complete response.", "The log line has the code, the step and the peer; which time limit holds (Limit: Route or Caller) and how much of it is left (LimitLeft, negative once it has passed); whether the entry was stopping (Leaving), and the latest known configuration if another one was applied (ConfigNow)."},
	{StreamResumed, "StreamResumed", "requests", logrus.InfoLevel, "A broken stream was resumed at another replica of the same release.", noAction},
	{BackendCold, "BackendCold", "requests", logrus.InfoLevel, "A backend server is cold; its concurrency limit is reset to 1.", noAction},
	{AttemptEnded, "AttemptEnded", "requests", logrus.InfoLevel, "An attempt to run a request on a replica ended without a complete response; the log line says for how long the replica had been silent (Silent), and whether another attempt took its place meanwhile (Outcome Superseded). Repeats of a request have the same Key. Limits and configuration are as in RequestFailed.", noAction},
	{RequestRefused, "RequestRefused", "requests", logrus.InfoLevel, "A request was rejected and has not run; the log line has the reason (Detail), and the resource that was short (Short).", "Look up the resource in docs/OPERATING.md."},
	{RequestDone, "RequestDone", "requests", logrus.InfoLevel, "A request ended with a complete response.", noAction},
	{CallerLeft, "CallerLeft", "requests", logrus.InfoLevel, "The caller closed its connection, or its side of it, before the response was complete.", noAction},
	{ReplicaHeld, "ReplicaHeld", "requests", logrus.InfoLevel, "A replica failed and gets no requests during the cooldown given in the log line.", "Check the replica if this repeats."},
	{ReplicaLeaving, "ReplicaLeaving", "requests", logrus.InfoLevel, "A replica has said in a response that it leaves; it gets no more requests from this process.", noAction},
	{ReplicaPaused, "ReplicaPaused", "requests", logrus.InfoLevel, "A replica has rejected a request and named a time for which it wants none from this process.", "Check the replica's load if this repeats."},
	{ReplicasChanged, "ReplicasChanged", "requests", logrus.InfoLevel, "The set of replicas that take requests has changed.", noAction},
	{PeersChanged, "PeersChanged", "process", logrus.InfoLevel, "The set of processes whose heartbeats arrive has changed since the last such line.", noAction},
	{ReplicaCrashed, "ReplicaCrashed", "requests", logrus.WarnLevel, "A replica's process ended while requests of this entry were in flight there; the keys of those without a begun answer, and the parts of their prompts, are suspects.", "Look for a part or a key that the lines have in common."},
	{PromptPartChanged, "PromptPartChanged", "requests", logrus.WarnLevel, "A part of prompts is now suspected of crashing replicas, blocked, or free again.", "Check which requests hold a blocked part; they are refused for minutes after the last crash."},
	{BackupRefused, "BackupRefused", "requests", logrus.InfoLevel, "The replica of a request is silent, and no other one takes the request; it waits on.", "Check the replica if this repeats."},
	{RequestSuspected, "RequestSuspected", "requests", logrus.WarnLevel, "A request is now suspected of crashing replicas, blocked, or free again; AttemptEnded names the route and the account of its Key.", "Find out why replicas crash under the request; while it is blocked, it and its repeats are refused."},
	{ReplicaLimited, "ReplicaLimited", "requests", logrus.InfoLevel, "A replica has named the number of requests per second that it takes from all entries together, or no longer names one.", "Check the replica's load if this lasts."},
	{HeaderUnreadable, "HeaderUnreadable", "requests", logrus.WarnLevel, "A response of a replica has a header field with a value that cannot be read; it is ignored.", "Check the replica's release."},
	{TransferStarted, "TransferStarted", "weights", logrus.InfoLevel, "A host has started to fetch a release.", noAction},
	{TransferDone, "TransferDone", "weights", logrus.InfoLevel, "All chunks of a release are stored and verified.", noAction},
	{ChunkRefused, "ChunkRefused", "weights", logrus.WarnLevel, "A chunk did not match its digest and was discarded.", "Check the peer or source in the log line."},
	{PeerSetAside, "PeerSetAside", "weights", logrus.WarnLevel, "A peer that sent a corrupt chunk is in cooldown and gets no chunk requests.", "Check the peer's memory and network."},
	{SourceFailed, "SourceFailed", "weights", logrus.WarnLevel, "Neither the weight store nor the origin returned a manifest or a chunk.", "Check the weight store."},
	{ChunkRestaged, "ChunkRestaged", "weights", logrus.WarnLevel, "A chunk staged at the engine did not match its digest and was staged again.", "Check the replica's host if this repeats."},
	{VersionNamed, "VersionNamed", "weights", logrus.InfoLevel, "Operators have chosen a version of the weights to run.", noAction},
	{ManifestReplaced, "ManifestReplaced", "weights", logrus.WarnLevel, "The manifest of a version has turned out to be another one: the origin's chunks did not match the digests in the one before, or another process knows a later one.", "Check the origin if this repeats."},
	{SwitchStarted, "SwitchStarted", "rollout", logrus.InfoLevel, "A replica stops accepting work in order to load another release.", noAction},
	{SwitchDone, "SwitchDone", "rollout", logrus.InfoLevel, "The engine confirmed the digest of the release; the replica accepts work.", noAction},
	{SwitchFailed, "SwitchFailed", "rollout", logrus.ErrorLevel, "The engine did not load the release; the load is ordered again.", "Check the log of the engine."},
	{LeaseTaken, "LeaseTaken", "rollout", logrus.InfoLevel, "This entry has acquired the lease and controls rollouts.", noAction},
	{LeaseLost, "LeaseLost", "rollout", logrus.InfoLevel, "This entry has lost the lease and no longer controls rollouts.", noAction},
	{PermitRefused, "PermitRefused", "rollout", logrus.WarnLevel, "A host rejected a permit, usually because its epoch is stale.", noAction},
	{LoadDoubted, "LoadDoubted", "rollout", logrus.WarnLevel, "The engine may have accepted an order to load a version some time after its chunks were read back, ReadAge ago.", "Check the engine and the host if this repeats: calls take too long."},
	{LoadChecked, "LoadChecked", "rollout", logrus.InfoLevel, "The chunks of a doubted load were read back. If Intact is false, the replica gets no requests until it loads a version again.", "If Intact is false, restart the replica."},
	{CommitFailed, "CommitFailed", "once", logrus.WarnLevel, "An intent or outcome could not be recorded; calls that depend on it end as NotRun.", "Check the object API."},
	{OutcomeUnknown, "OutcomeUnknown", "once", logrus.WarnLevel, "A non-idempotent call may or may not have run, and its outcome cannot be determined.", "Look up the call at the backend server before repeating it."},
	{RequestSealed, "RequestSealed", "once", logrus.InfoLevel, "A host has ensured that a request never runs.", noAction},
	{QuotaOwnerUnreached, "QuotaOwnerUnreached", "limits", logrus.InfoLevel, "The owner of an account's quota is unreachable; the static share applies.", noAction},
}

// lookUp returns the catalogue's entry for the event. It panics if there is none.
func lookUp(e Event) CatalogueEntry {
	for _, x := range Catalogue {
		if x.Event == e {
			return x
		}
	}
	panic(fmt.Sprintf("event %d is not in the catalogue", int(e)))
}

// Subsystems returns the names of all subsystems, as used in the setting
// Log.Subsystems.
func Subsystems() []string {
	var out []string
	for _, e := range Catalogue {
		if !slices.Contains(out, e.Subsystem) {
			out = append(out, e.Subsystem)
		}
	}
	return out
}

// Fields are the structured fields of a log line.
type Fields = logrus.Fields

// Config configures a Log.
type Config struct {
	Logger  *logrus.Logger
	Process string
	// Subsystems lists the subsystems to log; empty means all.
	Subsystems []string
}

// Log logs the events of a process.
type Log struct {
	config Config
}

// New returns a log with the configuration.
func New(c Config) *Log { return &Log{config: c} }

// Event logs an event with the fields, if its subsystem is enabled. Errors and peers
// belong in the fields.
func (l *Log) Event(e Event, f Fields) {
	x := lookUp(e)
	if len(l.config.Subsystems) > 0 && !slices.Contains(l.config.Subsystems, x.Subsystem) {
		return
	}
	entry := l.config.Logger.WithFields(f).WithFields(Fields{"Event": int(e), "Process": l.config.Process})
	entry.Log(x.Level, x.Name)
}

// maxStackBytes is the maximum length of the stack in a log line.
const maxStackBytes = 4 << 10

// Panic logs, as the event, a panic with which the handling of one request or message has ended. It must
// be called with the result of recover, which may be nil.
func (l *Log) Panic(e Event, recovered any, f Fields) {
	if recovered == nil {
		return
	}
	stack := debug.Stack()
	f["Panic"], f["Stack"] = fmt.Sprint(recovered), string(stack[:min(len(stack), maxStackBytes)])
	l.Event(e, f)
}

// Markdown returns the catalogue as the Markdown text of docs/LOGS.md.
func Markdown() string {
	rows := slices.Clone(Catalogue)
	slices.SortFunc(rows, func(a, b CatalogueEntry) int { return cmp.Compare(a.Event, b.Event) })
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated by `make docs` from the catalogue in package reporter. Each line of the log has the\n")
	b.WriteString("number in its field `Event`. Settings choose subsystems with `Log.Subsystems`.\n\n")
	b.WriteString("| Event | Name | Subsystem | Level | Meaning | What to do |\n|---|---|---|---|---|---|\n")
	for _, x := range rows {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", int(x.Event), x.Name, x.Subsystem, x.Level, x.Meaning, x.Action)
	}
	return b.String()
}

package event

import "github.com/charmbracelet/log"

// The events. docs/EVENTS.md describes how an operator should respond to each.
var (
	Started                 = Event{1001, log.InfoLevel, "process started"}
	Stopping                = Event{1002, log.InfoLevel, "shutdown began"}
	Stopped                 = Event{1003, log.InfoLevel, "shutdown complete"}
	ShutdownLimitReached    = Event{1004, log.WarnLevel, "shutdown limit reached with requests in progress"}
	InvariantBroken         = Event{1005, log.ErrorLevel, "invariant broken"}
	SettingsRejected        = Event{1006, log.ErrorLevel, "settings rejected"}
	ConfigurationInForce    = Event{2001, log.InfoLevel, "configuration in force"}
	ConfigurationBad        = Event{2002, log.WarnLevel, "configuration record ignored"}
	LogUnreachable          = Event{2003, log.WarnLevel, "platform log unreachable"}
	LogReachable            = Event{2004, log.InfoLevel, "platform log reachable"}
	ConfigSuperseded        = Event{2005, log.InfoLevel, "configuration change lost a race"}
	ConfigHistoryLost       = Event{2006, log.WarnLevel, "configuration history lost"}
	ConfigHistoryKnown      = Event{2007, log.InfoLevel, "configuration history known again"}
	ConfigSnapshot          = Event{2008, log.InfoLevel, "configuration snapshot appended"}
	ConfigNotExchanged      = Event{2009, log.WarnLevel, "configuration not exchanged with a peer"}
	ListUnreachable         = Event{2010, log.WarnLevel, "backend server list unreachable"}
	ListReachable           = Event{2011, log.InfoLevel, "backend server list reachable"}
	ServersChanged          = Event{2012, log.InfoLevel, "backend servers changed"}
	PlatformRecordBad       = Event{2013, log.WarnLevel, "platform record ignored"}
	PeerMessageBad          = Event{2014, log.WarnLevel, "peer message ignored"}
	PeerStateReceived       = Event{2015, log.InfoLevel, "state taken from a peer"}
	StoreRestored           = Event{2016, log.WarnLevel, "platform's store recovered from a backup"}
	StoreEraInvalid         = Event{2017, log.WarnLevel, "era of the platform's store ignored"}
	SettingsReloaded        = Event{1007, log.InfoLevel, "settings read again"}
	OverloadChanged         = Event{1009, log.WarnLevel, "processor overload changed"}
	ListenerNotOpened       = Event{1010, log.WarnLevel, "listener not opened again"}
	CallersMemoryFull       = Event{1012, log.WarnLevel, "callers' memory full"}
	RouterLoad              = Event{1011, log.InfoLevel, "router's load"}
	LinesDropped            = Event{1008, log.WarnLevel, "log lines dropped"}
	AgentReady              = Event{3001, log.InfoLevel, "agent ready"}
	AgentSilent             = Event{3002, log.WarnLevel, "agent silent"}
	AgentLeaving            = Event{3003, log.InfoLevel, "agent leaving"}
	ServerUp                = Event{4001, log.InfoLevel, "backend server answers"}
	ServerDown              = Event{4002, log.WarnLevel, "backend server does not answer"}
	ServerConnectionLost    = Event{4003, log.WarnLevel, "backend server broke off while requests ran"}
	RouterSessionEnded      = Event{4004, log.InfoLevel, "router session ended"}
	RequestIncomplete       = Event{5001, log.InfoLevel, "request ended without a whole answer"}
	AnswerBroken            = Event{5002, log.WarnLevel, "answer stream broken"}
	AttemptRetried          = Event{5003, log.InfoLevel, "request tried again"}
	PoisonRefused           = Event{5004, log.WarnLevel, "request refused fleet-wide as poison"}
	RequestSent             = Event{5005, log.InfoLevel, "request sent to backend server"}
	RequestNotAdmitted      = Event{5006, log.InfoLevel, "request refused"}
	RequestEnded            = Event{5007, log.InfoLevel, "request ended"}
	TeamShare               = Event{5009, log.InfoLevel, "team's tokens"}
	AttemptFailed           = Event{5008, log.InfoLevel, "backend server failed a request"}
	StreamTakenUp           = Event{5011, log.InfoLevel, "caller takes up a stream"}
	VersionsAdmitted        = Event{2018, log.InfoLevel, "software versions recorded"}
	VersionsConfirmed       = Event{2023, log.InfoLevel, "record of software versions confirmed"}
	EvacuationsChanged      = Event{2024, log.InfoLevel, "evacuated places changed"}
	VersionForgotten        = Event{2019, log.InfoLevel, "software version removed from the record"}
	LineageUnreachable      = Event{2020, log.WarnLevel, "record of software versions unreachable"}
	EvidenceRead            = Event{2021, log.InfoLevel, "evidence of crashes taken from the platform"}
	EvidenceUnreachable     = Event{2022, log.WarnLevel, "evidence of crashes unreachable"}
	RequestBroken           = Event{5010, log.InfoLevel, "backend server broke off a request"}
	ServerAddressReassigned = Event{4006, log.WarnLevel, "another backend server has the address"}
	ServerUnreachable       = Event{4007, log.WarnLevel, "backend server unreachable"}
	ServerLeaves            = Event{4008, log.InfoLevel, "backend server said that it leaves"}
	ReplyHeaderInvalid      = Event{4009, log.WarnLevel, "header of backend server ignored or cut"}
	ServerPauses            = Event{4010, log.InfoLevel, "backend server asked for a pause"}
	Quarantined             = Event{4011, log.WarnLevel, "prompt part or request quarantined because it crashes servers"}
	QuarantineReleased      = Event{4012, log.InfoLevel, "prompt part or request released from quarantine"}
	QuarantineTried         = Event{4014, log.InfoLevel, "request tests whether what is in quarantine still crashes servers"}
	ServerLimitChanged      = Event{4013, log.InfoLevel, "backend server's limit of requests changed"}
	ServerColdChanged       = Event{4015, log.InfoLevel, "backend server became cold or warm"}
	RequestSuspected        = Event{4005, log.WarnLevel, "request was running when its backend server died"}
	LimitChanged            = Event{8002, log.DebugLevel, "limit of requests inside the backend server moved"}
	ShareParent             = Event{8001, log.InfoLevel, "fair share reports go to another agent"}
	ConnectionUntrusted     = Event{6001, log.WarnLevel, "connection refused"}
	ClaimsCurrent           = Event{7001, log.InfoLevel, "idempotency keys current"}
	ClaimLogUnavailable     = Event{7002, log.WarnLevel, "claim log unavailable"}
	ClaimsLoading           = Event{7003, log.InfoLevel, "idempotency keys loading"}
	ClaimRecordBad          = Event{7004, log.WarnLevel, "claim record ignored"}
	ClaimGap                = Event{7005, log.WarnLevel, "claim records missed"}
	ClaimRetentionShort     = Event{7006, log.WarnLevel, "log retention shorter than key window"}
	OrderEnded              = Event{7007, log.InfoLevel, "order to backend server ended"}
	ClaimsRestored          = Event{7008, log.WarnLevel, "claim log came back older"}
	InvalidRequestRefused   = Event{6002, log.WarnLevel, "request refused as too slow, too long or malformed"}
	CallerUnauthenticated   = Event{6003, log.WarnLevel, "caller's team is not proved"}
	KeysReloaded            = Event{6004, log.InfoLevel, "keys reloaded"}
	KeysUnusable            = Event{6005, log.ErrorLevel, "changed keys cannot be used"}
	KeysExpiring            = Event{6006, log.WarnLevel, "certificate expires soon"}
)

// All returns all events, grouped by topic.
func All() []Event {
	return []Event{
		Started, Stopping, Stopped, ShutdownLimitReached, InvariantBroken, SettingsRejected,
		ConfigurationInForce, ConfigurationBad, LogUnreachable, LogReachable,
		ConfigSuperseded, ConfigHistoryLost, ConfigHistoryKnown, ConfigSnapshot,
		ConfigNotExchanged,
		ListUnreachable, ListReachable, ServersChanged, PlatformRecordBad, PeerMessageBad, PeerStateReceived,
		StoreRestored, StoreEraInvalid, VersionsAdmitted, VersionsConfirmed, VersionForgotten, LineageUnreachable, EvacuationsChanged, EvidenceRead, EvidenceUnreachable,
		SettingsReloaded, LinesDropped, OverloadChanged, ListenerNotOpened, CallersMemoryFull, RouterLoad,
		RequestSent, RequestNotAdmitted, RequestEnded, AttemptFailed, RequestBroken, StreamTakenUp, TeamShare, ServerAddressReassigned, ServerUnreachable,
		ServerLeaves, ReplyHeaderInvalid, ServerPauses,
		AgentReady, AgentSilent, AgentLeaving,
		ServerUp, ServerDown, ServerConnectionLost, RouterSessionEnded,
		RequestIncomplete, AnswerBroken, AttemptRetried,
		PoisonRefused, RequestSuspected, Quarantined, QuarantineReleased, QuarantineTried, ServerLimitChanged, ServerColdChanged,
		ClaimsCurrent, ClaimLogUnavailable, ClaimsLoading, ClaimRecordBad, ClaimGap, ClaimRetentionShort,
		OrderEnded, ClaimsRestored,
		ShareParent, LimitChanged,
		ConnectionUntrusted, InvalidRequestRefused, CallerUnauthenticated, KeysReloaded, KeysUnusable, KeysExpiring,
	}
}

package result

import "fmt"

// Codes 1000 to 1099: the request or its options are wrong.
const (
	BadProtocol       Code = 1000
	BadOption         Code = 1001
	UnknownMember     Code = 1002
	UnknownService    Code = 1003
	UnknownClass      Code = 1004
	BadToken          Code = 1005
	TokenForged       Code = 1006
	MessageTooLarge   Code = 1007
	NotInTransaction  Code = 1008
	ReadOnlyClass     Code = 1009
	BadCredentials    Code = 1010
	BadRequestID      Code = 1011
	ResultTooLarge    Code = 1012
	TransactionFailed Code = 1013
	UnknownStatement  Code = 1014
)

// Codes 1100 to 1199: refused by load or limits.
const (
	QueueFull        Code = 1100
	DeadlineInQueue  Code = 1101
	TooManySessions  Code = 1102
	Overloaded       Code = 1103
	Leaving          Code = 1104
	TooManyInFlight  Code = 1105
	MemberLimit      Code = 1106
	BudgetExhausted  Code = 1107
	ShedForUrgent    Code = 1108
	ConnectionsInUse Code = 1109
)

// Codes 1200 to 1299: targets, terms and routing.
const (
	NoPrimary          Code = 1200
	NoRight            Code = 1201
	TermRefused        Code = 1202
	TargetUnreachable  Code = 1203
	TargetSilent       Code = 1204
	OutcomeUnknown     Code = 1205
	WriteLost          Code = 1206
	ReplicaBehind      Code = 1207
	NotReplicated      Code = 1208
	AgeNotShown        Code = 1209
	DeadlineExceeded   Code = 1210
	PoolerUnreachable  Code = 1211
	AlreadyRan         Code = 1212
	TransactionAborted Code = 1213
	Cancelled          Code = 1214
	WrongPooler        Code = 1215
	NoReplicaForClass  Code = 1216
	WrongTarget        Code = 1217
	TargetFailed       Code = 1218
	TargetBusy         Code = 1219
	TargetLeaving      Code = 1220
)

// Codes 1300 to 1399: configuration, presets and operators.
const (
	ConfigInvalid       Code = 1300
	ConfigConflict      Code = 1301
	ConfigTooOld        Code = 1302
	PlatformUnavailable Code = 1303
	PlatformUnknown     Code = 1304
	UnknownPreset       Code = 1305
	NotAuthorized       Code = 1306
	NotFound            Code = 1307
	BadArgument         Code = 1308
	RegistrationInvalid Code = 1309
)

// Codes 1900 and up: faults of the program itself.
const (
	Internal        Code = 1900
	InvariantBroken Code = 1901
)

type meaning struct {
	name string
	text string
	ran  Ran
}

var meanings = map[Code]meaning{
	BadProtocol:       {"BadProtocol", "the message is not valid in this protocol", NotRun},
	BadOption:         {"BadOption", "a session option is wrong", NotRun},
	UnknownMember:     {"UnknownMember", "no such member", NotRun},
	UnknownService:    {"UnknownService", "no such service", NotRun},
	UnknownClass:      {"UnknownClass", "no such request class", NotRun},
	BadToken:          {"BadToken", "the session token can't be read", NotRun},
	TokenForged:       {"TokenForged", "the session token is not one of ours", NotRun},
	MessageTooLarge:   {"MessageTooLarge", "the message is larger than allowed", NotRun},
	NotInTransaction:  {"NotInTransaction", "no transaction is open", NotRun},
	ReadOnlyClass:     {"ReadOnlyClass", "a read class may not write", NotRun},
	BadCredentials:    {"BadCredentials", "the credentials are wrong", NotRun},
	BadRequestID:      {"BadRequestID", "a class that may not be repeated needs a request id", NotRun},
	ResultTooLarge:    {"ResultTooLarge", "the answer is larger than allowed", Unknown},
	TransactionFailed: {"TransactionFailed", "an earlier statement of the transaction failed", NotRun},

	UnknownStatement: {"UnknownStatement", "no statement is prepared under this name", NotRun},

	QueueFull:        {"QueueFull", "the queue of the class is full", NotRun},
	DeadlineInQueue:  {"DeadlineInQueue", "the deadline would pass in the queue", NotRun},
	TooManySessions:  {"TooManySessions", "too many sessions", NotRun},
	Overloaded:       {"Overloaded", "the daemon is overloaded", NotRun},
	Leaving:          {"Leaving", "the daemon or target is leaving", NotRun},
	TooManyInFlight:  {"TooManyInFlight", "too many requests under way to this VM", NotRun},
	MemberLimit:      {"MemberLimit", "the member's limit is reached", NotRun},
	BudgetExhausted:  {"BudgetExhausted", "the retry budget is spent", NotRun},
	ShedForUrgent:    {"ShedForUrgent", "shed in favour of a more urgent class", NotRun},
	ConnectionsInUse: {"ConnectionsInUse", "all connections of the target are in use", NotRun},

	NoPrimary:          {"NoPrimary", "the group has no primary at present", NotRun},
	NoRight:            {"NoRight", "this VM may not acknowledge for the primary now", NotRun},
	TermRefused:        {"TermRefused", "the target is in another term", NotRun},
	TargetUnreachable:  {"TargetUnreachable", "the target can't be reached", NotRun},
	TargetSilent:       {"TargetSilent", "the target did not answer", Unknown},
	OutcomeUnknown:     {"OutcomeUnknown", "the outcome is unknown; ask by request id", Unknown},
	WriteLost:          {"WriteLost", "an acknowledged write of this session was lost", NotRun},
	ReplicaBehind:      {"ReplicaBehind", "the replica is behind the session", NotRun},
	NotReplicated:      {"NotReplicated", "committed, but no replica has confirmed it", Unknown},
	AgeNotShown:        {"AgeNotShown", "no target can show the stated age", NotRun},
	DeadlineExceeded:   {"DeadlineExceeded", "the deadline passed", Unknown},
	PoolerUnreachable:  {"PoolerUnreachable", "the pooler can't be reached", NotRun},
	AlreadyRan:         {"AlreadyRan", "a request with this id has run", Done},
	TransactionAborted: {"TransactionAborted", "the transaction was rolled back", NotRun},
	Cancelled:          {"Cancelled", "cancelled by the caller", Unknown},
	WrongPooler:        {"WrongPooler", "this VM is not the target's pooler", NotRun},
	NoReplicaForClass:  {"NoReplicaForClass", "no synchronous replica for a class that needs one", NotRun},
	WrongTarget:        {"WrongTarget", "another target answers at this address", NotRun},
	TargetFailed:       {"TargetFailed", "the target ran the request and failed", Unknown},
	TargetBusy:         {"TargetBusy", "the target refused for its load, before the run", NotRun},
	TargetLeaving:      {"TargetLeaving", "the target leaves and is sent no new work", NotRun},

	ConfigInvalid:       {"ConfigInvalid", "the configuration is not valid", NotRun},
	ConfigConflict:      {"ConfigConflict", "another operator's change came first", NotRun},
	ConfigTooOld:        {"ConfigTooOld", "the version is older than the one in force", NotRun},
	PlatformUnavailable: {"PlatformUnavailable", "the platform's service can't be reached", NotRun},
	PlatformUnknown:     {"PlatformUnknown", "the platform's answer was lost", Unknown},
	UnknownPreset:       {"UnknownPreset", "no such preset", NotRun},
	NotAuthorized:       {"NotAuthorized", "not authorized", NotRun},
	NotFound:            {"NotFound", "not found", NotRun},
	BadArgument:         {"BadArgument", "the command line is wrong", NotRun},
	RegistrationInvalid: {"RegistrationInvalid", "the entry of a database can't be believed and is not used", NotRun},

	Internal:        {"Internal", "internal error", Unknown},
	InvariantBroken: {"InvariantBroken", "an invariant of the program is broken", Unknown},
}

// All returns every code, in no order.
func All() []Code {
	codes := make([]Code, 0, len(meanings))
	for c := range meanings {
		codes = append(codes, c)
	}
	return codes
}

// Name returns the code's name in the docs.
func (c Code) Name() string { return meanings[c].name }

// Text returns the code's meaning in a few words.
func (c Code) Text() string { return meanings[c].text }

// Ran returns what the code says about the request's effect.
func (c Code) Ran() Ran { return meanings[c].ran }

// SQLState returns the five-character state that a PostgreSQL client sees:
// "BT" and the last three digits, which are unique.
func (c Code) SQLState() string { return fmt.Sprintf("BT%03d", int(c)%1000) }

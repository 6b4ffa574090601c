package routing

// Policy is all that one node knows. It is not safe for concurrent use.
type Policy struct {
	seed, randomDraws uint64
	config            *Config
	now               int64
	actions           []Action

	engines              map[string]*engine
	engineIDs            []string // of all engines in the list, sorted
	requests             map[int64]*request
	timers               map[int64]timer
	lastTimerToken       int64
	roundRobinTurn       int // round robin
	started              bool
	startedAt            int64    // when it started
	recentPrefixes       []string // shared beginnings of the last arrivals
	recentCacheHits      []int64  // of the last reads: millionths of what follows the shared beginning that were kept
	recentLatencyPerWork []int64  // of the last reads: lag for each unit of reported load, the read itself one
	expectedOverruns     []sample // how far over a quarter of the target the last arrivals' expected waits were
	firstTokenOverruns   []sample // how far over the target the last first tokens came

	cached     map[cacheKey]cacheEntry
	affinities map[string]affinity

	// counted is what loads counted, until something is sent, ends, begins or reports within the step. A node
	// with thousands of streams open would else spend its time counting them again.
	countedLoads     map[string]engineLoad
	firedTransitions uint64 // rows of the table taken so far, a bit each
}

// engine is what a node knows of one engine.
type engine struct {
	Endpoint
	canPrefill, canDecode bool
	sendTimes             []int64  // when the last sends went there
	progressTimes         []int64  // when the last reads or first tokens came from there
	latencySamples        []sample // the last lags seen
	latencyPerWork        []int64  // of its last reads: lag for each thousand tokens that waited or were to be read
	faultTimes            []int64  // when trouble was last seen
	suspect               bool     // struck, and nothing good seen since
	warmingSince          int64    // when it was last seen to start; 0 for long ago
	fullUntil             int64
	memoryShare           float64 // share held, by the last report
	reportedAt            int64
	queuedWork            float64 // reported: thousands of tokens to read, or inferences
	checkedAt             int64   // when it was last probed
	checkAnsweredAt       int64   // when a probe last ended
	unresponsiveAt        int64   // when one last ended without an answer
	healthyAt             int64   // when it last did well
	removedAt             int64   // since when it is not in the list; 0 while it is
}

// sample is one lag: of a read, or of a wait for the first token.
type sample struct {
	at    int64
	value int64
}

// engineLoad is what a node has open at one engine.
type engineLoad struct {
	prefills, streams              int
	promptTokens, unreportedTokens float64 // of prompts at the writer, and of those a report may not count yet
	waits                          []int64 // how long its unanswered sends have waited
	reportedAt                     int64   // of the engine
}

// request is one inference that this node has taken.
type request struct {
	RequestArrived
	state          state
	arrivedAt      int64 // when it was taken
	prefillEngine  string
	decodeEngine   string
	attempts       []attempt
	idleSince      int64 // when the last outcome came, or the read ended
	retryScheduled bool
	awaitedEngines []string // engines whose answers it waits for
}

// attempt is one try at one engine.
type attempt struct {
	engine     string
	sentAt     int64
	decode     bool
	inFlight   bool
	neverRan   bool
	prefilled  bool // a read that ended with a state
	streaming  bool
	queuedWork float64 // reported load of its engine when it was sent, itself counted; 0 if unknown

	laterResponses int // how many later sends the engine has answered
	canceled       bool
}

// timer is what a token stands for.
type timer struct {
	requestID int64
	trigger   trigger
}

// cacheKey names a session or a shared beginning at one reader.
type cacheKey struct {
	isSession bool
	key       string
	engine    string
}

// cacheEntry says how much of a text a reader is thought to keep.
type cacheEntry struct {
	tokens float64
	at     int64
}

// affinity is where a session was served last.
type affinity struct {
	prefillEngine, decodeEngine string
	servedAt                    int64
}

// state is where an inference stands; input is what happens to it.
type (
	state   uint8
	trigger uint8
)

// transition is one line of the table: from these states, one of these inputs leads to the next state and has the
// effect, which may feed a further input.
type transition struct {
	from     []state
	triggers []trigger
	next     state
	action   func(*Policy, *request) trigger
}

// appendBounded keeps the newest n of a row of samples.
func appendBounded[T any](list []T, v T, n int) []T {
	list = append(list, v)
	if len(list) > n {
		list = append(list[:0], list[len(list)-n:]...)
	}
	return list
}

// States and inputs of an inference.
const (
	pending      state = iota // nothing is out, no state is held
	checkingLoad              // it waits for what engines say of their load
	prefilling                // a reader's send is out
	reserved                  // the state waits at the reader, nothing is out
	decoding                  // a writer's send is out
	streaming                 // the client gets the answer
	ended                     // answered, or nobody waits
)

const (
	noTrigger             trigger = iota
	arrived                       // the node has taken it
	loadKnown                     // what engines were asked is known, or they are silent
	retryDue                      // a wait is over
	deadlineNear                  // the client is about to give up
	clientDisconnected            // the client has given up
	prefillDone                   // the state waits at the reader
	prefillFailed                 // a reader's send ended without a state
	decodeNotStarted              // a writer surely never ran it, the state is kept
	reservationLost               // a writer surely never ran it, the state is gone
	mayHaveRun                    // a writer's send ended and it may have run
	firstToken                    // the stream began
	finished                      // the final answer is with the client, or the stream broke
	prefillChosen                 // a reader is chosen
	noPrefillEngine               // no reader may be sent to now
	noDecodeEngine                // no writer may be sent to now
	attemptsExhausted             // no further send is allowed
	admitted                      // it can be in time
	cannotMeetTarget              // it cannot be in time
	responseOverdue               // its send has been out for a while
	engineUnresponsive            // its engine does not answer a probe either
	passedByLaterResponse         // its engine has answered what was sent later
	targetMissed                  // its target has passed before it was read
)

var (
	openStates = []state{pending, checkingLoad, prefilling, reserved, decoding}
	allStates  = append(openStates[:len(openStates):len(openStates)], streaming, ended)
)

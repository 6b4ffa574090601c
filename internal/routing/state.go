package routing

// Brain is all that one node knows. It is not safe for concurrent use.
type Brain struct {
	seed, draws uint64
	facts       map[string]any
	now         int64
	effects     []Effect

	engines  map[string]*engine
	ids      []string // of all engines in the list, sorted
	infs     map[int64]*inference
	timers   map[int64]timer
	token    int64
	turn     int // round robin
	started  bool
	firstAt  int64    // when it started
	prefixes []string // shared beginnings of the last arrivals
	found    []int64  // of the last reads: millionths of what follows the shared beginning that were kept
	paces    []int64  // of the last reads: lag for each unit of reported load, the read itself one
	expects  []sample // how far over a quarter of the target the last arrivals' expected waits were
	firsts   []sample // how far over the target the last first tokens came

	kept  map[keptKey]kept
	pairs map[string]pair

	// counted is what loads counted, until something is sent, ends, begins or reports within the step. A node
	// with thousands of streams open would else spend its time counting them again.
	counted map[string]load
	took    uint64 // rows of the table taken so far, a bit each
}

// engine is what a node knows of one engine.
type engine struct {
	EngineEntry
	reader, writer bool
	sent           []int64  // when the last sends went there
	did            []int64  // when the last reads or first tokens came from there
	samples        []sample // the last lags seen
	paces          []int64  // of its last reads: lag for each thousand tokens that waited or were to be read
	strikes        []int64  // when trouble was last seen
	trial          bool     // struck, and nothing good seen since
	coldFrom       int64    // when it was last seen to start; 0 for long ago
	fullUntil      int64
	memory         float64 // share held, by the last report
	reportAt       int64
	waits          float64 // reported: thousands of tokens to read, or inferences
	askedAt        int64   // when it was last probed
	heardAt        int64   // when a probe last ended
	silentAt       int64   // when one last ended without an answer
	goodAt         int64   // when it last did well
	goneAt         int64   // since when it is not in the list; 0 while it is
}

// sample is one lag: of a read, or of a wait for the first token.
type sample struct {
	at  int64
	lag int64
}

// load is what a node has open at one engine.
type load struct {
	reads, streams int
	tokens, unseen float64 // of prompts at the writer, and of those a report may not count yet
	waits          []int64 // how long its unanswered sends have waited
	reportAt       int64   // of the engine
}

// inference is one inference that this node has taken.
type inference struct {
	Arrival
	state   state
	at      int64 // when it was taken
	reader  string
	writer  string
	sends   []send
	freeAt  int64 // when the last outcome came, or the read ended
	wakeSet bool
	asked   []string // engines whose answers it waits for
}

// send is one try at one engine.
type send struct {
	engine   string
	at       int64
	writes   bool
	out      bool
	neverRan bool
	kept     bool // a read that ended with a state
	began    bool
	waits    float64 // reported load of its engine when it was sent, itself counted; 0 if unknown

	overtaken int // how many later sends the engine has answered
	withdrawn bool
}

// timer is what a token stands for.
type timer struct {
	inf   int64
	input input
}

// keptKey names a session or a shared beginning at one reader.
type keptKey struct {
	session bool
	key     string
	reader  string
}

// kept says how much of a text a reader is thought to keep.
type kept struct {
	tokens float64
	at     int64
}

// pair is where a session was served last.
type pair struct {
	reader, writer string
	at             int64
}

// state is where an inference stands; input is what happens to it.
type (
	state uint8
	input uint8
)

// rule is one line of the table: from these states, one of these inputs leads to the next state and has the
// effect, which may feed a further input.
type rule struct {
	from   []state
	inputs []input
	next   state
	effect func(*Brain, *inference) input
}

// last keeps the newest n of a row of samples.
func last[T any](row []T, v T, n int) []T {
	row = append(row, v)
	if len(row) > n {
		row = append(row[:0], row[len(row)-n:]...)
	}
	return row
}

// States and inputs of an inference.
const (
	taken     state = iota // nothing is out, no state is held
	asking                 // it waits for what engines say of their load
	reading                // a reader's send is out
	held                   // the state waits at the reader, nothing is out
	writing                // a writer's send is out
	streaming              // the client gets the answer
	ended                  // answered, or nobody waits
)

const (
	nothing    input = iota
	arrive           // the node has taken it
	told             // what engines were asked is known, or they are silent
	wake             // a wait is over
	timeUp           // the client is about to give up
	clientGone       // the client has given up
	readDone         // the state waits at the reader
	readLost         // a reader's send ended without a state
	notWritten       // a writer surely never ran it, the state is kept
	stateGone        // a writer surely never ran it, the state is gone
	mayHaveRun       // a writer's send ended and it may have run
	firstToken       // the stream began
	over             // the final answer is with the client, or the stream broke
	chosen           // a reader is chosen
	noReader         // no reader may be sent to now
	noWriter         // no writer may be sent to now
	spent            // no further send is allowed
	admitted         // it can be in time
	hopeless         // it cannot be in time
	unheard          // its send has been out for a while
	silent           // its engine does not answer a probe either
	overtaken        // its engine has answered what was sent later
	tooLate          // its target has passed before it was read
)

var (
	open = []state{taken, asking, reading, held, writing}
	all  = append(open[:len(open):len(open)], streaming, ended)
)

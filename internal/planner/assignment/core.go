package assignment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/planapi"
)

// Config are the operators' figures for changes of roles.
type Config struct {
	DrainTimeout time.Duration // for what is open at an engine to end, else it stays in its role
	OrderTimeout time.Duration // for an engine to confirm an order
	LoadTimeout  time.Duration // for it to come back in its next role
	TrialTimeout time.Duration
	WarmUp       time.Duration // after which it counts as warm
	Cooldown     time.Duration // between two changes of one engine, and before one set aside is asked again
	MinServing   int           // engines that serve in each role, which no change may take
	// Changing is the share of all engines that may be changing at once; one may always.
	MaxChangingShare  float64
	MaxSharePerMinute float64       // of all engines, the share that may begin a change within a minute; two always
	DrainGrace        time.Duration // after the news of a drain, for sends under way
	ExplainOnly       bool          // decide, explain, and change nothing
	// ReadPace and WritePace are tokens a second of one engine, until they have been measured; 0 if not
	// known.
	PrefillThroughput, DecodeThroughput float64
	RouteValues                         map[string]float64 // of one inference, by model route
}

// ListedEngine is one engine as discovery lists it. Kinds are its names by role; an engine whose kind has no other
// role has one.
type ListedEngine struct {
	Engine, Role, Zone, Cell string
	Kinds                    map[string]string
	Weight                   float64
	Ready, CanChange         bool
	UpSince                  int64 // nanoseconds; 0 for long ago
}

// Record is what is kept of one engine over restarts of the planner.
type Record struct {
	Engine       string `json:"engine"`
	Role         string `json:"role"`
	Epoch        int64  `json:"epoch"`
	State        State  `json:"state"`
	NextRole     string `json:"next,omitempty"`
	NextEpoch    int64  `json:"next_epoch,omitempty"`
	StateSince   int64  `json:"since"` // of the state, nanoseconds of the planner's clock
	ServingSince int64  `json:"began,omitempty"`
	Incarnation  int64  `json:"life,omitempty"`
	Pinned       bool   `json:"pinned,omitempty"`
	Reason       string `json:"why,omitempty"`
}

// Meta is what is kept of the planner.
type Meta struct {
	PlanNumber int64  `json:"number"` // of the last plan
	Stopped    bool   `json:"stopped"`
	StoppedBy  string `json:"who,omitempty"`
	StopReason string `json:"why,omitempty"`
}

// engineRecord is what is known of one engine.
type engineRecord struct {
	Record
	listed            ListedEngine
	present           bool
	roleKnown         bool // its role was heard from itself or kept
	report            planapi.EngineReport
	reportedAt        int64 // 0 for never
	reportRequestedAt int64 // when the question for it left
	samples           []workSample
	orderSentAt       int64
	changeStartedAt   int64 // when its change began
	drained           int64 // how long its last drain took
	lastChangeEndedAt int64 // when its last change ended
	trialNumber       int64
	quarantineCount   int // times set aside
	fault             string
}

// completedChange is one that came to its end.
type completedChange struct{ completedAt, duration int64 }

// Event is one of the types below that say so.
type Event interface{ isEvent() }

// EnginesListed is discovery's list, whole.
type EnginesListed struct{ Engines []ListedEngine }

// EngineReported is an engine's report. AskedAt is when the question left: what was asked before a change says
// nothing about what came of it.
type EngineReported struct {
	RequestedAt int64
	Report      planapi.EngineReport
}

// EdgeReported is an edge's report.
type EdgeReported struct{ Report planapi.EdgeReport }

// TrialEnded is the end of a trial.
type TrialEnded struct {
	Engine string
	Number int64 // of the trial; others are late news
	OK     bool
	Reason string
}

// Tick lets time pass.
type Tick struct{}

func (EnginesListed) isEvent()  {}
func (EngineReported) isEvent() {}
func (EdgeReported) isEvent()   {}
func (TrialEnded) isEvent()     {}
func (Tick) isEvent()           {}

// Action is one of the types below that say so. They must be carried out in order.
type Action interface{ isAction() }

// Persist must be durable before any effect after it is carried out: what was asked may never be forgotten.
type Persist struct {
	Records []Record
	Meta    Meta
}

// PublishPlan hands a plan to all edges.
type PublishPlan struct{ Plan planapi.Plan }

// SendRoleOrder sends an order to an engine. It may be lost; it is asked again until the engine's reports show it.
type SendRoleOrder struct {
	Engine string
	Order  planapi.RoleOrder
}

// StartTrial gives an engine a small piece of work that shows its role; Tried follows.
type StartTrial struct {
	Engine, Role string
	Epoch        int64
	Number       int64
}

// NotifyOperators is for operators.
type NotifyOperators struct{ Text string }

// StepDown says that a planner of a later term is at work: this one asks and publishes nothing more.
type StepDown struct{ Term int64 }

func (Persist) isAction()         {}
func (PublishPlan) isAction()     {}
func (SendRoleOrder) isAction()   {}
func (StartTrial) isAction()      {}
func (NotifyOperators) isAction() {}
func (StepDown) isAction()        {}

// Controller is one planner's view of roles. It is not safe for concurrent use.
type Controller struct {
	config    Config
	term      int64
	now       int64
	startedAt int64
	meta      Meta
	engines   map[string]*engineRecord
	engineIDs []string // sorted
	edges     map[string]*edgeRecord

	actions            []Action
	dirtyRecords       map[string]bool
	metaDirty          bool
	publishPending     bool
	firstPlanPublished bool // the first plan is out
	steppedDown        bool
	firedTransitions   uint64

	recentChanges []completedChange
	changeStarts  []int64 // when the last changes began
	mixHistory    []mixSample
	mixRecordedAt int64
	throughputs   map[string]float64 // tokens a second of an engine of weight 1, by role, last known
	uncachedRatio float64            // tokens read for each prompt token; 0 if not known
	answerTokens  map[string]float64 // answer tokens of an inference, by route, last known
	decidedAt     int64
	reportDelays  []int64   // how old the last reports were
	prefillShares []float64 // of reading in all work, one a second
	skewedRole    string    // the role that the load tilts to, against its mean
	skewedSince   int64
	skewDurations map[string][]int64 // how long the last tilts to each role lasted
	gainSince     map[string]int64   // since when a change to a role would gain; 0 for not
	lastDecision  Decision
}

// New makes a core. Records and meta are what an earlier life kept; nil for a first one.
func New(config Config, term, now int64, records []Record, meta Meta) *Controller {
	c := &Controller{config: config, term: term, now: now, startedAt: now, meta: meta, engines: map[string]*engineRecord{},
		edges:        map[string]*edgeRecord{},
		dirtyRecords: map[string]bool{}, throughputs: map[string]float64{}, answerTokens: map[string]float64{},
		gainSince: map[string]int64{}, skewDurations: map[string][]int64{}}
	for _, record := range records {
		// A clock that was set back must not make a step's time endless.
		record.StateSince, record.ServingSince = min(record.StateSince, now), min(record.ServingSince, now)
		c.engines[record.Engine] = &engineRecord{Record: record, roleKnown: true, changeStartedAt: record.StateSince}
		// Rests and the budget of a minute outlive a restart: a planner that is killed again and again must
		// not begin more changes than one that is not.
		if record.Epoch > 1 || record.NextEpoch > 1 {
			c.engines[record.Engine].lastChangeEndedAt = record.StateSince
			c.changeStarts = appendBounded(c.changeStarts, record.StateSince, 32)
		}
	}
	c.sortEngineIDs()
	return c
}

func (c *Controller) sortEngineIDs() { c.engineIDs = slices.Sorted(maps.Keys(c.engines)) }

func (c *Controller) markDirty(engine *engineRecord) { c.dirtyRecords[engine.Engine] = true }

// Step takes one input at the time now and returns what is to be done, in order.
func (c *Controller) Step(now int64, event Event) []Action {
	c.beginStep(now)
	switch event := event.(type) {
	case EnginesListed:
		c.handleEngineList(event.Engines)
	case EngineReported:
		c.handleEngineReport(event)
	case EdgeReported:
		c.handleEdgeReport(event.Report)
	case TrialEnded:
		if engine := c.engines[event.Engine]; engine != nil && engine.State == InTrial && event.Number == engine.trialNumber {
			if event.OK {
				c.fire(engine, trialPassed)
			} else {
				engine.fault = "it does not do the work of the role that it claims: " + event.Reason
				c.fire(engine, trialFailed)
			}
		}
	case Tick:
		c.handleTick()
	}
	return c.finishStep()
}

func (c *Controller) beginStep(now int64) { c.now, c.actions = max(now, c.now), nil }

// finishStep puts what must be kept before all else.
func (c *Controller) finishStep() []Action {
	if c.steppedDown {
		c.actions = slices.DeleteFunc(c.actions, func(action Action) bool {
			switch action.(type) {
			case SendRoleOrder, StartTrial:
				return true
			}
			return false
		})
		return c.actions
	}
	var actions []Action
	if c.publishPending && c.mayPublish() {
		c.meta.PlanNumber++
		c.firstPlanPublished = true
	}
	if len(c.dirtyRecords) > 0 || c.metaDirty || c.publishPending && c.firstPlanPublished {
		persist := Persist{Meta: c.meta}
		for _, id := range slices.Sorted(maps.Keys(c.dirtyRecords)) {
			persist.Records = append(persist.Records, c.engines[id].Record)
		}
		actions = append(actions, persist)
	}
	if c.publishPending && c.firstPlanPublished {
		actions = append(actions, PublishPlan{c.Plan()})
		c.publishPending = false
	}
	clear(c.dirtyRecords)
	c.metaDirty = false
	return append(actions, c.actions...)
}

// firstPlanTimeout is how long a planner without records waits to hear of roles from engines themselves. A plan made
// before that may name roles that they no longer have; one that never comes would leave edges without any.
const firstPlanTimeout = 3 * time.Second

func (c *Controller) mayPublish() bool {
	if c.firstPlanPublished {
		return true
	}
	listed, unknown := 0, 0
	for _, engine := range c.engines {
		if engine.present {
			listed++
			if engine.listed.CanChange && !engine.roleKnown {
				unknown++
			}
		}
	}
	return listed > 0 && (unknown == 0 || c.now-c.startedAt >= int64(firstPlanTimeout))
}

func (c *Controller) handleEngineList(engines []ListedEngine) {
	seen := map[string]bool{}
	for _, listed := range engines {
		seen[listed.Engine] = true
		engine := c.engines[listed.Engine]
		if engine == nil {
			engine = &engineRecord{Record: Record{Engine: listed.Engine, Role: listed.Role, State: Serving, StateSince: c.now,
				ServingSince: listed.UpSince}}
			engine.roleKnown = !listed.CanChange
			c.engines[listed.Engine] = engine
		}
		if !listed.CanChange && (engine.Role != listed.Role || engine.Epoch != 0 || engine.State != Serving || engine.ServingSince != listed.UpSince) {
			// Its kind has no other role, so discovery's word is all there is.
			engine.Record = Record{Engine: listed.Engine, Role: listed.Role, State: Serving, StateSince: c.now,
				ServingSince: listed.UpSince, Pinned: engine.Pinned}
		}
		engine.listed, engine.present = listed, true
	}
	for _, id := range c.engineIDs {
		if engine := c.engines[id]; !seen[id] {
			engine.present = false
		}
	}
	c.sortEngineIDs()
	c.publishPending = true
}

// handleEngineReport sorts a report into the table's inputs.
func (c *Controller) handleEngineReport(event EngineReported) {
	report := event.Report
	engine := c.engines[report.Engine]
	if engine == nil {
		return
	}
	if report.Term > c.term && !c.steppedDown {
		c.steppedDown = true
		c.actions = append(c.actions, StepDown{report.Term},
			NotifyOperators{fmt.Sprintf("%s follows a planner of term %d, this one has %d: it stops", report.Engine, report.Term,
				c.term)})
		return
	}
	engine.recordSample(report, c.now)
	engine.report, engine.reportedAt, engine.reportRequestedAt = report, c.now, event.RequestedAt
	c.reportDelays = appendBounded(c.reportDelays, c.now-event.RequestedAt, 64)
	if !engine.listed.CanChange {
		return
	}
	if !engine.roleKnown { // a planner without records takes the engine's word for what it is
		engine.roleKnown = true
		engine.Role, engine.Epoch, engine.Incarnation, engine.StateSince = report.Role, report.Epoch, report.Incarnation, c.now
		if report.UptimeMillis > 0 {
			engine.ServingSince = max(1, c.now-report.UptimeMillis*int64(time.Millisecond))
		}
		c.publishPending = true
		c.markDirty(engine)
		return
	}
	if event.RequestedAt < engine.StateSince {
		return
	}
	holdsCurrentRole := report.Epoch == engine.Epoch && report.Role == engine.Role && !report.Changing
	holdsNextRole := report.Epoch == engine.NextEpoch && report.Role == engine.NextRole && engine.NextRole != ""
	switch engine.State {
	case Serving, WarmingUp:
		switch {
		case !holdsCurrentRole:
			engine.fault = fmt.Sprintf("it says role %s of epoch %d, it was given %s of %d", report.Role, report.Epoch,
				engine.Role, engine.Epoch)
			c.fire(engine, mismatchReported)
		case report.Incarnation != engine.Incarnation && engine.Incarnation != 0:
			c.fire(engine, restarted)
		case engine.Incarnation == 0:
			engine.Incarnation = report.Incarnation
			c.markDirty(engine)
		case report.Draining: // its drain was ended, and the order for that got lost
			c.resendOrder(engine)
		}
	case Draining:
		switch {
		case !holdsCurrentRole:
			engine.fault = fmt.Sprintf("it says role %s of epoch %d in a drain of %d", report.Role, report.Epoch, engine.Epoch)
			c.fire(engine, mismatchReported)
		case !report.Draining:
			c.resendOrder(engine)
		case report.OpenRequests == 0 && report.Reservations == 0 && c.now-engine.StateSince >= 2*int64(c.config.DrainGrace):
			c.fire(engine, drained)
		}
	case Ordered, Loading, RollingBack:
		switch {
		case holdsNextRole && !report.Changing:
			c.fire(engine, roleReported)
		case holdsNextRole:
			c.fire(engine, loadConfirmed)
		default:
			c.resendOrder(engine)
		}
	case InTrial:
		if !holdsNextRole || report.Changing {
			engine.fault = fmt.Sprintf("it says role %s of epoch %d in a trial of %s of %d", report.Role, report.Epoch,
				engine.NextRole, engine.NextEpoch)
			c.fire(engine, mismatchReported)
		}
	}
}

// sendOrder sends what the engine should follow now.
func (c *Controller) sendOrder(engine *engineRecord) {
	order := planapi.RoleOrder{Term: c.term, Epoch: engine.Epoch, Role: engine.Role}
	switch engine.State {
	case Draining:
		order.Drain = true
	case Ordered, Loading, RollingBack, InTrial:
		order.Epoch, order.Role = engine.NextEpoch, engine.NextRole
	}
	engine.orderSentAt = c.now
	c.actions = append(c.actions, SendRoleOrder{engine.Engine, order})
}

// Between two tries of the same order: an engine answers within milliseconds, and a lost order costs little.
const orderResendInterval = int64(250 * time.Millisecond)

func (c *Controller) resendOrder(engine *engineRecord) {
	if c.now-engine.orderSentAt >= orderResendInterval {
		c.sendOrder(engine)
	}
}

func (c *Controller) handleTick() {
	for _, id := range c.engineIDs {
		engine := c.engines[id]
		// A step's time counts as far as it has been heard of, so that late reports alone end no change; what
		// is not heard of at all ends after thrice the time.
		if limit := int64(c.stateTimeout(engine.State)); limit > 0 && (engine.reportRequestedAt-engine.StateSince > limit ||
			c.now-engine.StateSince > 3*limit) {
			switch engine.State {
			case Draining:
				c.actions = append(c.actions, NotifyOperators{fmt.Sprintf("%s did not empty within %v: it stays in its role",
					engine.Engine, c.stateTimeout(engine.State))})
			case RollingBack:
				engine.fault = fmt.Sprintf("it did not come back within %v", c.stateTimeout(engine.State))
			case InTrial:
				engine.fault = fmt.Sprintf("its trial did not end within %v", c.stateTimeout(engine.State))
			}
			c.fire(engine, timedOut)
		}
		if engine.State == WarmingUp && c.now-engine.ServingSince > int64(c.config.WarmUp) {
			c.fire(engine, warmedUp)
		}
		if engine.State == Quarantined && c.now-engine.StateSince > int64(c.quarantineDuration(engine)) {
			c.fire(engine, quarantineExpired)
		}
	}
	if !c.firstPlanPublished {
		c.publishPending = true
	}
	// Every second: reports come as often.
	if c.now-c.decidedAt >= int64(time.Second) {
		c.decidedAt = c.now
		c.decide()
	}
}

// ApplyOrder carries out an operator's order, or says why it is refused. Dry orders change nothing.
func (c *Controller) ApplyOrder(now int64, order planapi.Order) (text string, effects []Action, err error) {
	c.beginStep(now)
	engine := c.engines[order.Engine]
	if order.Engine != "" && (engine == nil || !engine.present) {
		return "", nil, fmt.Errorf("%s: no such engine is listed", order.Engine)
	}
	requestedBy := fmt.Sprintf("%s: %s", order.Operator, order.Reason)
	switch order.Operation {
	case "pin", "unpin":
		if engine.Pinned == (order.Operation == "pin") {
			return "", nil, fmt.Errorf("%s is %sned already", order.Engine, order.Operation)
		}
		text = fmt.Sprintf("%s is %sned in its role, %s", engine.Engine, order.Operation, engine.Role)
		if !order.DryRun {
			engine.Pinned, engine.Reason = order.Operation == "pin", requestedBy
			c.markDirty(engine)
		}
	case "stop", "go":
		if c.meta.Stopped == (order.Operation == "stop") {
			return "", nil, fmt.Errorf("changes are %s already", map[string]string{"stop": "stopped",
				"go": "going on"}[order.Operation])
		}
		text = "changes go on"
		if order.Operation == "stop" {
			text = "no change begins; engines that drain go back, what is loading comes to its end"
		}
		if !order.DryRun {
			c.meta.Stopped, c.meta.StoppedBy, c.meta.StopReason, c.metaDirty = order.Operation == "stop", order.Operator, order.Reason, true
			for _, id := range c.engineIDs {
				if c.meta.Stopped {
					c.fire(c.engines[id], changesStopped)
				}
			}
		}
	case "readmit":
		if engine.State != Quarantined {
			return "", nil, fmt.Errorf("%s is %s, not aside", engine.Engine, engine.State)
		}
		text = engine.Engine + " is asked to come back as " + engine.Role
		if !order.DryRun {
			engine.quarantineCount = 0
			c.fire(engine, readmitted)
		}
	case "move":
		if why := c.ineligibleReason(engine); why != "" {
			return "", nil, fmt.Errorf("%s may not change: %s", engine.Engine, why)
		}
		text = fmt.Sprintf("%s leaves %s for %s", engine.Engine, engine.Role, planapi.OtherRole(engine.Role))
		if !order.DryRun {
			c.beginChange(engine, "by order of "+requestedBy)
		}
	}
	return text, c.finishStep(), nil
}

// beginChange is the one gate through which a change begins; whoever calls has asked barred.
func (c *Controller) beginChange(engine *engineRecord, reason string) {
	engine.Reason, engine.changeStartedAt = reason, c.now
	c.changeStarts = appendBounded(c.changeStarts, c.now, 32)
	c.fire(engine, changeChosen)
}

// Plan is what edges are to follow. An engine that is between two roles is not in it.
func (c *Controller) Plan() planapi.Plan {
	plan := planapi.Plan{Term: c.term, Number: c.meta.PlanNumber, Engines: []planapi.Engine{}}
	for _, id := range c.engineIDs {
		engine := c.engines[id]
		if !engine.present {
			continue
		}
		state := endpoint.Ready
		switch engine.State {
		case Draining:
			state = endpoint.Draining
		case Ordered, Loading, RollingBack, InTrial, Quarantined:
			continue
		}
		if !engine.listed.Ready {
			state = endpoint.Draining
		}
		entry := planapi.Engine{Engine: id, Kind: engine.listed.Kinds[engine.Role], Zone: engine.listed.Zone,
			Cell: engine.listed.Cell, Weight: engine.listed.Weight, State: state,
			Epoch: engine.Epoch}
		// Ten minutes is long for any cold start.
		if servingSince := max(engine.ServingSince, engine.listed.UpSince); servingSince > 0 && c.now-servingSince < int64(10*time.Minute) {
			entry.UptimeMillis = max(1, (c.now-servingSince)/int64(time.Millisecond))
		}
		plan.Engines = append(plan.Engines, entry)
	}
	return plan
}

// FiredTransitions is which rows of the table were taken so far, a bit each.
func (c *Controller) FiredTransitions() uint64 { return c.firedTransitions }

// SteppedDown is whether a planner of a later term was heard of.
func (c *Controller) SteppedDown() bool { return c.steppedDown }

// Fingerprint writes all of the roles' states that a later step may hang on, with times as they lie from now.
// Demand is left out: explorers give none.
func (c *Controller) Fingerprint(w io.Writer) {
	fmt.Fprintln(w, c.term, c.meta.Stopped, c.firstPlanPublished, c.steppedDown, c.publishPending, min(c.now-c.startedAt,
		int64(firstPlanTimeout)))
	for _, id := range c.engineIDs {
		engine := c.engines[id]
		fmt.Fprintln(w, id, engine.Role, engine.Epoch, engine.State, engine.NextRole, engine.NextEpoch, c.now-engine.StateSince, engine.ServingSince > 0,
			min(c.now-engine.ServingSince, int64(c.config.WarmUp)),
			engine.Incarnation, engine.Pinned, engine.present, engine.roleKnown, engine.trialNumber, engine.quarantineCount, min(c.now-engine.orderSentAt, orderResendInterval),
			min(c.now-engine.lastChangeEndedAt, int64(c.config.Cooldown)), engine.report)
	}
	for _, at := range c.changeStarts {
		fmt.Fprintln(w, c.now-at)
	}
}

// appendBounded keeps the newest n of a row.
func appendBounded[T any](values []T, value T, limit int) []T {
	values = append(values, value)
	if len(values) > limit {
		values = append(values[:0], values[len(values)-limit:]...)
	}
	return values
}

package invariant

// Reason states why an action is not allowed. The values are also labels of metrics.
type Reason string

// The reasons. The zero value allows the action.
const (
	Allowed              Reason = ""
	AlreadyAnswered      Reason = "it has its final answer"
	ClientGone           Reason = "its client has gone"
	DeadlineExceeded     Reason = "its time is up"
	EngineDraining       Reason = "its engine drains or is gone"
	EngineAddressChanged Reason = "its engine has another address by now"
	AttemptInFlight      Reason = "an earlier attempt is still out"
	MayHaveRun           Reason = "an earlier attempt may have run"
	DedupWindowExpired   Reason = "an earlier attempt may have run, and engines may have forgotten it"
	DuplicateRequestID   Reason = "a request has this name already"
	ShuttingDown         Reason = "this node is stopping"
	RequestUnanswered    Reason = "a request that was read has no answer"
	RequestIncoming      Reason = "a request is on its way"
)

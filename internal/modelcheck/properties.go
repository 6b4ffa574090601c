package modelcheck

// Property is a statement that must hold in every state. docs/properties.md describes each in detail.
type Property struct{ Name, Text string }

// Properties lists all properties that are checked. The text of a violation begins with the name of its property.
var Properties = []Property{
	{"P1", "an admitted request gets exactly one final response, and no bytes after it"},
	{"P2", "at most one attempt of a request is in flight"},
	{"P3", "no attempt follows an attempt that may have run, if the route is non-retriable; no request that may have run is shed"},
	{"P4", "the final response, or the first token of a stream, is sent before the client's timeout"},
	{"P5", "no reservation is held longer than the reservation limit with no attempt of its request in flight, unless two releases were lost; the routing policy releases it before the router itself has to, unless an attempt was interrupted"},
	{"P6", "no attempt follows the final response, and none stays in flight after its client disconnected"},
	{"P7", "no attempt is sent to an engine later than the drain grace after the router was notified of its drain"},
	{"P8", "a connection carries one request at a time, and none while part of a response is unread"},
	{"P9", "in a terminal state no connection is busy, no control request is open and the router keeps no request"},
	{"P10", "every execution terminates: no client waits forever"},
	{"P11", "an attempt that is reported to the routing policy as not run did not run"},
	{"P12", "the routing policy never panics, and no request within the limits is rejected"},
	{"P13", "a request is rejected before admission only if the router already holds its maximum of open requests"},
	{"P14", "all routers together send an engine that is warming up no more attempts than its budget"},
	{"P15", "the router's run-time monitor reports no false violation of an invariant"},
	{"R1", "no plan lists an engine with an epoch in which the engine has another role"},
	{"R2", "no edge, whichever plan it follows, sends an attempt that an engine of another role accepts"},
	{"R3", "no role change leaves a role without an engine"},
	{"R4", "the epoch of a role never decreases"},
	{"R5", "each plan is newer than the one before, also across restarts of the planner"},
	{"R6", "no order is sent before it is persisted"},
	{"R8", "no plan lists as ready an engine whose role is changing"},
	{"R7", "every role change ends: the engine serves, or is quarantined for a fault of its own"},
}

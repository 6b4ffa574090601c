package modelcheck

// Property is one thing that must hold in every state. docs/properties.md says the same in more words.
type Property struct{ Name, Text string }

// Properties are all that is checked; the text of a violation begins with the name.
var Properties = []Property{
	{"P1", "an admitted request gets exactly one final response, and nothing after it"},
	{"P2", "at most one attempt of a request is in flight"},
	{"P3", "no attempt follows an attempt that may have run, if the route is non-retriable; nothing that may have run is shed"},
	{"P4", "the final response, or the first token of a stream, comes before the client's timeout"},
	{"P5", "no reservation is held longer than the reservation limit with no attempt of its request in flight, unless two releases were lost; the routing policy releases it before the router's last resort, unless an attempt was cut off"},
	{"P6", "no attempt follows the final response, and none stays in flight after its client disconnected"},
	{"P7", "nothing is written to an engine later than the drain grace after the router was told of its drain"},
	{"P8", "a connection carries one request at a time, and nothing after an unread rest of a response"},
	{"P9", "at the end no connection is busy, no control request open, no request remembered"},
	{"P10", "every execution ends: nobody waits for what will not happen"},
	{"P11", "an attempt of which the routing policy is told that it did not run did not run"},
	{"P12", "the routing policy never panics, and nothing is rejected within the limits"},
	{"P13", "a request is rejected before it is admitted only where as many are open as the router may hold"},
	{"P14", "all routers together send a warming engine no more than its budget"},
	{"P15", "the router's run-time monitor finds no invariant violated where none is"},
	{"R1", "no plan lists an engine under an epoch under which it has another role"},
	{"R2", "no edge, by whatever plan it still follows, has an attempt accepted by an engine that has another role"},
	{"R3", "no change leaves a role without an engine"},
	{"R4", "the epoch of a role never decreases"},
	{"R5", "plans only get newer, also over restarts of the planner"},
	{"R6", "no order is sent that is not persisted first"},
	{"R8", "no plan lists as ready an engine whose role is changing"},
	{"R7", "every change ends: the engine serves, or is quarantined for what it did"},
}

// Package planapi defines the messages between the planner, edges, engines and operators: plans, reports and orders in JSON.
// Its parsers check all values. It does no I/O.
package planapi

// Paths at the planner.
const (
	StreamPath = "/plan/stream" // GET: a stream of complete plans, one JSON object per line
	ReportPath = "/plan/report" // POST: an EdgeReport
	RolesPath  = "/plan/roles"  // GET: the planner's status, for operators
	OrderPath  = "/plan/order"  // POST: an Order
)

// RolePath is the path at an engine for role orders. POST: a RoleOrder
const RolePath = "/sandcourse/role"

// TrialPrefix is the prefix of the IDs of trial requests, with which the planner verifies an engine's role.
const TrialPrefix = "trial-"

// Roles of an engine.
const (
	Prefill = "read"
	Decode  = "write"
)

// OtherRole returns the other role.
func OtherRole(role string) string {
	if role == Prefill {
		return Decode
	}
	return Prefill
}

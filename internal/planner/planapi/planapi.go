// Package planapi is the messages between the planner, edges, engines and operators: plans, reports and orders, as JSON,
// checked as they are parsed. It does no I/O.
package planapi

// Paths at the planner.
const (
	StreamPath = "/plan/stream" // GET: plans, one JSON object a line; each is complete
	ReportPath = "/plan/report" // POST: an EdgeReport
	RolesPath  = "/plan/roles"  // GET: the planner's status, for operators
	OrderPath  = "/plan/order"  // POST: an Order
)

// RolePath is the path of role orders at an engine: POST, a RoleOrder.
const RolePath = "/sandcourse/role"

// TrialPrefix begins the IDs of the requests by which the planner tests an engine's role.
const TrialPrefix = "trial-"

// Roles of an engine.
const (
	Prefill = "read"
	Decode  = "write"
)

// OtherRole is the other role.
func OtherRole(role string) string {
	if role == Prefill {
		return Decode
	}
	return Prefill
}

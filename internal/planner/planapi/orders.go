package planapi

// RoleOrder is an order from a planner to an engine. An engine follows only the latest term and epoch. An order with the
// engine's current epoch starts or ends a drain; one with a higher epoch makes the engine change to the given role.
type RoleOrder struct {
	Term  int64  `json:"term"`
	Epoch int64  `json:"epoch"`
	Role  string `json:"role"`
	Drain bool   `json:"drain"`
}

// Order is an order from an operator to the planner.
type Order struct {
	Operation string `json:"op"`               // one of Operations
	Engine    string `json:"engine,omitempty"` // address of the engine, for operations on one engine
	Operator  string `json:"who"`
	Reason    string `json:"why"`
	DryRun    bool   `json:"dry,omitempty"` // the effect is reported, but not carried out
}

// Operations of an operator's order.
const (
	OperationPin     = "pin"     // an engine keeps its role
	OperationUnpin   = "unpin"   // an engine's role may change again
	OperationMove    = "move"    // an engine changes to its other role
	OperationReadmit = "readmit" // a quarantined engine serves again
	OperationStop    = "stop"    // the planner starts no role change by itself
	OperationGo      = "go"      // the planner starts role changes again
)

// Operations lists all operations.
var Operations = []string{OperationPin, OperationUnpin, OperationMove, OperationReadmit, OperationStop, OperationGo}

const (
	maxRoleOrderBytes = 1 << 12
	maxOrderBytes     = 1 << 14
	maxOperatorBytes  = 256
	maxReasonBytes    = 1024
)

// operationNeedsEngine reports whether an operation applies to one engine; known is false for an unknown operation.
func operationNeedsEngine(operation string) (needs, known bool) {
	switch operation {
	case OperationPin, OperationUnpin, OperationMove, OperationReadmit:
		return true, true
	case OperationStop, OperationGo:
		return false, true
	}
	return false, false
}

// ParseRoleOrder parses and checks an order to an engine.
func ParseRoleOrder(data []byte) (RoleOrder, error) {
	return parse(MessageOrder, data, maxRoleOrderBytes, func(o RoleOrder) error {
		if !isRole(o.Role) || o.Epoch < 0 || o.Term < 1 {
			return newInvalidError("role %q, epoch %d or term %d is not allowed", o.Role, o.Epoch, o.Term)
		}
		return nil
	})
}

// ParseOrder parses and checks an operator's order.
func ParseOrder(data []byte) (Order, error) {
	return parse(MessageOrder, data, maxOrderBytes, func(o Order) error {
		needs, known := operationNeedsEngine(o.Operation)
		switch {
		case !known:
			return newInvalidError("op must be one of %v, not %q", Operations, o.Operation)
		case needs != (o.Engine != ""):
			return newInvalidError("op %s is not allowed with engine %q", o.Operation, o.Engine)
		case len(o.Operator) > maxOperatorBytes || len(o.Reason) > maxReasonBytes:
			return newInvalidError("who may have at most %d bytes, why at most %d", maxOperatorBytes, maxReasonBytes)
		}
		return nil
	})
}

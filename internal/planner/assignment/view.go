package assignment

import (
	"sandcourse/internal/planner/planapi"
)

// EngineView is the status of one engine as shown to operators.
type EngineView struct {
	Record
	Listed           bool                 `json:"Listed"`
	CanChange        bool                 `json:"CanChange"`
	Report           planapi.EngineReport `json:"said"`
	ReportedMsAgo    int64                `json:"heard_ms_ago"` // age of the latest report; -1 if the engine has never reported
	IneligibleReason Reason               `json:"barred,omitempty"`
	Fault            string               `json:"trouble,omitempty"`
}

// Engines returns the views of all known engines, sorted by address.
func (c *Controller) Engines() (views []EngineView) {
	for _, engine := range c.engines.sorted {
		view := EngineView{Record: engine.Record, Listed: engine.present, CanChange: engine.listed.CanChange,
			Report: engine.report, ReportedMsAgo: -1, IneligibleReason: c.ineligibleReason(engine), Fault: engine.fault}
		if engine.reportedAt > 0 {
			view.ReportedMsAgo = c.since(engine.reportedAt).Milliseconds()
		}
		views = append(views, view)
	}
	return views
}

// ReportTargets returns the engines to request load reports from, and those of them that are changing roles: a
// change waits for the next report.
func (c *Controller) ReportTargets() (all, changing []string) {
	for _, engine := range c.engines.sorted {
		if !engine.present {
			continue
		}
		all = append(all, engine.Engine)
		if engine.changing() {
			changing = append(changing, engine.Engine)
		}
	}
	return all, changing
}

// RoleState is a combination of a role and a state, by which engines are counted.
type RoleState struct {
	Role  string
	State State
}

// CountEngines counts the listed engines in each role and state.
func (c *Controller) CountEngines() map[RoleState]int {
	counts := map[RoleState]int{}
	for _, engine := range c.engines.sorted {
		if engine.present {
			counts[RoleState{engine.Role, engine.State}]++
		}
	}
	return counts
}

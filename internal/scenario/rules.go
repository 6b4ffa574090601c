package scenario

import (
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
)

// Rules are what a deployment's runs are judged by.
func Rules(d *config.Deployment) audit.Rules {
	r := audit.Rules{NonRetriable: map[string]bool{}, DrainGrace: d.Rules.DrainGrace, Pin: d.Rules.ReservationLimit,
		// A list is looked at every 50 ms.
		Notice: 100 * time.Millisecond,
		// What goroutines of a full machine may wait before they see what has happened.
		Slack: 150 * time.Millisecond}
	for _, t := range d.Routes {
		r.NonRetriable[t.Name] = t.Effect == "non-retriable"
	}
	return r
}

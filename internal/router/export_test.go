package router

import "fmt"

// ReleaseDelay is the time for which a release waits for the end of an abandoned attempt.
const ReleaseDelay = releaseDelay

// HealthCheck sends a health check to an engine.
func (r *Router) HealthCheck(engine string) { r.startControlRequest(&controlRequest{engine: engine}) }

// AddNames adds n request names to the recent names.
func (r *Router) AddNames(n int) {
	for i := range n {
		r.requests.recentNames.add(fmt.Sprint("flood", i))
	}
}

// KnownEngines returns how many engines the router remembers.
func (r *Router) KnownEngines() int {
	return max(len(r.endpoints.lastListedIn), len(r.endpoints.drains))
}

// WatchedStreams returns how many streams are watched for stalls.
func (r *Router) WatchedStreams() int { return r.streams.Len() }

package router

// responder is an engine that has responded, in a list by the time of the last response.
type responder struct {
	engine         string
	earlier, later *responder
}

// responders lists engines in the order of their last responses. A response moves its engine to the front.
type responders struct {
	byEngine map[string]*responder
	latest   *responder
}

func newResponders() responders { return responders{byEngine: map[string]*responder{}} }

// record records that a response of an engine has begun.
func (s *responders) record(engine string) {
	node := s.byEngine[engine]
	switch {
	case node == nil:
		node = &responder{engine: engine}
		s.byEngine[engine] = node
	case node == s.latest:
		return
	default:
		s.unlink(node)
	}
	node.earlier = s.latest
	if s.latest != nil {
		s.latest.later = node
	}
	s.latest = node
}

// forget removes the engines that do not match.
func (s *responders) forget(keep func(engine string) bool) {
	for engine, node := range s.byEngine {
		if !keep(engine) {
			delete(s.byEngine, engine)
			s.unlink(node)
		}
	}
}

func (s *responders) unlink(node *responder) {
	if node.later == nil {
		s.latest = node.earlier
	} else {
		node.later.earlier = node.earlier
	}
	if node.earlier != nil {
		node.earlier.later = node.later
	}
	node.earlier, node.later = nil, nil
}

// first returns the first match, beginning with the engine that responded last; empty if no engine matches.
func (s *responders) first(matches func(engine string) bool) string {
	for node := s.latest; node != nil; node = node.earlier {
		if matches(node.engine) {
			return node.engine
		}
	}
	return ""
}

package planner

import (
	"go.uber.org/zap"

	"sandcourse/internal/planner/assignment"
)

// recordSaver executes Persist actions. If a save fails, its records are included in the next save. It is not safe for
// concurrent use.
type recordSaver struct {
	store   *Store
	log     *zap.Logger
	failing bool // the last save failed
	unsaved map[string]assignment.Record
	meta    assignment.Meta
}

func newRecordSaver(store *Store, log *zap.Logger) *recordSaver {
	return &recordSaver{store: store, log: log, unsaved: map[string]assignment.Record{}}
}

// save saves records and meta, and all records of failed saves before it. It returns true if it is the first save that
// succeeds after a failed one.
func (s *recordSaver) save(changes assignment.Persist) (recovered bool) {
	for _, record := range changes.Records {
		s.unsaved[record.Engine] = record
	}
	s.meta = changes.Meta
	all := assignment.Persist{Meta: changes.Meta}
	for _, record := range s.unsaved {
		all.Records = append(all.Records, record)
	}
	if err := s.store.Save(all); err != nil {
		if !s.failing {
			s.log.Error("store save failed, orders and plans are held back", zap.Error(err))
		}
		s.failing = true
		return false
	}
	clear(s.unsaved)
	recovered, s.failing = s.failing, false
	if recovered {
		s.log.Info("store save recovered")
	}
	return recovered
}

// retryFailed repeats a failed save. It returns the result of save, or false if no save has failed.
func (s *recordSaver) retryFailed() (recovered bool) {
	return s.failing && s.save(assignment.Persist{Meta: s.meta})
}

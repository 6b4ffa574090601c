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

// save saves records and meta, together with the records of earlier saves that failed. It returns true if it succeeds and the
// previous save failed.
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

// retryFailed repeats the last save if it failed. It returns true if the repeated save succeeds.
func (s *recordSaver) retryFailed() (recovered bool) {
	return s.failing && s.save(assignment.Persist{Meta: s.meta})
}

package planner

import (
	"go.uber.org/zap"

	"sandcourse/internal/planner/assignment"
)

// recordSaver saves what the controller wants saved. If a save fails, it keeps what was not saved and adds it to the next
// one. It is not safe for concurrent use.
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

// save saves records and meta, and all records that were not saved before. It returns true if it is the first save that
// succeeds after one that failed.
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

// retry saves again what a failed save left. Its result is that of save.
func (s *recordSaver) retry() (recovered bool) {
	return s.failing && s.save(assignment.Persist{Meta: s.meta})
}

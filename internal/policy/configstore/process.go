package configstore

import (
	"errors"
	"fmt"
)

// recordReport records the report of a process. OpRegister also registers the process.
func (s *Store) recordReport(c Change) error {
	if c.Process == nil || c.Process.Name == "" {
		return errors.New("who: missing")
	}
	process := s.Processes[c.Process.Name]
	if c.Op == OpRegister {
		if process == nil && len(s.Processes) >= MaxProcesses {
			return fmt.Errorf("%d processes are registered already", MaxProcesses)
		}
		process = &Process{Name: c.Process.Name, Formats: c.Process.Formats, Prepared: map[string]int{}, Quiesced: map[string]int{}, Refusals: map[string]Refusal{}}
		s.Processes[process.Name] = process
	}
	if process == nil {
		return fmt.Errorf("%w: %s", ErrNotRegistered, c.Process.Name)
	}
	for name := range process.Formats {
		if doc := s.Documents[name]; doc != nil && doc.Proposed != nil {
			process.applyReport(doc, c.Process)
		}
	}
	return nil
}

// applyReport records what a process reports of a pending change. It ignores what a late report says of another version.
func (p *Process) applyReport(d *Document, reported *Process) {
	name, version := d.Name, d.Proposed.ID.Version
	if reported.Prepared[name] == version {
		p.Prepared[name] = version
	}
	if reported.Quiesced[name] == version && p.Prepared[name] == version && d.Stage == StageQuiescing {
		p.Quiesced[name] = version
	}
	if refusal, ok := reported.Refusals[name]; ok && refusal.Version == version {
		if p.Refusals == nil {
			p.Refusals = map[string]Refusal{}
		}
		refusal.Reason = clip(refusal.Reason)
		p.Refusals[name] = refusal
	}
}

// NeedsRecording reports whether a report contains anything that the store has not recorded. If not, it need not go into the group's log.
func (s *Store) NeedsRecording(reported Process) bool {
	known := s.Processes[reported.Name]
	if known == nil {
		return true
	}
	for name, d := range s.Documents {
		if _, uses := known.Formats[name]; !uses || d.Proposed == nil {
			continue
		}
		version := d.Proposed.ID.Version
		if reported.Prepared[name] == version && known.Prepared[name] != version || reported.Quiesced[name] == version && known.Quiesced[name] != version && d.Stage == StageQuiescing ||
			reported.Refusals[name].Version == version && known.Refusals[name].Version != version {
			return true
		}
	}
	return false
}

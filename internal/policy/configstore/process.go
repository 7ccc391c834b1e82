package configstore

import (
	"errors"
	"fmt"
)

// report takes what a process reports of itself, and registers it where the change is that.
func (b *Store) report(c Change) error {
	if c.Process == nil || c.Process.Name == "" {
		return errors.New("who: missing")
	}
	p := b.Processes[c.Process.Name]
	if c.Op == OpRegister {
		if p == nil && len(b.Processes) >= MaxProcesses {
			return fmt.Errorf("%d processes are registered already", MaxProcesses)
		}
		p = &Process{Name: c.Process.Name, Formats: c.Process.Formats, Prepared: map[string]int{}, Quiesced: map[string]int{}, Refusals: map[string]Refusal{}}
		b.Processes[p.Name] = p
	}
	if p == nil {
		return fmt.Errorf("%w: %s", ErrNotRegistered, c.Process.Name)
	}
	for name := range p.Formats {
		if d := b.Documents[name]; d != nil && d.Proposed != nil {
			p.take(d, c.Process)
		}
	}
	return nil
}

// take takes what a process reports of a change that is under way. What a late report says of another version is no news.
func (p *Process) take(d *Document, reported *Process) {
	name, version := d.Name, d.Proposed.ID.Version
	if reported.Prepared[name] == version {
		p.Prepared[name] = version
	}
	if reported.Quiesced[name] == version && p.Prepared[name] == version && d.Stage == StageQuiescing {
		p.Quiesced[name] = version
	}
	if r, ok := reported.Refusals[name]; ok && r.Version == version {
		if p.Refusals == nil {
			p.Refusals = map[string]Refusal{}
		}
		r.Reason = clip(r.Reason)
		p.Refusals[name] = r
	}
}

// HasNews reports whether a report of a process adds to what is known of it. Where it does not, it need not go into the group's log.
func (b *Store) HasNews(u Process) bool {
	known := b.Processes[u.Name]
	if known == nil {
		return true
	}
	for name, d := range b.Documents {
		if _, uses := known.Formats[name]; !uses || d.Proposed == nil {
			continue
		}
		n := d.Proposed.ID.Version
		if u.Prepared[name] == n && known.Prepared[name] != n || u.Quiesced[name] == n && known.Quiesced[name] != n && d.Stage == StageQuiescing ||
			u.Refusals[name].Version == n && known.Refusals[name].Version != n {
			return true
		}
	}
	return false
}

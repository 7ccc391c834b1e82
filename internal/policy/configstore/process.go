package configstore

import (
	"errors"
	"fmt"
)

// report takes what a process says of itself.
func (b *Store) report(c Change) error {
	if c.Process == nil || c.Process.Name == "" {
		return errors.New("who: missing")
	}
	u := b.Processes[c.Process.Name]
	if c.Op == OpRegister {
		if u == nil && len(b.Processes) >= MaxProcesses {
			return fmt.Errorf("%d processes are registered already", MaxProcesses)
		}
		u = &Process{Name: c.Process.Name, Formats: c.Process.Formats, Prepared: map[string]int{}, Quiesced: map[string]int{}, Refusals: map[string]Refusal{}}
		b.Processes[u.Name] = u
	}
	if u == nil {
		return fmt.Errorf("%w: %s", ErrNotRegistered, c.Process.Name)
	}
	for name := range u.Formats {
		// Only of what is under way: what a late word says of another version is no news.
		d := b.Documents[name]
		if d == nil || d.Proposed == nil {
			continue
		}
		n := d.Proposed.ID.Version
		if c.Process.Prepared[name] == n {
			u.Prepared[name] = n
		}
		if c.Process.Quiesced[name] == n && u.Prepared[name] == n && d.Stage == StageQuiescing {
			u.Quiesced[name] = n
		}
		if r, ok := c.Process.Refusals[name]; ok && r.Version == n {
			if u.Refusals == nil {
				u.Refusals = map[string]Refusal{}
			}
			r.Reason = clip(r.Reason)
			u.Refusals[name] = r
		}
	}
	return nil
}

// HasNews is what a word of a process adds to what is known of it.
func (b *Store) HasNews(u Process) bool {
	was := b.Processes[u.Name]
	if was == nil {
		return true
	}
	for name, d := range b.Documents {
		if _, uses := was.Formats[name]; !uses || d.Proposed == nil {
			continue
		}
		n := d.Proposed.ID.Version
		if u.Prepared[name] == n && was.Prepared[name] != n || u.Quiesced[name] == n && was.Quiesced[name] != n && d.Stage == StageQuiescing ||
			u.Refusals[name].Version == n && was.Refusals[name].Version != n {
			return true
		}
	}
	return false
}

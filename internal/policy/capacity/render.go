package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Table is a table of the plan for output.
type Table struct {
	Name  string // of its marker in docs/CAPACITY.md
	Title string
	Head  []string
	Rows  [][]string
}

// short formats a value with two or three significant digits, and with all digits of its integer part.
func short(v float64) string {
	switch abs := math.Abs(v); {
	case math.IsNaN(v):
		return "–"
	case math.IsInf(v, 0):
		return "∞"
	case v == math.Trunc(v) && abs < 1000:
		return strconv.FormatFloat(v, 'f', 0, 64)
	case abs >= 1000:
		s := strconv.FormatFloat(math.Round(v), 'f', 0, 64)
		for i := len(s) - 3; i > 0 && s[i-1] != '-'; i -= 3 {
			s = s[:i] + "," + s[i:]
		}
		return s
	case abs >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	case abs >= 10:
		return strconv.FormatFloat(v, 'f', 1, 64)
	case abs >= 1:
		return strconv.FormatFloat(v, 'f', 2, 64)
	}
	return strconv.FormatFloat(v, 'g', 2, 64)
}

// tableCell formats an estimate for a table, followed by the mark of its basis: see Marks.
func (e Estimate) tableCell() string {
	suffix := ""
	if e.MeasuredOn != "" {
		suffix = "(" + e.MeasuredOn[:1] + ")"
	}
	switch e.Basis {
	case Measured:
		return short(float64(e.Value)) + " m" + suffix
	case Extrapolated:
		mark := ""
		if e.RelativeError != 0 {
			mark = "?"
		}
		return short(float64(e.Value)) + " ×" + short(e.Factor) + mark + suffix
	case Assumed:
		return short(float64(e.Value)) + " a"
	}
	return "–"
}

// percent formats a share of the target.
func percent(share Number) string {
	switch v := float64(share); {
	case math.IsInf(v, 0):
		return fmt.Sprintf("over %d%%", 100*maxShare)
	case v == 0:
		return "at any size"
	case v < 0.1:
		return fmt.Sprintf("%.1f%%", 100*v)
	default:
		return fmt.Sprintf("%.0f%%", 100*v)
	}
}

// Marks explains the marks in the tables.
const Marks = "m: measured; ×N: foretold by a slope, N times the largest size that was measured, with ? where the slope did not foretell " +
	"the size that it was held against; (h) and (s): of hollow processes, or of the decision's own code; a: assumed or counted; –: not measured, or of no meaning there."

// Tables returns the tables of the plan in the order of docs/CAPACITY.md.
func (p Plan) Tables() []Table {
	roles := Table{Name: "roles", Title: "Each role at the target", Head: []string{"role", "figure", "rest", "peak", "burst", "zone back", "apart", "budget", "carried by", "what is taken"}}
	for _, l := range p.Lines {
		row := []string{l.Role, l.Figure}
		if l.Unit != "" {
			row[1] += "," + unitSuffix(l.Unit)
		}
		for _, condition := range Conditions {
			row = append(row, l.Estimates[condition].tableCell())
		}
		budget := ""
		if l.Budget > 0 {
			budget = short(float64(l.Budget))
		}
		roles.Rows = append(roles.Rows, append(row, budget, l.CarriedBy, l.Note))
	}
	sizing := Table{Name: "sizing", Title: "Servers and routers for the peak", Head: []string{"what", "figure", "basis", "how"}}
	for _, s := range p.Sizing {
		sizing.Rows = append(sizing.Rows, []string{s.Name, short(float64(s.Estimate.Value)) + unitSuffix(s.Unit), s.Estimate.String(), s.Note})
	}
	machines := Table{Name: "machines", Title: "The machines of control", Head: []string{"machine", "region", "zone", "runs", "processor, core"}}
	for i, m := range p.Machines {
		machines.Rows = append(machines.Rows, []string{strconv.Itoa(i + 1), strconv.Itoa(m.Region), strconv.Itoa(m.Zone), m.Runs, m.Core.tableCell()})
	}
	day := Table{Name: "day", Title: "What fails and is restarted", Head: []string{"what", "a day", "servers", "ms until routers know", "requests tried again", "sheets failed, no store",
		"sheets failed, with a store", "commits", "versions of the map", "connections made"}}
	for _, c := range p.DailyCosts {
		row := []string{c.Event, short(float64(c.PerDay)), short(float64(c.Servers)), c.DetectionTime.tableCell()}
		for _, v := range []Number{c.RetriedRequests, c.FailedWithoutStore, c.FailedWithStore, c.Commits, c.MapVersions, c.Connections} {
			row = append(row, short(float64(v)))
		}
		day.Rows = append(day.Rows, row)
	}
	list := []Table{roles, sizing, machines, day, p.breakingTable("breaking", "By breaking point")}
	t := Table{Name: "unknown", Title: "Of which nothing can be said, as it was not measured far enough", Head: []string{"budget"}}
	for _, u := range p.UnknownBudgets {
		t.Rows = append(t.Rows, []string{u})
	}
	if len(p.UnknownBudgets) == 0 {
		t.Rows = [][]string{{"none"}}
	}
	return append(list, t)
}

// breakingTable returns the breaking points in order.
func (p Plan) breakingTable(name, title string) Table {
	t := Table{Name: name, Title: title, Head: []string{"", "share of the target", "what", "needed", "bound or budget", "basis", "what happens", "carried by"}}
	for i, b := range p.BreakingPoints {
		kind := "costs"
		if b.Stops {
			kind = "stops"
		}
		t.Rows = append(t.Rows, []string{fmt.Sprintf("%d %s", i+1, kind), percent(b.Share), b.Name, short(float64(b.NeededAtTarget.Value)) + unitSuffix(b.Unit),
			short(float64(b.Bound)) + unitSuffix(b.Unit), b.AtShare.String(), b.Consequence, b.CarriedBy})
	}
	return t
}

// BreakingTable returns the table of breaking points under another name.
func (p Plan) BreakingTable(name string) Table { return p.breakingTable(name, "By breaking point") }

// Markdown formats the table for a page.
func (t Table) Markdown() string {
	var b strings.Builder
	line := func(cells []string) {
		b.WriteString("|")
		for _, c := range cells {
			b.WriteString(" " + strings.ReplaceAll(c, "|", "\\|") + " |")
		}
		b.WriteString("\n")
	}
	line(t.Head)
	b.WriteString("|" + strings.Repeat(" --- |", len(t.Head)) + "\n")
	for _, r := range t.Rows {
		line(r)
	}
	return b.String()
}

// Fill replaces the text between the markers of each table in a page. It returns an error that names the first table without a marker, or the
// first marker without a table.
func Fill(page string, tables []Table) (string, error) {
	used := map[string]bool{}
	for _, t := range tables {
		startMarker := "<!-- capacity:" + t.Name + " -->\n"
		before, afterStart, ok := strings.Cut(page, startMarker)
		if !ok {
			return page, fmt.Errorf("no marker for the table %q", t.Name)
		}
		_, after, ok := strings.Cut(afterStart, endMarker)
		if !ok {
			return page, fmt.Errorf("the marker of the table %q has no end", t.Name)
		}
		page = before + startMarker + t.Markdown() + endMarker + after
		used[t.Name] = true
	}
	for rest := page; ; {
		_, next, ok := strings.Cut(rest, "<!-- capacity:")
		if !ok {
			return page, nil
		}
		name, after, _ := strings.Cut(next, " -->")
		if !used[name] {
			return page, fmt.Errorf("no table for the marker %q", name)
		}
		rest = after
	}
}

// endMarker closes the text of every table.
const endMarker = "<!-- /capacity -->"

// Compare returns a table of the breaking points of other whose share of the target is not the same in base.
func Compare(name string, base, other Plan) Table {
	t := Table{Name: name, Title: "By another reading", Head: []string{"what", "share of the target", "by the other reading", "needed", "bound or budget", "basis"}}
	for _, b := range other.BreakingPoints {
		i := slices.IndexFunc(base.BreakingPoints, func(p BreakingPoint) bool { return p.Name == b.Name })
		baseShare := "–"
		if i >= 0 {
			baseShare = percent(base.BreakingPoints[i].Share)
		}
		if otherShare := percent(b.Share); otherShare != baseShare {
			t.Rows = append(t.Rows, []string{b.Name, baseShare, otherShare, short(float64(b.NeededAtTarget.Value)) + unitSuffix(b.Unit), short(float64(b.Bound)) + unitSuffix(b.Unit), b.AtShare.String()})
		}
	}
	return t
}

// unitSuffix returns the unit after a space, or "" without a unit.
func unitSuffix(u string) string {
	if u == "" {
		return ""
	}
	return " " + u
}

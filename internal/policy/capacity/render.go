package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Table is one for people.
type Table struct {
	Name  string // of its markers in docs/CAPACITY.md
	Title string
	Head  []string
	Rows  [][]string
}

// short writes a figure with two or three digits that count.
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

// cell is an estimate in a table: what it rests on stands behind it, m measured, ×N foretold, a assumed.
func (e Estimate) cell() string {
	of := ""
	if e.Of != "" {
		of = "(" + e.Of[:1] + ")"
	}
	switch e.Basis {
	case Measured:
		return short(float64(e.Value)) + " m" + of
	case Foretold:
		mark := ""
		if e.Off != 0 {
			mark = "?"
		}
		return short(float64(e.Value)) + " ×" + short(e.Factor) + mark + of
	case Assumed:
		return short(float64(e.Value)) + " a"
	}
	return "–"
}

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

// Marks says what the marks in the tables mean.
const Marks = "m: measured; ×N: foretold by a slope, N times the largest size that was measured, with ? where the slope did not foretell " +
	"the size that it was held against; (h) and (s): of hollow processes, or of the decision's own code; a: assumed or counted; –: not measured, or of no meaning there."

// Tables are the plan for people, in the order of the page.
func (p Plan) Tables() []Table {
	roles := Table{Name: "roles", Title: "Each role at the target", Head: []string{"role", "figure", "rest", "peak", "burst", "zone back", "apart", "budget", "carried by", "what is taken"}}
	for _, l := range p.Lines {
		row := []string{l.Role, l.Figure}
		if l.Unit != "" {
			row[1] += "," + unit(l.Unit)
		}
		for _, k := range Conditions {
			row = append(row, l.At[k].cell())
		}
		budget := ""
		if l.Budget > 0 {
			budget = short(float64(l.Budget))
		}
		roles.Rows = append(roles.Rows, append(row, budget, l.Carried, l.Says))
	}
	sizing := Table{Name: "sizing", Title: "Servers and routers for the peak", Head: []string{"what", "figure", "basis", "how"}}
	for _, s := range p.Sizing {
		sizing.Rows = append(sizing.Rows, []string{s.What, short(float64(s.Is.Value)) + unit(s.Unit), s.Is.String(), s.Says})
	}
	machines := Table{Name: "machines", Title: "The machines of control", Head: []string{"machine", "region", "zone", "runs", "processor, core"}}
	for i, m := range p.Machines {
		machines.Rows = append(machines.Rows, []string{strconv.Itoa(i + 1), strconv.Itoa(m.Region), strconv.Itoa(m.Zone), m.Runs, m.Core.cell()})
	}
	day := Table{Name: "day", Title: "What fails and is restarted", Head: []string{"what", "a day", "servers", "ms until routers know", "requests tried again", "sheets failed, no store",
		"sheets failed, with a store", "commits", "versions of the map", "connections made"}}
	for _, c := range p.Day {
		row := []string{c.What, short(float64(c.Day)), short(float64(c.Servers)), c.Known.cell()}
		for _, v := range []Number{c.Late, c.Sheets, c.Stored, c.Commits, c.Versions, c.Connects} {
			row = append(row, short(float64(v)))
		}
		day.Rows = append(day.Rows, row)
	}
	list := []Table{roles, sizing, machines, day, p.breaking("breaking", "By breaking point")}
	t := Table{Name: "unknown", Title: "Of which nothing can be said, as it was not measured far enough", Head: []string{"budget"}}
	for _, u := range p.Unknown {
		t.Rows = append(t.Rows, []string{u})
	}
	if len(p.Unknown) == 0 {
		t.Rows = [][]string{{"none"}}
	}
	return append(list, t)
}

func (p Plan) breaking(name, title string) Table {
	t := Table{Name: name, Title: title, Head: []string{"", "share of the target", "what", "needed", "bound or budget", "basis", "what happens", "carried by"}}
	for i, b := range p.Breaks {
		kind := "costs"
		if b.Stops {
			kind = "stops"
		}
		t.Rows = append(t.Rows, []string{fmt.Sprintf("%d %s", i+1, kind), percent(b.Share), b.What, short(float64(b.Needed.Value)) + unit(b.Unit),
			short(float64(b.Bound)) + unit(b.Unit), b.By.String(), b.Says, b.In})
	}
	return t
}

// Breaking is the list by breaking point under another name.
func (p Plan) Breaking(name string) Table { return p.breaking(name, "By breaking point") }

// Markdown is a table as it stands in a page.
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

// Fill puts tables between their markers in a page, and names the first that has none, and the first marker that has no table.
func Fill(page string, tables []Table) (string, error) {
	used := map[string]bool{}
	for _, t := range tables {
		open := "<!-- capacity:" + t.Name + " -->\n"
		before, rest, ok := strings.Cut(page, open)
		if !ok {
			return page, fmt.Errorf("no marker for the table %q", t.Name)
		}
		_, after, ok := strings.Cut(rest, end)
		if !ok {
			return page, fmt.Errorf("the marker of the table %q has no end", t.Name)
		}
		page = before + open + t.Markdown() + end + after
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

const end = "<!-- /capacity -->"

// Compare has what another plan breaks at, where that is another share than in a first one.
func Compare(name string, is, other Plan) Table {
	t := Table{Name: name, Title: "By another reading", Head: []string{"what", "share of the target", "by the other reading", "needed", "bound or budget", "basis"}}
	for _, b := range other.Breaks {
		i := slices.IndexFunc(is.Breaks, func(was Break) bool { return was.What == b.What })
		was := "–"
		if i >= 0 {
			was = percent(is.Breaks[i].Share)
		}
		if now := percent(b.Share); now != was {
			t.Rows = append(t.Rows, []string{b.What, was, now, short(float64(b.Needed.Value)) + unit(b.Unit), short(float64(b.Bound)) + unit(b.Unit), b.By.String()})
		}
	}
	return t
}

func unit(u string) string {
	if u == "" {
		return ""
	}
	return " " + u
}

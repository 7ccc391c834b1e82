package simulator

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const params = `{"classes":[{"name":"read","target":1000000,"deadline":3000000,"worth":1,"effect":"pure"},` +
	`{"name":"pay","target":1000000,"deadline":3000000,"worth":3,"effect":"token","memory_span":9000000}],` +
	`"family_info":{"below":"none","cpus":2,"memory_kb":10000,"run_factor":4,"key_kb":5,"say":"none",` +
	`"preemption":"pause","gauges":["core_use","on_cores","heap_share","links"]},` +
	`"rules":{"fall_multiple":6,"overload_for":2000000,"drain_grace":1000000},"unknown_key":[1]}`

const launch = "CLOCK\tsim_time=1000\nSELECT\twho=3\nLAUNCH\tsalt=7\tparams=" + params + "\nGO\n"

func serve(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestBatches(t *testing.T) {
	out, err := serve(t, launch+
		"CLOCK\tsim_time=2000\nSELECT\twho=3\nSUBMIT\tcorr=a\tclass=read\tfootprint=2.5\tnew_key=1\n"+
		"SUBMIT\tcorr=b\tclass=pay\tfootprint=2\nTIMER\thandle=tick\tmetrics=0.5,1,0.1,4\nGO\n"+
		"CLOCK\tsim_time=3000\nGO\n"+
		"CLOCK\tsim_time=4000\nSELECT\twho=3\nWOUND_UP\tcorr=a\tstate_code=Ok\tspent=2000\nKILL\nGO\n")
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out, "EOR\n"); n != 4 {
		t.Errorf("%d replies to 4 batches, want 4", n)
	}
	for _, want := range []string{"CONTEXT\twho=3\nREPORT_HEALTH\tshallow=1\tenable=1\n", "EXECUTE\tcorr=a\n",
		"STORE_KEY\tcorr=b\thold_for=9000000\n", "EXECUTE\tcorr=b\n", "DEFER\tspan="} {
		if !strings.Contains(out, want) {
			t.Errorf("missing %q in the output:\n%s", want, out)
		}
	}
}

func TestMalformedInputNamesItsField(t *testing.T) {
	batchStart := "CLOCK\tsim_time=2000\nSELECT\twho=3\n"
	for name, c := range map[string]struct{ in, want string }{
		"unknown message":       {launch + batchStart + "NONSENSE\tcorr=a\nGO\n", "line 7: NONSENSE: unknown message"},
		"missing field":         {launch + batchStart + "SUBMIT\tcorr=a\tclass=read\nGO\n", "line 7: SUBMIT: field footprint: missing"},
		"malformed field":       {launch + batchStart + "SUBMIT\tcorr=a\tclass=read\tfootprint=x\nGO\n", "field footprint: not a number"},
		"negative memory":       {launch + batchStart + "SUBMIT\tcorr=a\tclass=read\tfootprint=-1\nGO\n", "field footprint: not a number of 0"},
		"infinite memory":       {launch + batchStart + "SUBMIT\tcorr=a\tclass=read\tfootprint=Inf\nGO\n", "field footprint"},
		"bad flag":              {launch + batchStart + "SUBMIT\tcorr=a\tclass=read\tfootprint=1\tagain_by_client=yes\nGO\n", "again_by_client"},
		"field without a name":  {launch + batchStart + "SUBMIT\tcorr\nGO\n", "line 7: SUBMIT: field without a name"},
		"field twice":           {launch + batchStart + "SUBMIT\tcorr=a\tcorr=b\nGO\n", "field corr given twice"},
		"outcome":               {launch + batchStart + "WOUND_UP\tcorr=a\tstate_code=Fine\nGO\n", "field state_code: unknown"},
		"short gauges":          {launch + batchStart + "TIMER\thandle=tick\tmetrics=0.5\nGO\n", "field metrics"},
		"instance not started":  {"CLOCK\tsim_time=2000\nSELECT\twho=4\nBLOCKED\tcorr=a\nGO\n", "instance 4 is not started"},
		"killed instance":       {launch + batchStart + "KILL\nBLOCKED\tcorr=a\nGO\n", "instance 3 is not started"},
		"no instance":           {"CLOCK\tsim_time=2000\nBLOCKED\tcorr=a\nGO\n", "no instance selected"},
		"end within a batch":    {launch + batchStart, "end of input within a batch"},
		"no clock":              {"SELECT\twho=3\nGO\n", "must begin with CLOCK"},
		"clock moves backwards": {launch + "CLOCK\tsim_time=5\nGO\n", "field sim_time: moved backwards"},
		"settings not JSON":     {"CLOCK\tsim_time=1\nSELECT\twho=3\nLAUNCH\tparams={\nGO\n", "field params"},
		"invalid settings": {"CLOCK\tsim_time=1\nSELECT\twho=3\nLAUNCH\tparams=" +
			strings.Replace(params, `"cpus":2`, `"cpus":0`, 1) + "\nGO\n", "Cores"},
		"list of wrong length": {"CLOCK\tsim_time=1\nSELECT\twho=3\nLAUNCH\tparams=" +
			strings.Replace(params, `"cpus":2`, `"cpus":2,"worth_without":[1]`, 1) + "\nGO\n", "worth_without"},
	} {
		_, err := serve(t, c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one that contains %q", name, err, c.want)
		}
	}
}

func TestLongLinesAndBatches(t *testing.T) {
	var in strings.Builder
	in.WriteString(launch + "CLOCK\tsim_time=2000\nSELECT\twho=3\n")
	for range 20000 {
		in.WriteString("CANCELLED_BY_CLIENT\tcorr=gone\tpad=" + strings.Repeat("x", 200) + "\n")
	}
	in.WriteString("CANCELLED_BY_CLIENT\tcorr=gone\tpad=" + strings.Repeat("y", 3<<20) + "\nGO\n")
	if out, err := serve(t, in.String()); err != nil || strings.Count(out, "EOR\n") != 2 {
		t.Fatalf("error %v, want none and 2 replies", err)
	}
}

func TestPanicBecomesFault(t *testing.T) {
	s := newServer(strings.NewReader(""))
	s.instances[1] = &instance{} // without a shedder every event panics
	s.handleEvent(1, &decoder{message: message{name: "BLOCKED", fields: map[string]string{"corr": "a"}}})
	if got := s.out.String(); !strings.Contains(got, "FAULT\ttext=") || strings.Count(got, "\n") != 2 {
		t.Fatalf("output %q, want a CONTEXT line and a FAULT line", got)
	}
}

// FuzzServe searches for input that causes a panic or more replies than there are batches.
func FuzzServe(f *testing.F) {
	f.Add(launch)
	f.Add(launch + "CLOCK\tsim_time=2000\nSELECT\twho=3\nSUBMIT\tcorr=a\tclass=pay\tfootprint=1\trepeats=b\nGO\n")
	f.Add("CLOCK\tsim_time=\nGO\n")
	f.Add("CLOCK\tsim_time=9223372036854775807\nGO\n")
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		err := Serve(strings.NewReader(in), &out)
		if strings.Contains(out.String(), "FAULT") {
			t.Fatalf("a decision panicked: %s", out.String())
		}
		if err == nil && strings.Count(out.String(), "EOR\n") > strings.Count(in, "GO") {
			t.Fatal("more replies than batches")
		}
	})
}

// Serve handles 1500 instances in one batch. If the input ends within a batch, it returns an error and the output holds only complete
// replies.
func TestManyInstances(t *testing.T) {
	var in strings.Builder
	in.WriteString("CLOCK\tsim_time=1000\n")
	for i := range 1500 {
		fmt.Fprintf(&in, "SELECT\twho=%d\nLAUNCH\tsalt=%d\tparams=%s\n", i, i, params)
	}
	in.WriteString("GO\nCLOCK\tsim_time=2000\n")
	for i := range 1500 {
		fmt.Fprintf(&in, "SELECT\twho=%d\nSUBMIT\tcorr=%d\tclass=pay\tfootprint=2\tfrom=%d\n", i, i, i)
	}
	out, err := serve(t, in.String()+"GO\n")
	if err != nil || strings.Count(out, "EXECUTE\t") != 1500 || strings.Count(out, "EOR\n") != 2 {
		t.Errorf("error %v, %d runs started, want 1500 and 2 replies", err, strings.Count(out, "EXECUTE\t"))
	}
	out, err = serve(t, in.String())
	if err == nil || strings.Count(out, "EOR\n") != 1 || !strings.HasSuffix(out, "EOR\n") {
		t.Errorf("truncated batch: error %v, output ends with %q; want an error and one complete reply", err, out[max(0, len(out)-60):])
	}
}

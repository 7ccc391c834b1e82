package loadreport

import (
	"context"
	"io"
	"log"
	"math"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

func listen(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	return conn
}

func expect(t *testing.T, conn net.PacketConn, want string) {
	t.Helper()
	b := make([]byte, 100)
	size, _, err := conn.ReadFrom(b)
	if err != nil || string(b[:size]) != want {
		t.Fatalf("report %q, %v, want %q", b[:size], err, want)
	}
}

// Each report is one datagram with the health at that time. After Redirect the reports go to the new address, and after Stop they
// stop.
func TestRun(t *testing.T) {
	first, second := listen(t), listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	var n atomic.Int32
	r := New(first.LocalAddr().String(), "n3", func() bool { return n.Add(1) == 1 }, log.New(io.Discard, "", 0))
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	expect(t, first, "announce n3 true")
	expect(t, first, "announce n3 false")
	r.Redirect("")
	r.Redirect(second.LocalAddr().String())
	expect(t, second, "announce n3 false")
	r.Stop() // another process of the same name reports from here on
	_ = second.SetReadDeadline(time.Now().Add(3 * Interval))
	afterSilence := 0
	for b := make([]byte, 100); ; afterSilence++ {
		if _, _, err := second.ReadFrom(b); err != nil {
			break
		}
	}
	if afterSilence > 1 { // one report may have been in transit
		t.Errorf("%d reports after Silence, want at most 1", afterSilence)
	}
	cancel()
	<-done
}

// Opening the socket fails for the first reports, and again after Redirect. The Reporter must send as soon as a socket can be opened, and
// log the failure only once.
func TestNoSocketAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		r := New("a", "n3", func() bool { return true }, log.New(&out, "", 0))
		var got []string
		failuresLeft := 20
		r.dial = func(_, addr string) (net.Conn, error) {
			if failuresLeft--; failuresLeft >= 0 {
				return nil, syscall.EMFILE
			}
			near, far := net.Pipe()
			go func() {
				for b := make([]byte, 100); ; {
					n, err := far.Read(b)
					if err != nil {
						return
					}
					got = append(got, addr+": "+string(b[:n]))
				}
			}()
			return near, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		time.Sleep(20*Interval + Interval/2)
		synctest.Wait()
		if want := []string{"a: announce n3 true"}; !slices.Equal(got, want) || strings.Count(out.String(), "\n") != 1 {
			t.Fatalf("reports %q, log %q", got, out.String())
		}
		got, failuresLeft = nil, 1
		r.Redirect("b")
		time.Sleep(Interval)
		synctest.Wait()
		if want := []string{"b: announce n3 true"}; !slices.Equal(got, want) {
			t.Fatalf("reports after Redirect: %q", got)
		}
		cancel()
		<-done
	})
}

// The announce service expires an entry after 3 s without a report. With one report in four lost, no entry may expire in a month.
func TestIntervalOutlivesLoss(t *testing.T) {
	allLost := math.Pow(0.25, math.Floor(float64(3*time.Second-Interval)/float64(Interval)))
	if periods := 30 * 24 * time.Hour / (3 * time.Second); allLost*float64(periods) > 0.01 {
		t.Fatalf("interval %v is too long: an entry may expire within a month", Interval)
	}
}

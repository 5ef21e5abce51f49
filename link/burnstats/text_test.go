package burnstats

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/burn"
)

// sample returns a snapshot of two routes, one of them with a name that needs
// quoting.
func sample() burn.Snapshot {
	start := time.UnixMilli(1_790_000_000_250)
	r := burn.NewRecorder(start)
	for i, route := range []contract.RouteName{"read", `odd "{,}" name`} {
		r.Record(start.Add(time.Duration(i)*time.Hour), burn.Event{
			Key:    burn.Key{Route: route},
			Counts: burn.Counts{Asked: 3, Refused: 2, RateRefused: 1, Answered: 1, LateFirst: 1, LateGap: 1, PrefillTokens: 7000, WastedTokens: 5000},
		})
	}
	return r.Snapshot(start.Add(time.Hour), "gateway-1")
}

func TestTextRoundTrip(t *testing.T) {
	want := sample()
	var text bytes.Buffer
	text.WriteString("trefoil_requests_total{route=\"read\",outcome=\"answered\"} 1\n")
	WriteText(&text, want)
	file := filepath.Join(t.TempDir(), "metrics.txt")
	if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := (&Source{}).Read(context.Background(), file)
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

// TestMalformedText checks that incomplete or invalid text is an error.
func TestMalformedText(t *testing.T) {
	var whole bytes.Buffer
	WriteText(&whole, sample())
	for name, text := range map[string]string{
		"empty":          "",
		"other metrics":  "up 1\n",
		"no start":       MetricInstance + "{instance=\"g\"} 1\n",
		"invalid time":   MetricInstance + "{instance=\"g\"} soon\n",
		"negative count": whole.String() + MetricLevels + "{route=\"r\",window=\"5m0s\",count=\"asked\"} -1\n",
		"unknown window": whole.String() + MetricLevels + "{route=\"r\",window=\"7m0s\",count=\"asked\"} 1\n",
		"unknown count":  whole.String() + MetricLevels + "{route=\"r\",window=\"5m0s\",count=\"asks\"} 1\n",
	} {
		if s, err := DecodeText(strings.NewReader(text)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %+v, %v", name, s, err)
		}
	}
}

func FuzzDecodeText(f *testing.F) {
	var whole bytes.Buffer
	WriteText(&whole, sample())
	f.Add(whole.String())
	f.Add("a{b=\"c")
	f.Add("a{b} 1\n{\"} 1")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := DecodeText(strings.NewReader(text))
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Error(err)
		}
		if err == nil && s.At.IsZero() {
			t.Errorf("accepted %+v", s)
		}
	})
}

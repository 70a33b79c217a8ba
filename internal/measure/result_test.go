package measure

import (
	"slices"
	"testing"
	"time"
)

// course builds samples of two teams from their tokens and waiting requests.
func course(a, b, waitingA, waitingB []int) []sample {
	var out []sample
	for i := range a {
		out = append(out, sample{
			at:      time.Duration(i) * samplePeriod,
			tokens:  map[string]int64{"a": int64(a[i]), "b": int64(b[i])},
			waiting: map[string]int{"a": waitingA[i], "b": waitingB[i]},
		})
	}
	return out
}

// TestPairGap checks that only time in which both teams wait counts, and weights do.
func TestPairGap(t *testing.T) {
	ones := []int{1, 1, 1, 1}
	tests := []struct {
		name                     string
		a, b, waitingA, waitingB []int
		weightA                  float64
		want                     float64
	}{
		{"equal", []int{0, 10, 20, 30}, []int{0, 10, 20, 30}, ones, ones, 1, 0},
		{"one ahead", []int{0, 10, 20, 30}, []int{0, 0, 0, 0}, ones, ones, 1, 30},
		{"weighted", []int{0, 40, 80, 120}, []int{0, 10, 20, 30}, ones, ones, 4, 0},
		{"idle for a while", []int{0, 10, 20, 30}, []int{0, 0, 0, 0}, ones, []int{1, 1, 0, 1}, 1, 10},
		{"ahead, then behind", []int{0, 10, 10, 10}, []int{0, 0, 10, 25}, ones, ones, 1, 25},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, _ := pairGap(course(tt.a, tt.b, tt.waitingA, tt.waitingB), "a", "b", tt.weightA, 1)
			if got != tt.want {
				t.Fatalf("gap %v, want %v", got, tt.want)
			}
		})
	}
}

// TestArrivalsRepeat checks that a seed fixes the load.
func TestArrivalsRepeat(t *testing.T) {
	for _, s := range Sites() {
		for _, sc := range Scenarios(4 * time.Second) {
			first := Arrivals(sc.Traffic(s), 4*time.Second, 1)
			if !slices.Equal(first, Arrivals(sc.Traffic(s), 4*time.Second, 1)) {
				t.Fatalf("%s at %s differs under one seed", sc.Name, s.Name())
			}
			if len(first) == 0 {
				t.Fatalf("%s at %s has no requests", sc.Name, s.Name())
			}
		}
	}
}

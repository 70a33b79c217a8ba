package readshare_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/readshare"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestReaders simulates routers that exchange the age of what they read, and stops the readers after a while. The
// content known at any router must never be older than maxAge, with few reads in total.
func TestReaders(t *testing.T) {
	const (
		routers  = 28
		exchange = 300
		maxAge   = 1500
	)
	o := readshare.Options{Readers: 2, Interval: 700, MaxAge: 1000, Stagger: 100}
	schedules := make([]*readshare.Schedule, routers)
	known := make([]clock.Millis, routers)
	for i := range schedules {
		schedules[i] = readshare.New(o)
		schedules[i].SetRank(i)
	}
	reads := 0
	lost := func(i int, now clock.Millis) bool { return i < 4 && now > 10_000 }
	for now := clock.Millis(1); now < 20_000; now += 10 {
		for i, s := range schedules {
			if lost(i, now) {
				continue
			}
			if s.Wait(now) == 0 {
				s.Started(now)
				s.Succeeded(now)
				known[i] = now
				reads++
			}
			if int(now)%exchange == i*10+1 {
				age, ok := s.Age(now)
				for j, other := range schedules {
					if ok && j != i && !lost(j, now) {
						other.Confirmed(now, age)
						known[j] = max(known[j], now-age)
					}
				}
			}
			if now > 1000 && now-known[i] > maxAge {
				t.Fatalf("at %d ms router %d holds content that is %d ms old", now, i, now-known[i])
			}
		}
	}
	if unshared := routers * 20_000 / 700; reads*5 > unshared {
		t.Errorf("%d reads, want at most a fifth of the %d without sharing", reads, unshared)
	}
}

package state

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	controlv1 "ebonyreel/proto/control/v1"
)

// isolatedLapse is how long an isolated run may last before another may take
// its place, as its agent may have ended with it.
const isolatedLapse = 10 * time.Minute

// maxStruck bounds the contents whose crashes are remembered.
const maxStruck = 10_000

func strikePrefix(environment string) string {
	return environment + "/Strikes/"
}

// addStrikes changes what is known of contents that were in flight at crashes.
// Every change may be repeated; a repeated count only makes it larger.
func (s *State) addStrikes(now time.Time, r *controlv1.AddStrikesRequest) (proto.Message, error) {
	s.forgive(now, r.GetEnvironment())
	out := &controlv1.AddStrikesResponse{}
	for _, digest := range r.GetContentDigests() {
		key := strikePrefix(r.GetEnvironment()) + digest
		old := s.items[key].GetStrikes()
		next := strike(now, old, r)
		if next == nil {
			if old != nil {
				s.withdraw(key)
			}
			continue
		}
		next.Environment, next.ContentDigest, next.UpdatedAt = r.GetEnvironment(), digest, timestamppb.New(now)
		s.publish(key, &controlv1.Item{Value: &controlv1.Item_Strikes{Strikes: next}})
		out.Strikes = append(out.Strikes, next)
	}
	return out, nil
}

// strike returns the strikes of a content after a change, or nil where they
// are forgotten. Only the owner of an isolated run may end it.
func strike(now time.Time, old *controlv1.Strikes, r *controlv1.AddStrikesRequest) *controlv1.Strikes {
	next := &controlv1.Strikes{Count: old.GetCount(), IsolatedRun: old.GetIsolatedRun(), Condemned: old.GetCondemned()}
	owns := old.GetIsolatedRun() == r.GetOwner()
	switch r.GetChange() {
	case controlv1.StrikeChange_STRIKE_CHANGE_ISOLATE:
		free := old.GetIsolatedRun() == "" || before(old.GetUpdatedAt().AsTime(), now, isolatedLapse)
		if free && !old.GetCondemned() {
			next.IsolatedRun = r.GetOwner()
		}
	case controlv1.StrikeChange_STRIKE_CHANGE_RETURN:
		if owns {
			next.IsolatedRun = ""
		}
	case controlv1.StrikeChange_STRIKE_CHANGE_CLEAR:
		if owns {
			return nil
		}
	case controlv1.StrikeChange_STRIKE_CHANGE_CONDEMN:
		next.Condemned = true
		next.Count++
	default:
		next.Count++
	}
	if next.Count == 0 && next.IsolatedRun == "" {
		return nil
	}
	return next
}

// forgive drops the strikes that are older than the retention, and the oldest
// ones beyond the bound.
func (s *State) forgive(now time.Time, environment string) {
	keep := s.retention(environment)
	items, _ := s.List(Range{Prefix: strikePrefix(environment)})
	var oldest *controlv1.Strikes
	for _, it := range items {
		k := it.GetStrikes()
		if before(k.GetUpdatedAt().AsTime(), now, time.Duration(keep.Strikes)) {
			s.withdraw(it.GetKey())
			continue
		}
		if oldest == nil || k.GetUpdatedAt().AsTime().Before(oldest.GetUpdatedAt().AsTime()) {
			oldest = k
		}
	}
	if len(items) >= maxStruck && oldest != nil {
		s.withdraw(strings.Join([]string{strikePrefix(environment), oldest.GetContentDigest()}, ""))
	}
}

package state

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	controlv1 "ebonyreel/proto/control/v1"
)

// maxStruck bounds the contents whose crashes are remembered.
const maxStruck = 10_000

func strikePrefix(environment string) string {
	return environment + "/Strikes/"
}

// addStrikes counts a crash against each content that was in flight.
func (s *State) addStrikes(now time.Time, r *controlv1.AddStrikesRequest) (proto.Message, error) {
	s.forgive(now, r.GetEnvironment())
	out := &controlv1.AddStrikesResponse{}
	for _, digest := range r.GetContentDigests() {
		key := strikePrefix(r.GetEnvironment()) + digest
		old := s.items[key].GetStrikes()
		next := &controlv1.Strikes{
			Environment:   r.GetEnvironment(),
			ContentDigest: digest,
			Count:         old.GetCount() + 1,
			UpdatedAt:     timestamppb.New(now),
		}
		s.publish(key, &controlv1.Item{Value: &controlv1.Item_Strikes{Strikes: next}})
		out.Strikes = append(out.Strikes, next)
	}
	return out, nil
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

package state

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	controlv1 "ebonyreel/proto/control/v1"
)

// isolatedRunTimeout is how long an isolated run may last before another one may
// replace it, as its agent may have ended during the run.
const isolatedRunTimeout = 10 * time.Minute

// maxStrikeRecords bounds the strike records in one environment.
const maxStrikeRecords = 10_000

func strikePrefix(environment string) string {
	return environment + "/Strikes/"
}

// addStrikes changes the strikes of contents that were in flight at a crash, and
// returns the strikes that remain. Every change may be repeated; repeating a
// counted crash only increases the count.
func (s *State) addStrikes(now time.Time, r *controlv1.AddStrikesRequest) (proto.Message, error) {
	s.pruneStrikes(now, r.GetEnvironment())
	out := &controlv1.AddStrikesResponse{}
	if r.GetChange() == controlv1.StrikeChange_STRIKE_CHANGE_TRY && !s.mayTryAll(now, r) {
		return out, nil
	}
	for _, digest := range r.GetContentDigests() {
		key := strikePrefix(r.GetEnvironment()) + digest
		old := s.items[key].GetStrikes()
		next := applyStrikeChange(now, old, digest, r)
		if next == old && old != nil {
			out.Strikes = append(out.Strikes, old)
			continue
		}
		if next == nil {
			if old != nil {
				s.unpublish(key)
			}
			continue
		}
		next.Environment, next.ContentDigest, next.UpdatedAt = r.GetEnvironment(), digest, timestamppb.New(now)
		s.publish(key, &controlv1.Item{Value: &controlv1.Item_Strikes{Strikes: next}})
		out.Strikes = append(out.Strikes, next)
	}
	return out, nil
}

// applyStrikeChange returns the strikes of a content after a change, or nil if
// they are to be deleted. Only the owner of an isolated run may end it.
func applyStrikeChange(now time.Time, old *controlv1.Strikes, digest string, r *controlv1.AddStrikesRequest) *controlv1.Strikes {
	next := copyPartStrikes(old)
	next.Condemned, next.Sound = old.GetCondemned(), old.GetSound()
	ownsRun := old.GetIsolatedRun() == r.GetOwner()
	switch r.GetChange() {
	case controlv1.StrikeChange_STRIKE_CHANGE_ISOLATE:
		runAvailable := old.GetIsolatedRun() == "" || olderThan(old.GetUpdatedAt().AsTime(), now, isolatedRunTimeout)
		if runAvailable && !old.GetCondemned() {
			next.IsolatedRun = r.GetOwner()
		}
	case controlv1.StrikeChange_STRIKE_CHANGE_RETURN:
		if ownsRun {
			next.IsolatedRun = ""
		}
	case controlv1.StrikeChange_STRIKE_CHANGE_CLEAR:
		if ownsRun {
			return nil
		}
	case controlv1.StrikeChange_STRIKE_CHANGE_ADD_PARTS:
		return addPartCrash(now, old, digest, r)
	case controlv1.StrikeChange_STRIKE_CHANGE_TRY:
		return beginTrial(now, old, r.GetOwner())
	case controlv1.StrikeChange_STRIKE_CHANGE_FAIL:
		if !ownsRun || old == nil {
			return old
		}
		return failTrial(now, old)
	case controlv1.StrikeChange_STRIKE_CHANGE_EXONERATE:
		if old == nil {
			return nil
		}
		return &controlv1.Strikes{Sound: true}
	case controlv1.StrikeChange_STRIKE_CHANGE_CONDEMN:
		next.Condemned = true
		next.Count++
	default:
		next.Count++
	}
	if next.Count == 0 && next.IsolatedRun == "" && !next.Sound {
		return nil
	}
	return next
}

// pruneStrikes deletes the strike records that are older than the retention, and
// the oldest of the others if there were maxStrikeRecords or more.
func (s *State) pruneStrikes(now time.Time, environment string) {
	retention := s.retention(environment)
	items, _ := s.List(Range{Prefix: strikePrefix(environment)})
	var oldest *controlv1.Strikes
	for _, it := range items {
		k := it.GetStrikes()
		if olderThan(k.GetUpdatedAt().AsTime(), now, time.Duration(retention.Strikes)) {
			s.unpublish(it.GetKey())
			continue
		}
		if oldest == nil || k.GetUpdatedAt().AsTime().Before(oldest.GetUpdatedAt().AsTime()) {
			oldest = k
		}
	}
	if len(items) >= maxStrikeRecords && oldest != nil {
		s.unpublish(strings.Join([]string{strikePrefix(environment), oldest.GetContentDigest()}, ""))
	}
}

package router

import "math"

// headroom is the factor by which requests on a target may exceed its slots, so
// that a request is already queued there when a slot becomes free.
const headroom = 1.25

// window returns how many requests this entry may have on the target: an even
// share of the slots, or what it had when the last new count of running requests
// was applied plus a share of the slots that are free by the last report,
// whichever is more. headroom is included in the slots. The report lags, and all
// entries route by the same one. Each entry therefore assumes that others use
// their shares too; otherwise they would overfill the target together.
//
// On a full target an entry may have only its even share, which is zero if there
// are more entries than slots. With one request from every entry, on top of those
// already there, the target would answer no request in time.
func (t *Target) window(info *TargetInfo, q *Query) int64 {
	entries := max(1, q.Entries)

	if _, ok := t.brittle.stated(); ok {
		return t.brittleWindow(info, entries)
	}

	slots := int(float64(max(1, info.Slots))*headroom + 0.5)
	free := slots - info.Running - info.Waiting

	evenShare := 0
	if slots >= entries {
		evenShare = (slots + entries - 1) / entries
	}

	if free <= 0 {
		return int64(evenShare)
	}

	share := max(t.shareOfFree(free, entries, competitors(info, entries, q.Waiting)), t.shareByLoad(info, free, entries))

	return max(int64(evenShare), t.inFlightAtCount.Load()+share)
}

// typicalCount is the number of requests that are added to those of a count, spread evenly
// over the entries, so that a few requests do not decide who gets a target's free slots.
const typicalCount = 8

// shareByLoad returns this entry's share of a target's free slots by where the clients are:
// half of the slots are divided evenly, and half in proportion to the requests that entries
// had on the target by the last count. Requests that the count does not include say nothing.
//
// Without it, an entry that gets most of a site's connections has no more slots than one
// that gets none, and refuses clients although targets have room.
func (t *Target) shareByLoad(info *TargetInfo, free, entries int) int64 {
	even := 1 / float64(entries)
	counted := min(float64(t.inFlightAtCount.Load()), float64(info.Running))
	own := (counted + typicalCount*even) / (float64(info.Running) + typicalCount)

	return int64(float64(free) * (even + own) / 2) //nolint:mnd // The two halves.
}

// maxCompetitors is the number of entries that are assumed to send to the same
// target before the next report while no request is queued on this entry, unless
// there are fewer entries. Between two reports a busy target gets requests from a
// few entries, however many entries there are. If requests are queued here and
// the report states how many entries have queued requests, maxCompetitors is the
// lower bound of that number.
//
// If each of many entries assumed that all others use their shares of a target's
// slots, it could have one request there at a time, and a second request would
// wait although the target is nearly empty.
const maxCompetitors = 8

// competitors returns how many entries, including this one, are assumed to send
// to the target before the next report. If requests are queued here, they are
// assumed to be queued on other entries as well: on as many as the report states
// but at least maxCompetitors, or on all entries if the report states none. There
// are never more competitors than entries.
//
// Without the reported number, a single client of a rare model on a site with
// many entries would wait for seconds although the freshly loaded target is
// empty, because every entry would be assumed to have queued requests for it.
func competitors(info *TargetInfo, entries, waiting int) int {
	switch {
	case waiting == 0:
		return min(entries, maxCompetitors)
	case info.WaitingEntries > 0:
		return min(entries, max(maxCompetitors, info.WaitingEntries))
	default:
		return entries
	}
}

// shareOfFree returns this entry's share of a target's free slots, for which
// competing entries compete. With at most maxCompetitors entries, the slots are
// divided by entries and rounded down. With more, they are divided by competing,
// and the share is rounded up or down by a random number that is drawn with each
// new count of running requests, so that chance distributes the remainder of the
// division.
func (t *Target) shareOfFree(free, entries, competing int) int64 {
	if entries <= maxCompetitors {
		return int64(free / entries)
	}

	return int64(float64(free)/float64(competing) + math.Float64frombits(t.remainderDraw.Load()))
}

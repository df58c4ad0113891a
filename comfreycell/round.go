package comfreycell

import "time"

const (
	// placementLinkShare is the part of the own link that placements may use. What a
	// gateway sends to callers and replicas waits in the same queue.
	placementLinkShare = 0.25
	// maxReceivedRate is the largest rate, in bytes a second, at which a gateway
	// receives placements if all others send as many as they may: half of a link of
	// 10 Mbit/s, since the links of receivers are not known.
	maxReceivedRate = 625e3
)

// RoundTime returns over how much time a gateway sends its placements, given their size in
// bytes, the number of receivers, and the bandwidth of its link in bytes a second, which is
// zero if it is not known.
//
// It is built for this load: most gateways of a data centre restart, and those that are left
// have their callers and tell each change of many generations to the whole cell. Requests and
// responses wait in the same queue of the link.
func RoundTime(size, receivers int, linkBytesPerSecond float64) time.Duration {
	rate := float64(maxReceivedRate)
	if linkBytesPerSecond > 0 {
		rate = min(rate, placementLinkShare*linkBytesPerSecond)
	}
	// Each receiver has as many senders.
	return time.Duration(float64(size*receivers) / rate * float64(time.Second))
}

package direct

import (
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/ingress"
)

// ingressCounts are the counts of the account that were logged last, by kind.
type ingressCounts map[ingress.Kind]ingress.Counts

// log logs the kinds for which memory was lacking since the last call. It is called once a second, which bounds the lines.
func (last ingressCounts) log(a *ingress.Account, logger *event.Logger) {
	for _, k := range ingress.Kinds() {
		n := a.Counts(k)
		if n == last[k] {
			continue
		}
		used, limit := a.Used(k)
		logger.Log(event.CallersMemoryFull, "kind", k, "evicted", n.Evicted-last[k].Evicted,
			"refused", n.Refused-last[k].Refused, "bytes", used, "limit", limit)
		last[k] = n
	}
}

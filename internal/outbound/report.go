package outbound

import (
	"encoding/json"
	"math"

	"ledgespread/internal/counters"
)

// fieldAliases maps the field names of the settings to other names that servers may use for them.
var fieldAliases = map[string]string{"concurrent": "inflight", "depth": "queue", "load_share": "util", "mean_ms": "latency_ms",
	"tps": "qps", "err_ps": "eps"}

// parseReport parses a server's load report. One that can't be parsed is counted and ignored as a whole: the
// answer is still used, and no decision is based on a partial report.
func (o *Outbound) parseReport(text []byte) (load []float64) {
	fields := *o.loadFields.Load()
	var values map[string]float64
	if json.Unmarshal(text, &values) == nil {
		for _, field := range fields {
			value, found := values[field]
			if !found {
				value, found = values[fieldAliases[field]]
			}
			if !found || !(value >= 0) || math.IsInf(value, 0) {
				break
			}
			load = append(load, value)
		}
	}
	if len(load) < len(fields) {
		o.counts.Add(counters.LoadReportsMalformed)
		return nil
	}
	o.counts.Add(counters.LoadReportsRead)
	return load
}

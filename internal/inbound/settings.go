package inbound

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/site"
)

// requestRules are the settings by which requests are validated and classified. They are immutable: new
// settings replace them as a whole. A class is numbered by its place in the settings' list of path prefixes.
type requestRules struct {
	classes   map[string]int // by path prefix
	accounts  []int          // by class, its index in Inbound.accounts
	needsKey  map[int]bool   // classes whose requests need an Idempotency-Key
	readOnly  map[int]bool   // classes whose requests are GET; all others are POST
	tenantIDs map[string]int // by name; empty if the settings have no tenants
}

// loadRules makes a manifest's settings the rules for new requests. longestTimeout never decreases, since
// requests in progress may have the former longest timeout.
func (in *Inbound) loadRules(manifest *site.Manifest) {
	rules := &requestRules{classes: manifest.IndexesByName("path_prefixes"), tenantIDs: manifest.IndexesByName("realms"), needsKey: map[int]bool{}, readOnly: map[int]bool{}}
	var names []string
	for i := range int(manifest.Number("path_prefixes")) {
		key := "path_prefixes." + strconv.Itoa(i)
		name, _ := manifest.Settings[key+".name"].(string)
		names = append(names, name)
		rules.needsKey[i], rules.readOnly[i] = manifest.Settings[key+".effect"] == "tagged", manifest.Settings[key+".effect"] == "read_like"
	}
	rules.accounts = in.accounts.AddClasses(names)
	shortest, longest := manifest.ClientTimeouts()
	in.longestTimeout.Store(max(in.longestTimeout.Load(), int64(longest)))
	tick := int64(min(time.Duration(shortest)*time.Microsecond/watchDelayDivisor, maxWatchDelay) / 2)
	in.ticker.intervalNanos.Store(tick)
	in.uploadTicker.intervalNanos.Store(uploadTicks * tick)
	in.rules.Store(rules)
}

// UpdateSettings applies the settings of a new manifest. updateRelay applies them to the relay; its error is
// returned, and then nothing changes here. No request is handed over in the meantime, so the same settings
// validate a request here and balance it in the relay.
func (in *Inbound) UpdateSettings(manifest *site.Manifest, updateRelay func() error) error {
	in.settingsMu.Lock()
	defer in.settingsMu.Unlock()
	if err := updateRelay(); err != nil {
		return err
	}
	in.loadRules(manifest)
	return nil
}

// dispatch hands a request to the relay and returns the function that counts its end. If the settings have
// changed while the request's body was received, the request is classified again; endRequest is nil if it is
// invalid now, and status and reason say why.
func (in *Inbound) dispatch(ctx *fasthttp.RequestCtx, msg *message, request *exchange.Exchange) (endRequest func(int), status int, reason string) {
	in.settingsMu.RLock()
	defer in.settingsMu.RUnlock()
	if rules := in.rules.Load(); rules != msg.rules {
		if request.Class, request.Tenant, status, reason = rules.classify(ctx, msg); status != 0 {
			return nil, status, reason
		}
		msg.rules = rules
	}
	in.counts.Add(counters.RequestsAccepted)
	endRequest = in.accounts.Begin(msg.rules.accounts[request.Class])
	in.requests.HandleRequest(request)
	return endRequest, 0, ""
}

// classify returns the class and the tenant of a request. For an invalid request it returns an HTTP status
// and a reason; status is 0 otherwise.
func (r *requestRules) classify(ctx *fasthttp.RequestCtx, msg *message) (class brain.ClassID, tenant brain.TenantID, status int, reason string) {
	invalid := func(status int, reason string) (brain.ClassID, brain.TenantID, int, string) {
		return 0, 0, status, reason
	}
	path, _, _ := bytes.Cut(msg.target[1:], []byte("?"))
	segment, _, _ := bytes.Cut(path, []byte("/"))
	prefix := unescapeSegment(string(segment))
	classIndex, known := r.classes[prefix]
	if !known {
		return invalid(fasthttp.StatusNotFound, "unknown path prefix")
	}
	if named := msg.fields[fieldClass]; named != "" && named != string(segment) && named != prefix {
		return invalid(fasthttp.StatusBadRequest, "X-Priority-Class names another path prefix")
	}
	if ctx.IsGet() != r.readOnly[classIndex] || !ctx.IsGet() && !ctx.IsPost() {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, map[bool]string{true: "GET", false: "POST"}[r.readOnly[classIndex]])
		return invalid(fasthttp.StatusMethodNotAllowed, "the path prefix has another method")
	}
	if msg.fields[fieldRequestID] == "" {
		return invalid(fasthttp.StatusBadRequest, "X-Request-ID is missing")
	}
	if r.needsKey[classIndex] && msg.fields[fieldIdempotencyKey] == "" {
		return invalid(fasthttp.StatusBadRequest, "Idempotency-Key is missing")
	}
	if _, ok := parseTimeout(msg.fields[fieldTimeout]); !ok {
		return invalid(fasthttp.StatusBadRequest, "X-Timeout is missing or malformed")
	}
	tenantIndex, known := r.tenantIDs[msg.fields[fieldTenant]]
	if !known && len(r.tenantIDs) > 0 {
		return invalid(fasthttp.StatusBadRequest, "unknown tenant")
	}
	return brain.ClassID(classIndex), brain.TenantID(tenantIndex), 0, ""
}

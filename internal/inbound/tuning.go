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

// said is what the settings say of requests that come. It doesn't change: new settings make a new one.
type said struct {
	prefixes map[string]int
	accounts []int        // where each one's requests are booked, by place
	tagged   map[int]bool // classes whose requests carry a mark
	readLike map[int]bool
	realms   map[string]int
}

// reads has requests read by these settings from now on. Word of the longest client timeout stays: requests that are out may have it.
func (in *Inbound) reads(b *site.Manifest) {
	s := &said{prefixes: b.Places("path_prefixes"), realms: b.Places("realms"), tagged: map[int]bool{}, readLike: map[int]bool{}}
	var names []string
	for i := range int(b.Figure("path_prefixes")) {
		at := "path_prefixes." + strconv.Itoa(i)
		name, _ := b.Site[at+".name"].(string)
		names = append(names, name)
		s.tagged[i], s.readLike[i] = b.Site[at+".effect"] == "tagged", b.Site[at+".effect"] == "read_like"
	}
	s.accounts = in.accounts.Open(names)
	shortest, longest := b.Timeouts()
	in.longest.Store(max(in.longest.Load(), int64(longest)))
	in.ticks.every.Store(int64(min(time.Duration(shortest)*time.Microsecond/quickParts, lookBy) / 2))
	in.said.Store(s)
}

// Retune takes over new settings. module tells the module, and whether it took them; no request is handed over meanwhile, so each is
// read and decided by the same ones. An error is the module's, and changes nothing.
func (in *Inbound) Retune(b *site.Manifest, module func() error) error {
	in.taking.Lock()
	defer in.taking.Unlock()
	if err := module(); err != nil {
		return err
	}
	in.reads(b)
	return nil
}

// take gives a request to the module, read by the settings that the module has. Those may have changed while its body came: then it is
// looked at again, and ended is nil if it is none any more.
func (in *Inbound) take(ctx *fasthttp.RequestCtx, m *message, x *exchange.Exchange) (ended func(int), status int, fault string) {
	in.taking.RLock()
	defer in.taking.RUnlock()
	if now := in.said.Load(); now != m.by {
		if x.Class, x.Tenant, status, fault = now.place(ctx, m); status != 0 {
			return nil, status, fault
		}
		m.by = now
	}
	in.counts.Add(counters.VisitsTaken)
	ended = in.accounts.Take(m.by.accounts[x.Class])
	in.requests.Take(x)
	return ended, 0, ""
}

// place tells where a message belongs, or with which status it is refused and why.
func (s *said) place(ctx *fasthttp.RequestCtx, m *message) (on brain.ClassID, of brain.TenantID, status int, fault string) {
	bad := func(status int, fault string) (brain.ClassID, brain.TenantID, int, string) {
		return 0, 0, status, fault
	}
	path, _, _ := bytes.Cut(m.target[1:], []byte("?"))
	first, _, _ := bytes.Cut(path, []byte("/"))
	prefix := unescaped(string(first))
	at, known := s.prefixes[prefix]
	if !known {
		return bad(fasthttp.StatusNotFound, "unknown path prefix")
	}
	if named := m.field[fieldPrefix]; named != "" && named != string(first) && named != prefix {
		return bad(fasthttp.StatusBadRequest, "X-Priority-Class names another path prefix")
	}
	if ctx.IsGet() != s.readLike[at] || !ctx.IsGet() && !ctx.IsPost() {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, map[bool]string{true: "GET", false: "POST"}[s.readLike[at]])
		return bad(fasthttp.StatusMethodNotAllowed, "the path prefix has another method")
	}
	if m.field[fieldID] == "" {
		return bad(fasthttp.StatusBadRequest, "X-Request-ID is missing")
	}
	if s.tagged[at] && m.field[fieldTag] == "" {
		return bad(fasthttp.StatusBadRequest, "Idempotency-Key is missing")
	}
	if _, ok := span(m.field[fieldTimeout]); !ok {
		return bad(fasthttp.StatusBadRequest, "X-Timeout is missing or malformed")
	}
	tenant, known := s.realms[m.field[fieldTenant]]
	if !known && len(s.realms) > 0 {
		return bad(fasthttp.StatusBadRequest, "unknown tenant")
	}
	return brain.ClassID(at), brain.TenantID(tenant), 0, ""
}

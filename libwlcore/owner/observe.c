/* Outcomes of work on targets: failures, latency and slowdown. */

#include "internal.h"

#define EWMA_DIVISOR	     8	  /* a new sample has the weight 1/8 in moving averages */
#define BASE_RISE_DIVISOR    1024 /* of the rise of the lowest average towards new ones */
#define MAX_PERMILLE	     100000
#define NO_SLOWDOWN_PERMILLE 1000

static uint64_t average(uint64_t before, uint64_t sample)
{
	if (before == 0)
		return sample;
	return before - before / EWMA_DIVISOR + sample / EWMA_DIVISOR;
}

/*
 * wl_owned_record_outcome - record whether a piece of work on a target succeeded
 * @kind: of the task, or service of the request
 */
void wl_owned_record_outcome(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned, wl_str_t kind,
			     bool ok)
{
	wl_owner_t *owner = ctx->owner;
	wl_kind_t *row = wl_kinds_get(&owner->kinds, kind);
	bool probing = owned->health.probing;

	if (!wl_health_record(&owned->health, row, owned->key, ok, ctx->now_ns, &owner->rng)) {
		if (probing != owned->health.probing)
			wl_owned_sync_ledger(ctx, owned);
		return;
	}
	wl_out_log(ctx->out, WL_WARN, "target-aside", "target=" WL_STR_FMT " pauses=%llu",
		   WL_STR_ARG(owned->key), (unsigned long long)owned->health.quarantines);
	wl_metrics_add(owner->options.metrics, "wisterialead_asides_total", "", 1);
	wl_owned_handle_event(ctx, owned, WL_TARGET_FAIL);
}

/* Averages are compared, as single latencies vary with what the requests ask for. */
static void record_latency(wl_owned_target_t *owned, wl_kind_t *kind, uint64_t took_ns)
{
	uint64_t latency_ns = average(owned->target->latency_ns, took_ns);
	uint64_t slowdown;

	owned->target->latency_ns = latency_ns;
	if (kind->base_latency_ns == 0 || latency_ns < kind->base_latency_ns)
		kind->base_latency_ns = latency_ns ? latency_ns : 1;
	else
		kind->base_latency_ns += (latency_ns - kind->base_latency_ns) / BASE_RISE_DIVISOR;
	slowdown = latency_ns / (kind->base_latency_ns / NO_SLOWDOWN_PERMILLE + 1);
	if (slowdown < NO_SLOWDOWN_PERMILLE)
		slowdown = NO_SLOWDOWN_PERMILLE;
	owned->request_slowdown_permille = slowdown < MAX_PERMILLE ? slowdown : MAX_PERMILLE;
}

/*
 * wl_owner_record_request - record the outcome of a request on a target
 * @service: of the request
 * @ok: whether the answer is one that a working target gives
 * @took_ns: from sending the request to the end of its answer
 */
void wl_owner_record_request(wl_owner_t *owner, wl_target_t *target, wl_str_t service, bool ok,
			     uint64_t took_ns, uint64_t now_ns, wl_out_t *out)
{
	wl_owner_ctx_t ctx = {owner, now_ns, out};
	wl_owned_target_t *owned = wl_owner_find(owner, target->key);

	if (!owned)
		return;
	owned->last_request_ns = now_ns;
	if (!wl_str_equal(service, wl_buf_str(&owned->last_service)))
		wl_buf_set(&owned->last_service, service);
	if (ok)
		record_latency(owned, wl_kinds_get(&owner->kinds, service), took_ns);
	wl_owned_record_outcome(&ctx, owned, service, ok);
}

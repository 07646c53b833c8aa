/* Orders to targets: sent with the leader's epoch, matched with their answers. */

#include "internal.h"

#include <stdlib.h>

/*
 * wl_sched_order - send an order
 * @order: kind, and what is particular to it; the rest is filled in here
 * @run: the run that it concerns; NULL: all of the target's
 */
void wl_sched_order(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
		    wl_order_t *order, const wl_sched_run_t *run, wl_out_t *out)
{
	wl_sched_call_t *call = wl_alloc(sizeof(*call));
	wl_fetch_t *fetch = &wl_out_add(out, WL_ACTION_FETCH)->fetch;

	call->id = WL_PART_ID(WL_PART_SCHED, sched->next_id++);
	call->key = (wl_str_t){(const char *)&call->id, sizeof(call->id)};
	call->kind = order->kind;
	call->life = runner->state->report.life;
	call->percent = order->percent;
	call->sent_ns = now_ns;
	call->lease_ms = order->lease_ms;
	wl_buf_set(&call->runner, runner->key);
	if (run)
		wl_buf_set(&call->run, run->key);
	wl_map_put(&sched->by_call, call);
	TAILQ_INSERT_TAIL(&sched->calls, call, link);

	order->runner = runner->key;
	order->address = wl_buf_str(&runner->state->report.address);
	order->epoch = sched->epoch;
	if (order->lease_ms > runner->lease_until_ms)
		runner->lease_until_ms = order->lease_ms;
	fetch->id = call->id;
	sched->options.dialect->order_write(order, fetch);
	if (order->kind == WL_ORDER_HOLD)
		runner->hold_id = call->id;
}

static void call_drop(wl_sched_t *sched, wl_sched_call_t *call)
{
	wl_map_remove(&sched->by_call, call->key);
	TAILQ_REMOVE(&sched->calls, call, link);
	wl_buf_free(&call->runner);
	wl_buf_free(&call->run);
	free(call);
}

/*
 * wl_sched_calls_clear - forget the orders under way; their answers are passed over
 */
void wl_sched_calls_clear(wl_sched_t *sched)
{
	while (!TAILQ_EMPTY(&sched->calls))
		call_drop(sched, TAILQ_FIRST(&sched->calls));
}

static void runner_answered(wl_sched_runner_t *runner, uint64_t now_ns, const wl_order_end_t *end)
{
	if (end->outcome == WL_ORDER_NO_ANSWER || end->outcome == WL_ORDER_NOT_SENT ||
	    end->outcome == WL_ORDER_OTHER_LIFE) /* of another target, with a clock of its own */
		return;
	runner->answered_ns = now_ns;
	if (!end->has_clock || end->clock_ms < runner->clock_ms)
		return;
	runner->clock_ms = end->clock_ms;
	runner->clock_ns = now_ns;
}

static void lease_answered(wl_sched_runner_t *runner, const wl_sched_call_t *call,
			   const wl_order_end_t *end)
{
	if (end->outcome == WL_ORDER_DONE && call->lease_ms > runner->lease_held_ms)
		runner->lease_held_ms = call->lease_ms;
}

/*
 * wl_sched_fetched - an order has ended
 */
void wl_sched_fetched(wl_sched_t *sched, uint64_t now_ns, const wl_fetched_t *fetched,
		      wl_out_t *out)
{
	wl_str_t key = {(const char *)&fetched->id, sizeof(fetched->id)};
	wl_sched_call_t *call = wl_map_get(&sched->by_call, key);
	wl_sched_runner_t *runner;
	wl_order_end_t end;
	wl_err_t err;

	if (!call)
		return;
	if (!sched->options.dialect->order_read(call->kind, fetched, &end, &err))
		wl_out_log(out, WL_WARN, "order-answer-bad", "target=%s reason=\"%s\"",
			   call->runner.at, err.text);
	runner = wl_sched_runner_find(sched, wl_buf_str(&call->runner));
	wl_sched_order_measure(sched, call->kind, end.outcome, now_ns - call->sent_ns);
	if (runner) {
		runner_answered(runner, now_ns, &end);
		lease_answered(runner, call, &end);
		if (call->kind == WL_ORDER_HOLD)
			wl_sched_hold_answered(sched, now_ns, runner, call, &end, out);
		else
			wl_sched_run_answered(sched, now_ns, call, &end, out);
	}
	wl_order_end_free(&end);
	call_drop(sched, call);
}

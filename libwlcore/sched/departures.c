/*
 * Departures of targets, which wait for the answer of a renewal in flight.
 *
 * A departure ends all runs of the target.  A target that leaves when its last run has ended lists
 * that end in its last answer, which passes through an agent and may arrive after the departure.
 */

#include "internal.h"

#include <stdlib.h>

/* Above the delay that an agent adds, and below the time-out of the target's call. */
#define DEPARTURE_WAIT_MS 500

struct wl_sched_departure {
	wl_buf_t peer; /* daemon that waits for the result */
	uint64_t call;
	wl_cmd_t cmd; /* WL_CMD_RUNNER_PUT of the target */
	uint64_t until_ns;
	TAILQ_ENTRY(wl_sched_departure) link;
};

static void departure_remove(wl_sched_t *sched, wl_sched_departure_t *departure)
{
	TAILQ_REMOVE(&sched->departures, departure, link);
	wl_buf_free(&departure->peer);
	wl_cmd_free(&departure->cmd);
	free(departure);
}

/*
 * wl_sched_departures_clear - release all departures; their calls are not answered
 */
void wl_sched_departures_clear(wl_sched_t *sched)
{
	wl_sched_departure_t *departure = TAILQ_FIRST(&sched->departures);

	while (departure) {
		wl_sched_departure_t *next = TAILQ_NEXT(departure, link);

		departure_remove(sched, departure);
		departure = next;
	}
}

static bool answer_pending(const wl_sched_t *sched, const wl_cmd_t *cmd)
{
	const wl_sched_runner_t *runner =
		wl_sched_runner_find(sched, wl_buf_str(&cmd->u.runner_put.id));

	return runner && runner->renewal_id && !TAILQ_EMPTY(&runner->runs);
}

/*
 * wl_sched_departure_defer - keep a departure until the renewal in flight is answered
 * @cmd: moved from on success
 *
 * Return: false if there is nothing to wait for.
 */
bool wl_sched_departure_defer(wl_sched_t *sched, uint64_t now_ns, wl_str_t peer, uint64_t call,
			      wl_cmd_t *cmd)
{
	wl_sched_departure_t *departure;

	if (!cmd->u.runner_put.exiting || !answer_pending(sched, cmd))
		return false;
	departure = wl_alloc(sizeof(*departure));
	wl_buf_set(&departure->peer, peer);
	departure->call = call;
	departure->cmd = *cmd;
	*cmd = (wl_cmd_t){0};
	departure->until_ns = now_ns + DEPARTURE_WAIT_MS * WL_NS_PER_MS;
	TAILQ_INSERT_TAIL(&sched->departures, departure, link);
	return true;
}

/*
 * wl_sched_departures_propose - propose the departures that need not wait any longer
 *
 * Must be called after the event's results were processed, so that the ends of runs that a
 * renewal has brought are proposed before.
 */
void wl_sched_departures_propose(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_sched_departure_t *departure = TAILQ_FIRST(&sched->departures);

	while (departure) {
		wl_sched_departure_t *next = TAILQ_NEXT(departure, link);

		if (now_ns >= departure->until_ns || !answer_pending(sched, &departure->cmd)) {
			wl_sched_command_propose(sched, now_ns, wl_buf_str(&departure->peer),
						 departure->call, &departure->cmd, out);
			departure_remove(sched, departure);
		}
		departure = next;
	}
}

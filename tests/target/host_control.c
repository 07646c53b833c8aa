/* Control listener: injects and clears faults of targets. */

#include "host_internal.h"

#include <stdio.h>
#include <string.h>

static void action_leave(host_t *host, size_t index, uint64_t now)
{
	host->targets[index].fake->draining = true;
	host->targets[index].announce_ns = now;
}

static void action_crash(host_t *host, size_t index, uint64_t now)
{
	host_target_t *target = &host->targets[index];

	if (target->server)
		wl_http_server_stop(target->server);
	target->server = NULL;
	host_replies_drop(target);
	host_deferred_drop(target);
	fake_crash(target->fake, now, host_boot_new());
}

static void action_freeze(host_t *host, size_t index, uint64_t now)
{
	fake_advance(host->targets[index].fake, now);
	host->targets[index].fake->frozen = true;
}

static void action_thaw(host_t *host, size_t index, uint64_t now)
{
	host_target_t *target = &host->targets[index];

	if (!target->fake->frozen)
		return;
	fake_thaw(target->fake, now);
	host_deferred_run(target, now);
}

static void action_fail(host_t *host, size_t index, uint64_t now)
{
	(void)now;
	host->targets[index].fake->failing = true;
}

static void resize(host_t *host, size_t index, uint64_t now, uint64_t permille)
{
	fake_resize(host->targets[index].fake, now, permille);
	host->targets[index].announce_ns = now;
}

static void action_grow(host_t *host, size_t index, uint64_t now)
{
	resize(host, index, now, WL_PERMILLE);
}

static void action_shrink(host_t *host, size_t index, uint64_t now)
{
	resize(host, index, now, WL_PERMILLE / 2);
}

/* The target starts whatever it is told to start, as some services do. */
static void action_unguard(host_t *host, size_t index, uint64_t now)
{
	(void)now;
	host->targets[index].fake->unguarded = true;
}

/* Clears every fault: restarts a crashed target and cancels a drain. */
static void action_heal(host_t *host, size_t index, uint64_t now)
{
	host_target_t *target = &host->targets[index];
	wl_err_t err;

	action_thaw(host, index, now);
	target->fake->failing = false;
	target->fake->draining = false;
	target->fake->unguarded = false;
	if (memcmp(&target->fake->capacity, &target->fake->options.capacity,
		   sizeof(target->fake->capacity)) != 0)
		action_grow(host, index, now);
	if (!target->fake->crashed)
		return;
	if (!target->server && !host_listen(host, index, &err)) {
		fprintf(stderr, "target=%s error=\"%s\"\n", target->name.at, err.text);
		return;
	}
	target->fake->crashed = false;
	target->announcing = false;
	target->announce_ns = now;
}

static const struct {
	const char *name;
	void (*run)(host_t *host, size_t index, uint64_t now);
} actions[] = {
	{"crash", action_crash},   {"fail", action_fail}, {"freeze", action_freeze},
	{"grow", action_grow},	   {"heal", action_heal}, {"leave", action_leave},
	{"shrink", action_shrink}, {"thaw", action_thaw}, {"unguard", action_unguard},
};

static bool control_run(host_t *host, wl_str_t path, uint64_t now)
{
	wl_str_t name;
	wl_str_t action;

	if (!wl_str_starts(path, WL_STR("/fake/")))
		return false;
	path = (wl_str_t){path.at + 6, path.len - 6};
	if (!wl_str_split(path, '/', &name, &action))
		return false;
	for (size_t i = 0; i < host->count; i++) {
		if (!wl_str_equal(wl_buf_str(&host->targets[i].name), name))
			continue;
		for (size_t k = 0; k < sizeof(actions) / sizeof(actions[0]); k++) {
			if (!wl_str_equal(action, wl_str_from(actions[k].name)))
				continue;
			actions[k].run(host, i, now);
			return true;
		}
	}
	return false;
}

/*
 * host_control_handle - handle a call to the control listener
 * @event: consumed
 */
void host_control_handle(host_t *host, wl_event_t *event, uint64_t now)
{
	fake_reply_t reply = {.status = 404};

	if (event->kind == WL_EVENT_CALL) {
		if (control_run(host, wl_buf_str(&event->call.path), now))
			reply.status = 200;
		wl_buf_printf(&reply.body, "{\"done\":%s}\n",
			      reply.status == 200 ? "true" : "false");
		host_reply_send(host->control, event->call.id, &reply);
	}
	host_event_free(event);
}

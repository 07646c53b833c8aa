#include "fleet_replica.h"

#include <gtest/gtest.h>

#include "events.h"

extern "C" {
#include <platform/platform.h>
}

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>
#include <utility>

static const uint64_t NS_PER_MS = 1000000;
static const uint64_t DISK_FULL_RETRY_NS = 200 * NS_PER_MS;
static const uint64_t SYNC_NS = 4 * NS_PER_MS;
static const uint64_t WALL_MS = 1700000000000; /* Unix time at the start */
static const uint16_t CONTROL_PORT = 8080;
/* Entries before a snapshot: high enough that none is taken. */
static const uint64_t LOG_ENTRIES_MAX = 1000000;

static std::string chart(const char *name)
{
	std::ifstream in(std::string(PROJECT_DIR "/charts/") + name + ".json");
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}

FleetReplica::FleetReplica(Timeline &timeline, const std::vector<std::string> &names, size_t index,
			   const FleetCosts &replica_costs, const std::string &dispatch_policy)
    : name(names[index]), time(timeline), costs(replica_costs), task_chart(chart("task")),
      target_chart(chart("target")), dispatch(dispatch_policy)
{
	for (const auto &peer : names)
		stores.push_back({str(peer), str(peer)});
	options.name = str(name);
	options.availability_zone = str("a");
	options.peer_address = str(name);
	options.store = true;
	options.stores = stores.data();
	options.store_count = stores.size();
	options.boot = 100 + index;
	options.store_id = 7 + index;
	options.seed = 1 + index;
	options.saved = &saved;
	options.dialect = &wl_platform_dialect;
	options.job_dispatch = str(dispatch);
	options.control_port = CONTROL_PORT;
	options.compact_entries = LOG_ENTRIES_MAX;
	options.task_chart = str(task_chart);
	options.target_chart = str(target_chart);
}

FleetReplica::~FleetReplica()
{
	kill();
}

void FleetReplica::start()
{
	wl_err_t err = {};

	node = wl_node_new(&options, time.now_ns, &err);
	if (!node) {
		fprintf(stderr, "%s\n", err.text);
		abort();
	}
	next_tick_ns = time.now_ns;
	work();
}

uint64_t FleetReplica::busy_ns() const
{
	return spent_ns;
}

bool FleetReplica::is_up() const
{
	return node != nullptr;
}

/* Messages that were sent still arrive. All other state is lost. */
void FleetReplica::kill()
{
	wl_node_free(node);
	node = nullptr;
	term = 0;
	for (auto &event : events)
		wl_event_free(&event);
	for (auto &event : served)
		wl_event_free(&event);
	events.clear();
	served.clear();
	calls.clear();
}

void FleetReplica::freeze(uint64_t ms)
{
	frozen_until_ns = time.now_ns + ms * NS_PER_MS;
	time.at(frozen_until_ns, [this] { work(); });
}

void FleetReplica::fill_disk(uint64_t ms)
{
	disk_full_until_ns = time.now_ns + ms * NS_PER_MS;
}

/* @event: moved from */
void FleetReplica::event(wl_event_t *event)
{
	Thread thread = event->kind == WL_EVENT_CALL ? SERVE : DECIDE;

	if (!node) {
		wl_event_free(event);
		return;
	}
	wake(thread);
	(thread == SERVE ? served : events).push_back(*event);
	work();
}

bool FleetReplica::has_work(Thread thread) const
{
	switch (thread) {
	case DECIDE:
		return !events.empty() || time.now_ns >= next_tick_ns;
	case CALL:
		return !calls.empty();
	case SERVE:
		return !served.empty();
	default:
		return false;
	}
}

/* Must be called before work is added to a thread's queue. */
void FleetReplica::wake(Thread thread)
{
	if (!has_work(thread))
		used_ns[thread] = std::max(used_ns[thread], least_used_ns);
}

/* Continues with the thread that has used the least CPU time. */
void FleetReplica::work()
{
	Thread next = THREADS;

	if (!node || busy || time.now_ns < frozen_until_ns)
		return;
	calls_expire();
	for (Thread thread : {DECIDE, CALL, SERVE})
		if (has_work(thread) && (next == THREADS || used_ns[thread] < used_ns[next]))
			next = thread;
	if (next != THREADS) {
		least_used_ns = std::max(least_used_ns, used_ns[next]);
		work_next(next);
	} else {
		wait_for_tick();
	}
}

/* Sleeps until the next tick or event. */
void FleetReplica::wait_for_tick()
{
	if (waking)
		return;
	waking = true;
	time.at(next_tick_ns, [this] {
		waking = false;
		used_ns[DECIDE] = std::max(used_ns[DECIDE], least_used_ns);
		work();
	});
}

void FleetReplica::work_next(Thread thread)
{
	switch (thread) {
	case DECIDE:
		decide();
		break;
	case CALL:
		call();
		break;
	case SERVE:
		serve();
		break;
	default:
		break;
	}
}

void FleetReplica::occupy(Thread thread, uint64_t ns, std::function<void()> then)
{
	busy = true;
	spent_ns += ns;
	used_ns[thread] += ns;
	time.after(ns, [this, then = std::move(then)] { finish(then); });
}

/* Work in progress on a frozen replica completes after the freeze. */
void FleetReplica::finish(const std::function<void()> &then)
{
	if (time.now_ns < frozen_until_ns) {
		time.at(frozen_until_ns, [this, then] { finish(then); });
		return;
	}
	busy = false;
	if (!node)
		return;
	then();
	work();
}

/* A due tick is processed before the queued events, or after a batch of them. */
void FleetReplica::decide()
{
	auto effects = std::make_shared<Effects>();
	wl_event_t event;
	wl_out_t out;

	if (time.now_ns >= next_tick_ns && (events.empty() || batched >= batch)) {
		batched = 0;
		wl_event_init(&event, WL_EVENT_TICK);
		event.wall_ms = WALL_MS + time.now_ns / NS_PER_MS;
		next_tick_ns = time.now_ns + wl_node_tick_ns(node);
	} else {
		event = events.front();
		events.pop_front();
		batched++;
	}
	wl_out_init(&out);
	wl_node_step(node, time.now_ns, &event, &out);
	for (size_t i = 0; i < out.count; i++)
		take(&out.actions[i], effects.get());
	wl_out_free(&out);
	wl_event_free(&event);
	occupy(DECIDE, costs.event_ns, [this, effects] { apply(*effects); });
}

void FleetReplica::call_unsent(const FleetCall &call)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_FETCHED);
	event.fetched.id = call.id;
	wake(DECIDE);
	events.push_back(event);
	on_unsent(call);
}

/* Fails the calls whose deadline passed before anything of them was sent. */
void FleetReplica::calls_expire()
{
	while (!calls.empty() && time.now_ns >= calls.front().until_ns) {
		call_unsent(calls.front());
		calls.pop_front();
	}
}

void FleetReplica::cancel(uint64_t id)
{
	auto it = std::find_if(calls.begin(), calls.end(),
			       [id](const FleetCall &waits) { return waits.id == id; });

	if (it == calls.end()) {
		on_cancel(id);
		return;
	}
	call_unsent(*it);
	calls.erase(it);
}

void FleetReplica::call()
{
	FleetCall next = std::move(calls.front());

	calls.pop_front();
	occupy(CALL, costs.call_ns, [this, next = std::move(next)] { on_call(next); });
}

void FleetReplica::serve()
{
	occupy(SERVE, costs.call_ns, [this] {
		wake(DECIDE);
		events.push_back(served.front());
		served.pop_front();
	});
}

void FleetReplica::log(const std::string &line)
{
	if (line.find("event=replica ") != std::string::npos) {
		size_t at = line.find("term=");

		term = line.find("role=leader") != std::string::npos && at != std::string::npos
			       ? std::stoull(line.substr(at + 5))
			       : 0;
	}
	if (on_log)
		on_log(line);
}

void FleetReplica::take(wl_action_t *action, Effects *effects)
{
	const wl_fetch_t &fetch = action->fetch;
	wl_buf_t bytes = {};

	switch (action->kind) {
	case WL_ACTION_SEND:
		wl_msg_pack(&action->msg, &bytes);
		effects->sends.emplace_back(text(action->peer), text(bytes));
		wl_buf_free(&bytes);
		break;
	case WL_ACTION_FETCH:
		effects->calls.push_back({fetch.id, text(fetch.address), text(fetch.path),
					  text(fetch.body),
					  time.now_ns + fetch.timeout_ms * NS_PER_MS});
		break;
	case WL_ACTION_FETCH_CANCEL:
		effects->cancels.push_back(fetch.id);
		break;
	case WL_ACTION_PERSIST:
		effects->tickets.push_back(action->persist.ticket);
		break;
	case WL_ACTION_REPLY:
		effects->replies.push_back(
			{action->reply.call, action->reply.status, text(action->reply.body)});
		break;
	case WL_ACTION_CALLER_CHECK:
		effects->checks.push_back(action->caller);
		break;
	case WL_ACTION_LOG:
		EXPECT_EQ(text(action->line).find("event=task-unaccounted"), std::string::npos)
			<< text(action->line);
		log(text(action->line));
		break;
	case WL_ACTION_FATAL:
		fprintf(stderr, "%s: %s\n", name.c_str(), text(action->line).c_str());
		abort();
	default:
		break;
	}
}

void FleetReplica::apply(const Effects &effects)
{
	for (const auto &send : effects.sends)
		on_send(send.first, send.second);
	for (uint64_t ticket : effects.tickets)
		unsynced.push_back(ticket);
	sync();
	for (const auto &reply : effects.replies)
		on_reply(reply.call, reply.status, reply.body);
	for (uint64_t caller : effects.checks) {
		wl_event_t present;

		wl_event_init(&present, WL_EVENT_CALL_PRESENT);
		present.call.id = caller;
		event(&present);
	}
	if (!effects.calls.empty())
		wake(CALL);
	calls.insert(calls.end(), effects.calls.begin(), effects.calls.end());
	for (uint64_t id : effects.cancels)
		cancel(id);
}

/* Writes that arrive during a sync share the next one. */
void FleetReplica::sync()
{
	if (syncing || unsynced.empty())
		return;
	syncing = true;
	time.after(SYNC_NS, [this, tickets = std::exchange(unsynced, {})] { synced(tickets); });
}

void FleetReplica::synced(const std::vector<uint64_t> &tickets)
{
	if (time.now_ns < disk_full_until_ns) {
		time.after(DISK_FULL_RETRY_NS, [this, tickets] { synced(tickets); });
		return;
	}
	syncing = false;
	for (uint64_t ticket : tickets) {
		wl_event_t synced;

		wl_event_init(&synced, WL_EVENT_PERSISTED);
		synced.ticket = ticket;
		event(&synced);
	}
	sync();
}

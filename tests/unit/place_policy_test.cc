#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include <gtest/gtest.h>

#include "../support/state_rig.h"

extern "C" {
#include <libwlbase/rng.h>
#include <libwlcore/leader/leader.h>
}

static const uint64_t step_ms = 10;
static const uint64_t slots = 8;

struct Running {
	std::string task;
	std::string kind;
	uint64_t target;
	double left_ms;
};

struct Outcome {
	uint64_t end_ms = 0;		   /* when the last task ended */
	std::vector<uint64_t> short_waits; /* ms until a "short" task starts */

	uint64_t wait(size_t permille)
	{
		std::sort(short_waits.begin(), short_waits.end());
		return short_waits.at(short_waits.size() * permille / 1000);
	}
};

/*
 * Simulates one owner with targets in two racks.  Tasks of the kinds "a" and "b"
 * slow each other down threefold, other kinds do not.
 */
class PolicyWorld
{
      public:
	PolicyWorld(const std::string &policy, uint64_t long_share, uint64_t targets);
	~PolicyWorld();
	void add(const std::string &kind, uint64_t run_ms);
	void run(uint64_t for_ms);
	bool busy() const
	{
		return rig.state->live_count > 0;
	}

	Outcome outcome;
	uint64_t now_ms = 0;

      private:
	void step(wl_event_t *event);
	void send(wl_msg_kind_t kind, const std::function<void(wl_msg_t *)> &fill);
	void offer(uint64_t target);
	void report(const Running &task, wl_report_kind_t kind);
	void run_tasks();

	StateRig rig;
	wl_metrics_t metrics;
	wl_leader_t *leader = nullptr;
	uint64_t target_count;
	std::vector<Running> running;
	std::vector<Running> fresh; /* their start is not reported yet */
	uint64_t nonce = 0;
};

static std::string name_of(uint64_t target)
{
	return "w" + std::to_string(target);
}

PolicyWorld::PolicyWorld(const std::string &policy, uint64_t long_share, uint64_t targets)
    : target_count(targets)
{
	wl_leader_options_t options = {};
	wl_err_t err = {};
	wl_event_t event;

	wl_metrics_init(&metrics);
	options.entry = WL_STR("s0");
	options.state = rig.state;
	options.metrics = &metrics;
	options.placement = str(policy);
	options.long_ms = 5000;
	options.long_share_permille = long_share;
	options.session_ms = 1000000;
	options.seed = 1;
	rig.clock_ms = 0;
	leader = wl_leader_new(&options, 0, &err);
	wl_cmd_t plans = list_put(WL_LIST_PLANS, 0, plans_json("p:1"));
	std::string wide(plans.u.list_put.text.at);
	wide.replace(wide.find("64000"), 5, "640000");
	wl_buf_set(&plans.u.list_put.text, str(wide));
	rig.apply(&plans);
	wl_cmd_t customers = list_put(WL_LIST_CUSTOMERS, 0, customers_json("norrlamp:p"));
	rig.apply(&customers);
	wl_cmd_t open = session_open("e1", 1);
	uint64_t session = rig.apply(&open).index;
	for (uint64_t t = 0; t < targets; t++) {
		wl_cmd_t own = target_own(name_of(t), session, 0);
		rig.apply(&own);
	}
	wl_event_init(&event, WL_EVENT_LEAD);
	step(&event);
	for (const char *pair : {"ab", "ba"})
		send(WL_MSG_OFFER, [pair](wl_msg_t *msg) {
			auto *row = static_cast<wl_pair_row_t *>(
				wl_list_add(&wl_pair_row_schema, &msg->u.offer.pairs));
			wl_buf_set(&row->kind, {pair, 1});
			wl_buf_set(&row->colocated_kind, {pair + 1, 1});
			row->slowdown_permille = 3000;
			row->weight_milli = 10000;
		});
}

PolicyWorld::~PolicyWorld()
{
	wl_leader_free(leader);
	wl_metrics_free(&metrics);
}

void PolicyWorld::send(wl_msg_kind_t kind, const std::function<void(wl_msg_t *)> &fill)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, WL_STR("e1"));
	wl_msg_init(&event.msg, kind);
	fill(&event.msg);
	step(&event);
	wl_event_free(&event);
}

/* Proposals are committed at once, and assigned tasks run at once. */
void PolicyWorld::step(wl_event_t *event)
{
	wl_out_t out;

	wl_out_init(&out);
	wl_leader_step(leader, now_ms * 1000000, event, &out);
	for (size_t i = 0; i < out.count; i++) {
		wl_action_t *action = &out.actions[i];
		const wl_msg_assign_t *assign = &action->msg.u.assign;

		if (action->kind == WL_ACTION_PROPOSE) {
			wl_result_t result = {};
			wl_event_t applied;
			wl_event_init(&applied, WL_EVENT_APPLIED);
			wl_state_apply(rig.state, ++rig.index, &action->cmd, &result);
			applied.tag = action->tag;
			applied.index = rig.index;
			applied.cmd = &action->cmd;
			applied.result = &result;
			step(&applied);
			wl_result_free(&result);
		} else if (action->kind == WL_ACTION_SEND && action->msg.kind == WL_MSG_ASSIGN) {
			Running task = {assign->task.at, assign->spec.kind.at,
					strtoull(assign->target.at + 1, nullptr, 10),
					static_cast<double>(assign->spec.run_ms)};
			fresh.push_back(task);
			running.push_back(task);
			if (task.kind == "short")
				outcome.short_waits.push_back(now_ms -
							      rig.task(task.task)->record.added_ms);
		}
	}
	wl_out_free(&out);
}

void PolicyWorld::offer(uint64_t target)
{
	send(WL_MSG_OFFER, [this, target](wl_msg_t *msg) {
		auto *row = static_cast<wl_offer_row_t *>(
			wl_list_add(&wl_offer_row_schema, &msg->u.offer.offers));
		std::map<std::string, uint64_t> kinds;
		uint64_t used = 0;

		for (const auto &task : running)
			if (task.target == target) {
				kinds[task.kind]++;
				used++;
			}
		wl_buf_set(&row->target, str(name_of(target)));
		wl_buf_set(&row->rack, str(target % 2 ? "r1" : "r2"));
		wl_strings_add(&row->services, WL_STR("tube-sort"));
		row->epoch = wl_state_target_find(rig.state, str(name_of(target)))->row.epoch;
		row->available = true;
		row->capacity = {32000, 125000, 0, slots, 64};
		row->free = {32000 - used * 1000, 125000 - used * 64, 0, slots - used, 64};
		for (const auto &kind : kinds) {
			auto *item = static_cast<wl_offer_kind_t *>(
				wl_list_add(&wl_offer_kind_schema, &row->kinds));
			wl_buf_set(&item->kind, str(kind.first));
			item->running = kind.second;
		}
	});
}

void PolicyWorld::report(const Running &task, wl_report_kind_t kind)
{
	send(WL_MSG_REPORT, [&](wl_msg_t *msg) {
		auto *row = static_cast<wl_report_t *>(
			wl_list_add(&wl_report_schema, &msg->u.report.reports));
		const wl_task_t *known = rig.task(task.task);
		wl_buf_set(&row->task, str(task.task));
		wl_buf_set(&row->target, str(name_of(task.target)));
		row->attempt = known->record.attempt;
		row->epoch = known->record.epoch;
		row->kind = kind;
	});
}

void PolicyWorld::run_tasks()
{
	std::map<uint64_t, std::map<std::string, uint64_t>> beside;
	std::vector<Running> remaining;

	for (const auto &task : fresh)
		report(task, WL_REPORT_STARTED);
	fresh.clear();
	for (const auto &task : running)
		beside[task.target][task.kind]++;
	for (auto &task : running) {
		const char *other = task.kind == "a" ? "b" : task.kind == "b" ? "a" : "none";

		task.left_ms -= beside[task.target].count(other) ? step_ms / 3.0 : step_ms;
		if (task.left_ms > 0) {
			remaining.push_back(task);
			continue;
		}
		report(task, WL_REPORT_FINISHED);
		outcome.end_ms = now_ms;
	}
	running = remaining;
	for (const auto &target : beside) {
		uint64_t held = 0;
		for (const auto &kind : target.second)
			held += kind.second;
		EXPECT_LE(held, slots);
	}
}

void PolicyWorld::add(const std::string &kind, uint64_t run_ms)
{
	wl_cmd_t cmd = task_add("norrlamp", ++nonce);

	wl_buf_set(&cmd.u.task_add.spec.kind, str(kind));
	cmd.u.task_add.spec.run_ms = run_ms;
	rig.clock_ms = now_ms;
	rig.apply(&cmd);
}

void PolicyWorld::run(uint64_t for_ms)
{
	for (uint64_t until = now_ms + for_ms; now_ms < until; now_ms += step_ms) {
		wl_event_t tick;

		run_tasks();
		if (now_ms % 100 == 0)
			for (uint64_t t = 0; t < target_count; t++)
				offer(t);
		wl_event_init(&tick, WL_EVENT_TICK);
		step(&tick);
	}
}

static uint64_t interfering_end_ms(const std::string &policy)
{
	PolicyWorld world(policy, 1000, 8);
	wl_rng_t rng;

	wl_rng_init(&rng, 5, 1);
	while (world.now_ms < 20000) {
		for (int i = 0; i < 6; i++)
			world.add(wl_rng_below(&rng, 2) ? "a" : "b",
				  500 + wl_rng_below(&rng, 1000));
		world.run(100);
	}
	while (world.busy() && world.now_ms < 300000)
		world.run(1000);
	return world.outcome.end_ms;
}

TEST(PlacePolicy, InterferingKindsAreSeparated)
{
	uint64_t fair = interfering_end_ms("interference-fair");
	uint64_t first = interfering_end_ms("first-fit");

	printf("1200 tasks of two kinds: all ended after %llu ms, first-fit %llu ms\n",
	       (unsigned long long)fair, (unsigned long long)first);
	EXPECT_LT(fair * 3, first * 2);
}

static Outcome stragglers(uint64_t long_share)
{
	PolicyWorld world("", long_share, 4);

	for (int round = 0; round < 20; round++) {
		for (int i = 0; i < 3; i++)
			world.add("long", 20000);
		for (int i = 0; i < 10; i++)
			world.add("short", 200);
		world.run(1000);
	}
	while (world.busy() && world.now_ms < 300000)
		world.run(1000);
	return world.outcome;
}

TEST(PlacePolicy, ShortTasksDoNotQueueBehindLongTasks)
{
	Outcome shared = stragglers(500);
	Outcome open = stragglers(1000);

	printf("wait of short tasks p50/p99: %llu/%llu ms, without the share %llu/%llu ms; "
	       "all ended after %llu and %llu ms\n",
	       (unsigned long long)shared.wait(500), (unsigned long long)shared.wait(990),
	       (unsigned long long)open.wait(500), (unsigned long long)open.wait(990),
	       (unsigned long long)shared.end_ms, (unsigned long long)open.end_ms);
	EXPECT_LT(shared.wait(990) * 5, open.wait(990));
	EXPECT_LE(shared.end_ms, open.end_ms + 25000);
}

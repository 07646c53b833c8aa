#include "leader_world.h"

#include <algorithm>

#include <gtest/gtest.h>

static const uint64_t ns_per_ms = 1000000;
static const uint64_t lease_ms = 800;
static const uint64_t drift_ms = 200;
static const uint64_t session_ms = 1000;
static const uint64_t slots = 4;

LeaderWorld::LeaderWorld(uint64_t seed)
{
	wl_metrics_init(&metrics);
	wl_rng_init(&rng, seed, 3);
	for (const char *name : {"e1", "e2", "e3"})
		entries[name].name = name;
	for (const char *name : {"w1", "w2", "w3", "w4"})
		targets[name] = {};
	lead();
	wl_cmd_t plans = list_put(WL_LIST_PLANS, 0, plans_json("p:1"));
	rig.apply(&plans);
	wl_cmd_t customers = list_put(WL_LIST_CUSTOMERS, 0, customers_json("norrlamp:p"));
	rig.apply(&customers);
}

LeaderWorld::~LeaderWorld()
{
	for (auto &entry : log)
		wl_cmd_free(&entry.first);
	for (auto &delayed : to_entries)
		wl_msg_free(&delayed.msg);
	for (auto &delayed : to_leader_delayed)
		wl_msg_free(&delayed.msg);
	wl_leader_free(leader);
	wl_metrics_free(&metrics);
}

/* Replaces the leader by one in another process, which has only the committed state. */
void LeaderWorld::lead()
{
	wl_leader_options_t options = {};
	wl_err_t err = {};
	wl_event_t event;

	/* a random part of the old leader's proposals is committed */
	for (auto &entry : log) {
		wl_result_t result = {};
		if (pick(2))
			wl_state_apply(rig.state, ++rig.index, &entry.first, &result);
		wl_result_free(&result);
		wl_cmd_free(&entry.first);
	}
	log.clear();
	rig.restore(rig.pack());
	wl_leader_free(leader);
	options.entry = WL_STR("s0");
	options.state = rig.state;
	options.metrics = &metrics;
	options.session_ms = session_ms;
	options.drift_ms = drift_ms;
	options.seed = ++term;
	leader = wl_leader_new(&options, now_ms * ns_per_ms, &err);
	wl_event_init(&event, WL_EVENT_LEAD);
	event.term = term;
	event.group = 1;
	leader_step(&event);
}

void LeaderWorld::leader_step(wl_event_t *event)
{
	wl_out_t out;

	wl_out_init(&out);
	wl_leader_step(leader, now_ms * ns_per_ms, event, &out);
	for (size_t i = 0; i < out.count; i++) {
		wl_action_t *action = &out.actions[i];

		if (action->kind == WL_ACTION_PROPOSE) {
			log.emplace_back(action->cmd, action->tag);
			action->cmd = {};
		} else if (action->kind == WL_ACTION_SEND) {
			if (faults_enabled && pick(12) == 0)
				continue;
			uint64_t late = faults_enabled && pick(30) == 0 ? 3000 : 1 + pick(5);
			to_entries.push_back({now_ms + late, action->peer.at, action->msg});
			action->msg = {};
		}
	}
	wl_out_free(&out);
}

wl_event_t LeaderWorld::message(const std::string &entry, wl_msg_kind_t kind)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, str(entry));
	wl_msg_init(&event.msg, kind);
	return event;
}

/* Delivers a message to the leader in time, up to 6 s late, both, or not at all. */
void LeaderWorld::to_leader(const std::string &entry, wl_event_t *event)
{
	bool lost =
		entries[entry].partitioned_until_ms > now_ms || (faults_enabled && pick(12) == 0);
	bool late = faults_enabled && pick(8) == 0;

	if (late && event->msg.kind != WL_MSG_ANNOUNCE) {
		DelayedMessage delayed = {now_ms + pick(6000), entry, {}};
		wl_msg_copy(&delayed.msg, &event->msg);
		to_leader_delayed.push_back(delayed);
	}
	if (!lost)
		leader_step(event);
	wl_event_free(event);
}

void LeaderWorld::deliver_delayed()
{
	for (size_t i = to_leader_delayed.size(); i > 0; i--) {
		DelayedMessage delayed = to_leader_delayed.front();
		wl_event_t event;

		to_leader_delayed.pop_front();
		if (delayed.at_ms > now_ms) {
			to_leader_delayed.push_back(delayed);
			continue;
		}
		wl_event_init(&event, WL_EVENT_PEER);
		wl_buf_set(&event.peer, str(delayed.entry));
		event.msg = delayed.msg;
		leader_step(&event);
		wl_event_free(&event);
	}
}

void LeaderWorld::handle_view(Entry &entry, const wl_msg_view_t &view)
{
	if (view.owners_from > entry.owners_index || view.owners_to < entry.owners_index)
		return;
	entry.term = std::max(entry.term, view.term);
	entry.owners_index = view.owners_to;
	auto *rows = static_cast<const wl_owner_row_t *>(view.owners.items);
	for (size_t i = 0; i < view.owners.count; i++) {
		std::string name(rows[i].target.at, rows[i].target.len);
		bool mine = rows[i].session == entry.session && rows[i].entry.len;

		if (!mine) {
			entry.owned.erase(name);
			continue;
		}
		Owned &owned = entry.owned[name];
		if (owned.epoch == rows[i].epoch)
			continue;
		owned = {};
		owned.epoch = rows[i].epoch;
		owned.granted_ms = now_ms;
		auto *running = static_cast<const wl_assignment_t *>(rows[i].running.items);
		for (size_t k = 0; k < rows[i].running.count; k++)
			if (running[k].epoch < owned.epoch)
				owned.assigned.insert({running[k].task.at, running[k].attempt});
	}
}

void LeaderWorld::handle_assign(Entry &entry, const wl_msg_assign_t &assign)
{
	std::string name(assign.target.at, assign.target.len);
	auto found = entry.owned.find(name);
	Attempt attempt = {assign.task.at, assign.attempt};

	if (assign.term < entry.term || entry.valid_until_ms <= now_ms ||
	    found == entry.owned.end() || found->second.epoch != assign.epoch ||
	    !found->second.adopted || found->second.reports.count(attempt))
		return;
	ReportedAttempt &reported = found->second.reports[attempt];
	Target &target = targets[name];
	uint64_t running = 0;
	for (const auto &run : target.runs)
		running += run.second.first == AttemptState::running;
	if (!reachable(name) || target.epoch != assign.epoch || running >= slots ||
	    attempt.number <= target.barred[attempt.task]) {
		reported.set(WL_REPORT_REFUSED);
		return;
	}
	starts[attempt.task]++;
	target.runs[attempt] = {AttemptState::running, now_ms + lease_ms};
	reported.set(WL_REPORT_STARTED);
}

void LeaderWorld::handle_stop(Entry &entry, const wl_msg_stop_t &stop)
{
	std::string name(stop.target.at, stop.target.len);
	auto found = entry.owned.find(name);
	Attempt attempt = {stop.task.at, stop.attempt};

	if (stop.term < entry.term || entry.valid_until_ms <= now_ms ||
	    found == entry.owned.end() || found->second.epoch != stop.epoch ||
	    !found->second.adopted || !reachable(name) || targets[name].epoch != stop.epoch)
		return;
	ReportedAttempt &reported = found->second.reports[attempt];
	auto run = targets[name].runs.find(attempt);
	if (run == targets[name].runs.end()) {
		targets[name].bar(attempt);
		reported.set(reported.committed ? reported.report : WL_REPORT_REFUSED);
	} else if (run->second.first == AttemptState::running) {
		run->second.first = AttemptState::stopped;
	}
}

/*
 * Handles a committed report: an evicted attempt is stopped only after its checkpoint is
 * committed, and the target removes an attempt only after its end is committed.
 */
void LeaderWorld::handle_reported(const std::string &name, const Owned &owned,
				  const Attempt &attempt, uint64_t kind)
{
	auto &runs = targets[name].runs;
	auto run = runs.find(attempt);

	if (!reachable(name) || targets[name].epoch != owned.epoch || run == runs.end())
		return;
	if (kind == WL_REPORT_CHECKPOINT && run->second.first == AttemptState::running) {
		run->second.first = AttemptState::stopped;
		evictions++;
	} else if (kind != WL_REPORT_STARTED && kind != WL_REPORT_CHECKPOINT) {
		targets[name].bar(attempt);
		runs.erase(run);
	}
}

void LeaderWorld::deliver(Entry &entry, const wl_msg_t &msg)
{
	if (msg.kind == WL_MSG_RENEWED && msg.u.renewed.code == WL_OK &&
	    msg.u.renewed.boot == entry.boot) {
		if (entry.session != msg.u.renewed.session) {
			entry.session = msg.u.renewed.session;
			entry.owned.clear();
			entry.owners_index = 0;
		}
		entry.valid_until_ms = std::max(entry.valid_until_ms,
						msg.u.renewed.sent_ns / ns_per_ms + session_ms);
	} else if (msg.kind == WL_MSG_RENEWED && msg.u.renewed.code == WL_E_NO_SESSION) {
		entry.session = 0;
	} else if (msg.kind == WL_MSG_VIEW) {
		handle_view(entry, msg.u.view);
	} else if (msg.kind == WL_MSG_ASSIGN) {
		handle_assign(entry, msg.u.assign);
	} else if (msg.kind == WL_MSG_STOP) {
		handle_stop(entry, msg.u.stop);
	} else if (msg.kind == WL_MSG_REPORTED) {
		auto *rows = static_cast<const wl_reported_row_t *>(msg.u.reported.rows.items);
		for (size_t i = 0; i < msg.u.reported.rows.count; i++)
			for (auto &owned : entry.owned) {
				auto reported = owned.second.reports.find(
					{rows[i].task.at, rows[i].attempt});
				if (reported == owned.second.reports.end() ||
				    reported->second.report != rows[i].kind)
					continue;
				reported->second.committed = true;
				handle_reported(owned.first, owned.second, reported->first,
						rows[i].kind);
			}
	}
}

/*
 * Takes over a target under a new epoch.  The target answers with its attempts; an assigned
 * attempt that it does not have can no longer start, and is lost.
 */
void LeaderWorld::adopt(Owned &owned, const std::string &name)
{
	Target &target = targets[name];

	if (!reachable(name) || target.epoch > owned.epoch)
		return;
	target.epoch = owned.epoch;
	owned.adopted = true;
	for (const auto &attempt : owned.assigned)
		if (!target.runs.count(attempt))
			owned.reports[attempt].set(WL_REPORT_LOST);
	for (const auto &run : target.runs)
		owned.reports[run.first];
	owned.assigned.clear();
}

void LeaderWorld::owner_tick(Entry &entry, const std::string &name, Owned &owned)
{
	Target &target = targets[name];
	uint64_t unreachable_ms =
		std::max(owned.last_contact_ms, owned.adopted ? 0 : owned.granted_ms) + lease_ms +
		drift_ms;

	if (!owned.adopted)
		adopt(owned, name);
	if (reachable(name) && owned.adopted && target.epoch == owned.epoch) {
		owned.last_contact_ms = now_ms;
		for (auto &run : target.runs) {
			ReportedAttempt &reported = owned.reports[run.first];
			if (run.second.first == AttemptState::running)
				run.second.second = now_ms + lease_ms;
			else if (run.second.first == AttemptState::finished)
				reported.set(WL_REPORT_FINISHED);
			else
				reported.set(WL_REPORT_STOPPED);
			if (run.second.first == AttemptState::running &&
			    reported.report == WL_REPORT_KINDS)
				reported.set(WL_REPORT_STARTED);
			else if (faults_enabled && run.second.first == AttemptState::running &&
				 reported.committed && !not_restartable.count(run.first.task) &&
				 pick(20) == 0)
				reported.set(WL_REPORT_CHECKPOINT);
		}
	} else if (now_ms >= unreachable_ms) {
		for (const auto &attempt : owned.assigned)
			owned.reports[attempt].set(WL_REPORT_LOST);
		for (auto &reported : owned.reports)
			if (reported.second.report == WL_REPORT_STARTED ||
			    reported.second.report == WL_REPORT_CHECKPOINT)
				reported.second.set(WL_REPORT_LOST);
		owned.assigned.clear();
	}
	report(entry, name, owned);
}

void LeaderWorld::report(Entry &entry, const std::string &name, Owned &owned)
{
	wl_event_t event = message(entry.name, WL_MSG_REPORT);

	for (auto &reported : owned.reports) {
		if (reported.second.report == WL_REPORT_KINDS || reported.second.committed)
			continue;
		auto *row = static_cast<wl_report_t *>(
			wl_list_add(&wl_report_schema, &event.msg.u.report.reports));
		wl_buf_set(&row->task, str(reported.first.task));
		wl_buf_set(&row->target, str(name));
		row->attempt = reported.first.number;
		row->epoch = owned.epoch;
		row->kind = reported.second.report;
	}
	to_leader(entry.name, &event);
}

void LeaderWorld::entry_tick(Entry &entry)
{
	wl_event_t renew = message(entry.name, WL_MSG_RENEW);

	wl_buf_set(&renew.msg.u.renew.entry, str(entry.name));
	renew.msg.u.renew.boot = entry.boot;
	renew.msg.u.renew.session = entry.session;
	renew.msg.u.renew.sent_ns = now_ms * ns_per_ms;
	renew.msg.u.renew.owners_index = entry.owners_index;
	renew.msg.u.renew.revision = wl_state_revision(rig.state);
	to_leader(entry.name, &renew);
	if (entry.valid_until_ms <= now_ms)
		return;
	for (auto &target : targets) {
		wl_event_t announce = message(entry.name, WL_MSG_ANNOUNCE);
		wl_announce_t *words = &announce.msg.u.announce.announce;
		wl_buf_set(&words->name, str(target.first));
		wl_buf_set(&words->rack, WL_STR("r"));
		wl_strings_add(&words->services, WL_STR("tube-sort"));
		to_leader(entry.name, &announce);
	}
	for (auto &owned : entry.owned) {
		owner_tick(entry, owned.first, owned.second);
		wl_event_t offer = message(entry.name, WL_MSG_OFFER);
		auto *row = static_cast<wl_offer_row_t *>(
			wl_list_add(&wl_offer_row_schema, &offer.msg.u.offer.offers));
		uint64_t used = targets[owned.first].runs.size();
		wl_buf_set(&row->target, str(owned.first));
		wl_buf_set(&row->rack, WL_STR("r"));
		wl_strings_add(&row->services, WL_STR("tube-sort"));
		row->epoch = owned.second.epoch;
		row->available = owned.second.adopted && reachable(owned.first);
		row->capacity = {8000, 8000, 0, slots, 0};
		row->free = row->capacity;
		row->free.slots = used < slots ? slots - used : 0;
		auto *kind = static_cast<wl_offer_kind_t *>(
			wl_list_add(&wl_offer_kind_schema, &row->kinds));
		wl_buf_set(&kind->kind, WL_STR("balance"));
		kind->running = used;
		to_leader(entry.name, &offer);
	}
}

void LeaderWorld::targets_tick()
{
	for (auto &target : targets)
		for (auto &run : target.second.runs) {
			if (run.second.first != AttemptState::running)
				continue;
			if (now_ms >= run.second.second) {
				run.second.first = AttemptState::stopped;
			} else if (pick(40) == 0) {
				run.second.first = AttemptState::finished;
				completions[run.first.task]++;
			}
		}
}

void LeaderWorld::check_no_double_run()
{
	std::map<std::string, std::string> where;

	for (const auto &target : targets)
		for (const auto &run : target.second.runs) {
			if (run.second.first != AttemptState::running)
				continue;
			ASSERT_EQ(where.count(run.first.task), 0u)
				<< run.first.task << " runs on " << target.first << " and "
				<< where[run.first.task] << " at " << now_ms;
			where[run.first.task] = target.first;
		}
	for (const auto &task : not_restartable)
		ASSERT_LE(starts[task], 1u) << task << " was started twice";
}

void LeaderWorld::run(uint64_t until_ms, bool faults)
{
	faults_enabled = faults;
	for (; now_ms < until_ms && !testing::Test::HasFatalFailure(); now_ms += 10) {
		for (size_t i = to_entries.size(); i > 0; i--) {
			DelayedMessage delayed = to_entries.front();
			to_entries.pop_front();
			if (delayed.at_ms > now_ms) {
				to_entries.push_back(delayed);
				continue;
			}
			if (entries[delayed.entry].partitioned_until_ms <= now_ms)
				deliver(entries[delayed.entry], delayed.msg);
			wl_msg_free(&delayed.msg);
		}
		if (faults_enabled && pick(400) == 0)
			lead();
		if (faults_enabled && pick(150) == 0)
			entries["e" + std::to_string(1 + pick(3))].partitioned_until_ms =
				now_ms + pick(4000);
		if (faults_enabled && pick(150) == 0)
			target_partitioned_until_ms["w" + std::to_string(1 + pick(4))] =
				now_ms + pick(3000);
		if (faults_enabled && pick(600) == 0) {
			Entry &entry = entries["e" + std::to_string(1 + pick(3))];
			std::string name = entry.name;
			uint64_t boot = entry.boot + 1;
			entry = {};
			entry.name = name;
			entry.boot = boot;
		}
		if (faults_enabled && pick(10) == 0) {
			wl_cmd_t add = task_add("norrlamp", 1000 + rig.index);
			add.u.task_add.spec.restartable = pick(3) > 0;
			bool restartable = add.u.task_add.spec.restartable;
			rig.clock_ms = 0;
			const wl_result_t &result = rig.apply(&add);
			if (!restartable)
				not_restartable.insert(std::string(result.id.at, result.id.len));
		}
		const wl_task_t *first = TAILQ_FIRST(&rig.state->live);
		if (faults_enabled && first && pick(60) == 0) {
			cancelled.insert(first->id.at);
			log.emplace_back(task_cancel("norrlamp", first->id.at), 0);
		}
		deliver_delayed();
		targets_tick();
		for (auto &entry : entries)
			if (now_ms % 100 < 10)
				entry_tick(entry.second);
		wl_event_t tick;
		wl_event_init(&tick, WL_EVENT_TICK);
		leader_step(&tick);
		while (!log.empty() && !(faults_enabled && pick(3) == 0)) {
			auto next = log.front();
			wl_result_t result = {};
			wl_event_t applied;
			log.pop_front();
			wl_state_apply(rig.state, ++rig.index, &next.first, &result);
			wl_event_init(&applied, WL_EVENT_APPLIED);
			applied.tag = next.second;
			applied.index = rig.index;
			applied.cmd = &next.first;
			applied.result = &result;
			leader_step(&applied);
			wl_cmd_free(&next.first);
			wl_result_free(&result);
		}
		check_no_double_run();
	}
}

std::string LeaderWorld::unfinished() const
{
	const wl_task_t *task;
	std::string text;

	TAILQ_FOREACH (task, &rig.state->live, link)
		text += std::string(task->id.at) + " " + wl_task_state_names[task->record.state] +
			" on=" + (task->target ? task->record.target.at : "-") +
			" epoch=" + std::to_string(task->record.epoch) + "\n";
	return text;
}

void LeaderWorld::check_outcomes()
{
	const wl_task_t *task;
	size_t done = 0;

	TAILQ_FOREACH (task, &rig.state->ended, link) {
		uint64_t state = task->record.state;

		EXPECT_TRUE(state == WL_TASK_DONE || state == WL_TASK_UNKNOWN ||
			    state == WL_TASK_CANCELLED)
			<< task->id.at << " " << wl_task_state_names[state];
		done += state == WL_TASK_DONE;
		if (state == WL_TASK_UNKNOWN)
			EXPECT_EQ(not_restartable.count(task->id.at), 1u) << task->id.at;
		else if (state == WL_TASK_CANCELLED)
			EXPECT_EQ(cancelled.count(task->id.at), 1u) << task->id.at;
		else
			EXPECT_GE(completions[task->id.at], 1u) << task->id.at;
	}
	EXPECT_GT(done, 50u) << "too few tasks were done for the test to be meaningful";
	EXPECT_GT(evictions, 5u) << "too few evictions for the test to be meaningful";
	EXPECT_GT(cancelled.size(), 5u) << "too few cancellations for the test to be meaningful";
}

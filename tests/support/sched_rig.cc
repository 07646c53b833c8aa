#include "sched_rig.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

namespace
{
constexpr uint64_t MS = 1000000;

std::string text(const wl_buf_t &buf)
{
	return std::string(buf.at ? buf.at : "", buf.len);
}

SchedOrder order_of(const std::string &agent, const wl_order_t &order)
{
	SchedOrder taken = {};

	taken.agent = agent;
	taken.id = order.id;
	taken.kind = static_cast<wl_order_kind_t>(order.kind);
	taken.runner = text(order.runner);
	taken.address = text(order.address);
	taken.task = text(order.task.job) + "." + std::to_string(order.task.occurrence) + "." +
		     std::to_string(order.task.step) + "." + std::to_string(order.task.index);
	taken.run = order.run;
	taken.epoch = order.epoch;
	taken.lease_ms = order.lease_ms;
	taken.seen = order.committed_ends;
	taken.percent = order.percent;
	taken.wait_ms = order.wait_ms;
	taken.timeout_ms = order.timeout_ms;
	taken.checkpoint = text(order.checkpoint);
	taken.send_by_ms = order.send_by_ms;
	return taken;
}

wl_str_t str(const std::string &s)
{
	return {s.data(), s.size()};
}
} // namespace

SchedRig::SchedRig(const std::string &acceptance, uint64_t (*cost_clock_ns)(void))
{
	std::ifstream in(PROJECT_DIR "/charts/task.json");
	std::stringstream chart_text;
	wl_state_options_t state_options = {};
	wl_leader_options_t leader_options = {};
	wl_sched_options_t options = {};
	wl_err_t err = {};

	chart_text << in.rdbuf();
	chart = wl_chart_load(&wl_task_chart_binding, str(chart_text.str()), &err);
	EXPECT_NE(chart, nullptr) << err.text;
	wl_metrics_init(&metrics);
	state_options.task_chart = chart;
	state = wl_state_new(&state_options, &err);
	jobs = wl_state_jobs(state);
	leader_options.entry = WL_STR("s1");
	leader_options.state = state;
	leader_options.metrics = &metrics;
	leader_options.placement = WL_STR("first-fit");
	leader = wl_leader_new(&leader_options, now, &err);
	EXPECT_NE(leader, nullptr) << err.text;
	options.name = WL_STR("s1");
	options.leader = leader;
	options.jobs = jobs;
	options.metrics = &metrics;
	options.acceptance = str(acceptance);
	options.cost_clock_ns = cost_clock_ns;
	sched = wl_sched_new(&options, &err);
	EXPECT_NE(sched, nullptr) << err.text;
	lead(1);
}

SchedRig::~SchedRig()
{
	for (auto &one : proposed)
		wl_cmd_free(&one.second);
	wl_sched_free(sched);
	wl_leader_free(leader);
	wl_state_free(state);
	wl_chart_free(chart);
	wl_metrics_free(&metrics);
}

void SchedRig::step(wl_event_t *event)
{
	wl_out_t out = {};

	wl_sched_step(sched, now, event, &out);
	out_take(&out);
}

void SchedRig::out_take(wl_out_t *out)
{
	for (size_t i = 0; i < out->count; i++) {
		wl_action_t &action = out->actions[i];

		if (action.kind == WL_ACTION_PROPOSE) {
			proposed.emplace_back(action.tag, action.cmd);
			action.cmd = {};
		}
		if (action.kind == WL_ACTION_SEND)
			message_take(action);
		if (action.kind == WL_ACTION_LOG) {
			log.push_back(text(action.line));
			EXPECT_EQ(log.back().find("event=task-unaccounted"), std::string::npos)
				<< log.back();
		}
	}
	wl_out_free(out);
	while (!rejected.empty()) {
		wl_event_t next = rejected.front();

		rejected.pop_front();
		step(&next);
		wl_event_free(&next);
	}
}

void SchedRig::message_take(const wl_action_t &action)
{
	const wl_msg_orders_t &msg = action.msg.u.orders;

	wl_buf_t bytes = {};

	wl_msg_pack(&action.msg, &bytes);
	sent_bytes_max = std::max(sent_bytes_max, bytes.len);
	wl_buf_free(&bytes);
	sent.push_back(static_cast<wl_msg_kind_t>(action.msg.kind));
	if (action.msg.kind == WL_MSG_RESULT) {
		const wl_result_t &one = action.msg.u.result.result;

		report_to = text(one.report_to);
		newest = {one.code,	  one.job_state, one.is_queue, one.pending,
			  text(one.text), one.retry_ms,	 one.verdict,  one.index};
		answered.push_back(action.msg.u.result.call);
		codes[answered.back()] = one.code;
	}
	if (action.msg.kind != WL_MSG_ORDERS)
		return;
	if (full_queues.count(text(action.peer))) {
		orders_reject(action);
		return;
	}
	if (msg.orders.count == 0 && !silent.count(text(action.peer)))
		agent_clock(text(action.peer));
	for (size_t i = 0; i < msg.orders.count; i++) {
		SchedOrder order = order_of(text(action.peer),
					    static_cast<const wl_order_t *>(msg.orders.items)[i]);

		if (!first_renewal_answer(order))
			orders.push_back(order);
	}
}

bool SchedRig::first_renewal_answer(const SchedOrder &order)
{
	const wl_runner_t *target = wl_jobs_runner(jobs, str(order.runner));
	bool first = order.epoch > epochs[order.runner];
	wl_event_t event;
	wl_order_end_t *end;

	epochs[order.runner] = std::max(epochs[order.runner], order.epoch);
	if (!first || order.kind != WL_ORDER_RENEW || !first_renewals_answered || !target ||
	    !TAILQ_EMPTY(&target->runs) || silent.count(order.agent))
		return false;
	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, str(order.agent));
	wl_msg_init(&event.msg, WL_MSG_ORDERED);
	event.msg.u.ordered.clock_ms = agent_clock_ms(order.agent);
	end = static_cast<wl_order_end_t *>(
		wl_list_add(&wl_order_end_schema, &event.msg.u.ordered.ends));
	end->id = order.id;
	end->outcome = WL_ORDER_DONE;
	end->has_clock = true;
	end->incarnation = target->report.incarnation;
	end->clock_ms = now / MS + clock_offset_ms;
	rejected.push_back(event);
	return true;
}

void SchedRig::orders_reject(const wl_action_t &action)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, wl_buf_str(&action.peer));
	wl_msg_orders_reject(&action.msg.u.orders, &event.msg);
	rejected.push_back(event);
}

uint64_t SchedRig::agent_clock_ms(const std::string &agent) const
{
	return now / MS + (agent == "s1" ? 0 : agent_offset_ms);
}

/* The agent answers with its clock. */
void SchedRig::agent_clock(const std::string &agent)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, str(agent));
	wl_msg_init(&event.msg, WL_MSG_ORDERED);
	event.msg.u.ordered.clock_ms = agent_clock_ms(agent);
	rejected.push_back(event);
}

void SchedRig::lead(uint64_t term)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_LEAD);
	event.term = term;
	event.index = elected_index;
	step(&event);
}

void SchedRig::follow(size_t committed)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_FOLLOW);
	step(&event);
	elected_index = index;
	commit(committed);
	drop();
}

/* Drops the pending proposals, as a change of leaders does. */
void SchedRig::drop()
{
	for (auto &one : proposed)
		wl_cmd_free(&one.second);
	proposed.clear();
}

/*
 * Commits and applies the first pending proposals. New proposals that follow from them are
 * left for the next call.
 */
size_t SchedRig::commit(size_t max)
{
	std::deque<std::pair<uint64_t, wl_cmd_t>> due;
	size_t count = std::min(max, proposed.size());

	for (size_t i = 0; i < count; i++) {
		due.push_back(proposed.front());
		proposed.pop_front();
	}
	for (auto &one : due) {
		wl_result_t result;
		wl_event_t event;

		wl_state_apply(state, ++index, &one.second, &result);
		wl_event_init(&event, WL_EVENT_APPLIED);
		event.tag = one.first;
		event.cmd = &one.second;
		event.result = &result;
		step(&event);
		wl_result_free(&result);
		wl_cmd_free(&one.second);
	}
	return count;
}

void SchedRig::tick()
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_TICK);
	step(&event);
}

void SchedRig::advance(uint64_t ms)
{
	for (uint64_t end = now + ms * MS; now < end;) {
		now += 10 * MS;
		tick();
	}
}

uint64_t SchedRig::send_command(wl_cmd_t *cmd)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, WL_STR("e1"));
	wl_msg_init(&event.msg, WL_MSG_COMMAND);
	event.msg.u.command.call = ++calls;
	event.msg.u.command.cmd_kind = cmd->kind;
	wl_cmd_pack(cmd, &event.msg.u.command.cmd);
	wl_cmd_free(cmd);
	step(&event);
	wl_event_free(&event);
	return calls;
}

uint64_t SchedRig::run_command(wl_cmd_t *cmd)
{
	uint64_t call = send_command(cmd);

	if (!hold_commits)
		commit();
	return call;
}

/* Sends an empty message of a kind, from the daemon e1. */
void SchedRig::message(wl_msg_kind_t kind)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, WL_STR("e1"));
	wl_msg_init(&event.msg, kind);
	step(&event);
	wl_event_free(&event);
}

void SchedRig::configure(const std::string &name, uint64_t priority, uint64_t max_attempts)
{
	wl_cmd_t cmd = {};
	wl_catalog_t &catalog = cmd.u.catalog_put.catalog;

	cmd.kind = WL_CMD_CATALOG_PUT;
	wl_record_copy(&wl_catalog_schema, &catalog, &jobs->catalog);
	catalog.version++;
	auto *queue = static_cast<wl_queue_t *>(wl_list_add(&wl_queue_schema, &catalog.queues));
	wl_buf_set(&queue->name, str(name));
	wl_buf_set(&queue->prefix, str("/" + name + "/"));
	wl_buf_set(&queue->service, str(service));
	queue->timeout_ms = 3000;
	queue->priority = priority;
	queue->max_attempts = max_attempts;
	queue->objective_ms = objective_ms;
	queue->slack_millis = slack_millis;
	if (!wl_catalog_service(&catalog, str(service))) {
		auto *added = static_cast<wl_service_t *>(
			wl_list_add(&wl_service_schema, &catalog.services));
		wl_buf_set(&added->name, str(service));
	}
	run_command(&cmd);
}

void SchedRig::routes(const std::vector<SchedRoute> &list)
{
	wl_cmd_t cmd = {};
	wl_catalog_t &catalog = cmd.u.catalog_put.catalog;

	cmd.kind = WL_CMD_CATALOG_PUT;
	catalog.version = jobs->catalog.version + 1;
	for (const auto &route : list) {
		auto *queue =
			static_cast<wl_queue_t *>(wl_list_add(&wl_queue_schema, &catalog.queues));

		wl_buf_set(&queue->name, str(route.name));
		wl_buf_set(&queue->host, str(route.host));
		wl_buf_set(&queue->prefix, str(route.prefix));
		wl_buf_set(&queue->service, str(route.service));
		queue->timeout_ms = 3000;
		queue->max_attempts = route.max_attempts;
		if (wl_catalog_service(&catalog, str(route.service)))
			continue;
		auto *added = static_cast<wl_service_t *>(
			wl_list_add(&wl_service_schema, &catalog.services));
		wl_buf_set(&added->name, str(route.service));
	}
	run_command(&cmd);
}

SchedResult SchedRig::ask(wl_query_kind_t kind, const std::string &name)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, WL_STR("e1"));
	wl_msg_init(&event.msg, WL_MSG_QUERY);
	event.msg.u.query.call = ++calls;
	event.msg.u.query.kind = kind;
	wl_buf_set(&event.msg.u.query.customer, str(host));
	wl_buf_set(&event.msg.u.query.name, str(name));
	step(&event);
	wl_event_free(&event);
	return newest;
}

SchedResult SchedRig::query(const std::string &path)
{
	return ask(WL_QUERY_JOB, path);
}

uint64_t SchedRig::zone_basis(const std::string &availability_zone)
{
	return ask(WL_QUERY_ZONE_BASIS, availability_zone).index;
}

void SchedRig::reload()
{
	wl_buf_t bytes = {};
	wl_buf_t again = {};
	wl_err_t err = {};

	wl_state_pack(state, &bytes);
	ASSERT_TRUE(wl_state_unpack(state, wl_buf_str(&bytes), &err)) << err.text;
	wl_state_pack(state, &again);
	EXPECT_EQ(text(again), text(bytes));
	wl_buf_free(&again);
	wl_buf_free(&bytes);
}

void SchedRig::runner(const std::string &id, uint64_t cpu_millis, uint64_t life,
		      const std::string &rack, bool draining)
{
	wl_cmd_t cmd = {};
	wl_runner_report_t &report = cmd.u.runner_put;

	cmd.kind = WL_CMD_RUNNER_PUT;
	wl_buf_set(&report.id, str(id));
	wl_buf_set(&report.service, str(service));
	wl_buf_set(&report.address, str(address));
	wl_buf_set(&report.rack, str(rack));
	wl_buf_set(&report.availability_zone, str(zone));
	wl_strings_add(&report.labels, WL_STR("a"));
	wl_strings_add(&report.labels, str(rack));
	report.cpu_millis = cpu_millis;
	report.memory_mib = memory_mib;
	report.incarnation = life;
	report.sequence = ++sequence;
	report.clock_ms = now / MS + clock_offset_ms;
	report.draining = draining;
	report.warmup_ms = warmup_ms;
	run_command(&cmd);
}

void SchedRig::evacuate(const std::string &availability_zone, bool withdrawn)
{
	wl_cmd_t cmd = {};

	cmd.kind = WL_CMD_ZONE_EVACUATE;
	wl_buf_set(&cmd.u.zone_evacuate.availability_zone, str(availability_zone));
	cmd.u.zone_evacuate.withdrawn = withdrawn;
	run_command(&cmd);
}

size_t SchedRig::take_results()
{
	size_t count = std::count(sent.begin(), sent.end(), WL_MSG_RESULT);

	sent.clear();
	return count;
}

void SchedRig::runner_left(const std::string &id, uint64_t life)
{
	wl_cmd_t cmd = {};

	cmd.kind = WL_CMD_RUNNER_PUT;
	wl_buf_set(&cmd.u.runner_put.id, str(id));
	cmd.u.runner_put.incarnation = life;
	cmd.u.runner_put.exiting = true;
	run_command(&cmd);
}

/* Prepares a job of steps that depend on each other in order. submit() sends it. */
wl_step_spec_t *SchedRig::job(const std::string &queue, const std::string &id,
			      const std::vector<uint64_t> &counts, const std::string &payload)
{
	wl_job_spec_t &spec = next_job.u.job_add.spec;

	next_job = {};
	next_job.kind = WL_CMD_JOB_ADD;
	wl_buf_set(&next_job.u.job_add.host, str(host));
	wl_buf_set(&next_job.u.job_add.path, str("/" + queue + "/" + id));
	wl_buf_set(&spec.payload, str(payload));
	for (size_t i = 0; i < counts.size(); i++) {
		auto *step_spec = static_cast<wl_step_spec_t *>(
			wl_list_add(&wl_step_spec_schema, &spec.steps));

		step_spec->count = counts[i];
		step_spec->cpu_millis = 1000;
		step_spec->memory_mib = 100;
		step_spec->after = i ? 1u << (i - 1) : 0;
	}
	return static_cast<wl_step_spec_t *>(spec.steps.items);
}

void SchedRig::repeat(uint64_t times, uint64_t every_ms)
{
	wl_job_spec_t &spec = next_job.u.job_add.spec;

	spec.repeat = times;
	spec.first_ms = wl_leader_clock_ms(leader, now);
	spec.every_ms = every_ms;
}

uint64_t SchedRig::submit()
{
	return run_command(&next_job);
}

uint64_t SchedRig::cancel(const std::string &queue, const std::string &id)
{
	wl_cmd_t cmd = {};

	cmd.kind = WL_CMD_JOB_CANCEL;
	wl_buf_set(&cmd.u.job_cancel.host, str(host));
	wl_buf_set(&cmd.u.job_cancel.path, str("/" + queue + "/" + id));
	return run_command(&cmd);
}

std::vector<SchedOrder> SchedRig::take_orders(wl_order_kind_t kind)
{
	std::vector<SchedOrder> taken;
	std::deque<SchedOrder> left;

	for (const auto &order : orders)
		if (order.kind == kind)
			taken.push_back(order);
		else
			left.push_back(order);
	orders.swap(left);
	return taken;
}

SchedOrder SchedRig::next_renewal()
{
	for (int i = 0; i < 300; i++) {
		auto renewals = take_orders(WL_ORDER_RENEW);

		if (!renewals.empty())
			return renewals[0];
		advance(10);
	}
	ADD_FAILURE() << "no renewal was sent";
	return {};
}

void SchedRig::order_end(const SchedOrder &order, wl_order_end_t *end)
{
	end->clock_ms = now / MS + clock_offset_ms;
	complete(order, end);
}

void SchedRig::complete(const SchedOrder &order, wl_order_end_t *end)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, str(order.agent));
	wl_msg_init(&event.msg, WL_MSG_ORDERED);
	event.msg.u.ordered.clock_ms = agent_clock_ms(order.agent);
	end->id = order.id;
	*static_cast<wl_order_end_t *>(
		wl_list_add(&wl_order_end_schema, &event.msg.u.ordered.ends)) = *end;
	step(&event);
	wl_event_free(&event);
}

void SchedRig::answer(const SchedOrder &order, wl_order_outcome_t outcome)
{
	wl_order_end_t end = {};

	end.outcome = outcome;
	end.has_clock = outcome != WL_ORDER_NO_ANSWER && outcome != WL_ORDER_NOT_SENT &&
			outcome != WL_ORDER_HELD;
	order_end(order, &end);
}

void SchedRig::answer_hold(const SchedOrder &order, const std::vector<wl_run_view_t> &runs,
			   const std::vector<wl_end_view_t> &ends, uint64_t life)
{
	wl_order_end_t end = {};

	end.outcome = WL_ORDER_DONE;
	end.has_clock = true;
	end.incarnation = life;
	for (const auto &run : runs)
		*static_cast<wl_run_view_t *>(wl_list_add(&wl_run_view_schema, &end.runs)) = run;
	for (const auto &one : ends)
		*static_cast<wl_end_view_t *>(wl_list_add(&wl_end_view_schema, &end.ends)) = one;
	order_end(order, &end);
}

/* Sets the other replicas that are reachable for the leader. */
void SchedRig::agents(const std::vector<std::string> &names)
{
	wl_list_t list = {};
	wl_out_t out = {};

	for (const auto &name : names)
		wl_strings_add(&list, str(name));
	wl_sched_agents_set(sched, now, &list, &out);
	wl_strings_free(&list);
	out_take(&out);
}

void SchedRig::report_forwarded(const std::string &agent, const std::string &runner, uint64_t life)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, str(agent));
	wl_msg_init(&event.msg, WL_MSG_KEEPALIVES);
	auto *row = static_cast<wl_heard_row_t *>(
		wl_list_add(&wl_heard_row_schema, &event.msg.u.keepalives.rows));
	wl_buf_set(&row->runner, str(runner));
	row->incarnation = life;
	row->sequence = ++sequence;
	row->clock_ms = now / MS + clock_offset_ms;
	step(&event);
	wl_event_free(&event);
}

void SchedRig::link_down(const std::string &name)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER_DOWN);
	wl_buf_set(&event.peer, str(name));
	step(&event);
	wl_event_free(&event);
}

static void ref_parse(const std::string &task, wl_task_ref_t *ref)
{
	char job[64] = "";
	unsigned long long numbers[3] = {};

	EXPECT_EQ(sscanf(task.c_str(), "%63[^.].%llu.%llu.%llu", job, &numbers[0], &numbers[1],
			 &numbers[2]),
		  4);
	wl_buf_set(&ref->job, wl_str_from(job));
	ref->occurrence = numbers[0];
	ref->step = numbers[1];
	ref->index = numbers[2];
}

wl_run_view_t SchedRig::view(const SchedOrder &start, uint64_t load)
{
	wl_run_view_t view = {};

	/* the agent does not forward the target's name of the task */
	ref_parse(start.task, &view.ref);
	view.run = start.run;
	view.load = load;
	return view;
}

wl_end_view_t SchedRig::end(const SchedOrder &start, uint64_t number, wl_run_outcome_t how)
{
	wl_end_view_t view = {};

	view.number = number;
	ref_parse(start.task, &view.ref);
	view.run = start.run;
	view.outcome = how;
	return view;
}

const wl_job_t *SchedRig::find(const std::string &id) const
{
	return wl_jobs_find(jobs, str(id));
}

std::string SchedRig::job_state(const std::string &id) const
{
	const wl_job_t *found = find(id);

	return found ? wl_job_state_names[found->record.state] : "none";
}

std::string SchedRig::metric(const std::string &line) const
{
	wl_buf_t printed = {};
	std::string value;

	wl_metrics_print(&metrics, &printed);
	std::istringstream lines(text(printed));
	wl_buf_free(&printed);
	for (std::string one; std::getline(lines, one);)
		if (one.rfind(line + " ", 0) == 0)
			value = one.substr(line.size() + 1);
	return value;
}

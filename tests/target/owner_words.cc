/* The commands of the owner scripts. */

#include <cstring>

#include <gtest/gtest.h>

#include "owner_run.h"

static const uint64_t STEP_MS = 10;

/* entry NAME [eviction=POLICY] */
void OwnerRun::add_entry(const Words &words)
{
	auto made = std::make_unique<OwnerEntry>();
	wl_need_t need = {1000, 100, 0, 1, 1};
	wl_owner_options_t options = {};
	wl_err_t err = {};

	names.push_back(words.at(1));
	names.push_back(script_value(words, "eviction"));
	made->name = words.at(1);
	memset(&made->session, 0, sizeof(made->session));
	wl_buf_set(&made->session.leader, WL_STR("leader"));
	wl_ledger_init(&made->ledger, &need);
	wl_view_init(&made->view);
	wl_metrics_init(&made->metrics);
	options.entry = str(names[names.size() - 2]);
	options.eviction = str(names.back());
	options.ledger = &made->ledger;
	options.view = &made->view;
	options.session = &made->session;
	options.metrics = &made->metrics;
	options.chart = chart;
	options.announce_ms = ANNOUNCE_MS;
	options.silence_ms = 3000;
	options.lease_ms = 6000;
	options.session_ms = 4000;
	options.grace_ms = 3000;
	options.drift_ms = 500;
	options.offer_ms = 100;
	options.seed = 1;
	made->owner = wl_owner_new(&options, script.now_ns, &err);
	ASSERT_NE(made->owner, nullptr) << err.text;
	entries[made->name] = std::move(made);
}

/* Gives each target an address at its first use. */
const std::string &OwnerRun::address_of(const std::string &target)
{
	std::string next = "10.0.0." + std::to_string(addresses.size() + 1) + ":80";

	return addresses.emplace(target, next).first->second;
}

std::string OwnerRun::target_at(const std::string &address) const
{
	for (const auto &one : addresses)
		if (one.second == address)
			return one.first;
	return "";
}

/* target NAME [slots=4] [cpu=8000] [memory=8000] [accelerators=0] */
void OwnerRun::add_target(const Words &words)
{
	fake_options_t options = {};

	names.push_back(words.at(1));
	options.name = str(names.back());
	options.address = str(address_of(names.back()));
	options.services = &services;
	options.capacity = {script_number(words, "cpu", 8000), script_number(words, "memory", 8000),
			    script_number(words, "accelerators", 0),
			    script_number(words, "slots", 4), 16};
	options.seed = 1;
	options.service_ms = 10;
	options.time_permille = 1000;
	options.usage_lag_ms = script_number(words, "lag", 0);
	fakes[words.at(1)] = fake_new(&options, 100 + fakes.size());
}

/* session ENTRY ID until=MS */
void OwnerRun::session(const Words &words)
{
	OwnerEntry &one = entry(words.at(1));

	one.session.id = strtoull(words.at(2).c_str(), nullptr, 10);
	one.session.valid_until_ns = script_number(words, "until") * MS;
}

/*
 * grant ENTRY TARGET epoch=N [to=ENTRY|nobody] [session=ID] [running=t1/1@2,t2/1@2:100...]:
 * the view of ENTRY gets this grant; attempts running by task, number, epoch and boot id
 */
void OwnerRun::grant(const Words &words)
{
	OwnerEntry &one = entry(words.at(1));
	std::string to = script_value(words, "to", words.at(1));
	if (words.back() == "to=nobody")
		to.clear();
	std::string running = script_value(words, "running");
	wl_msg_t msg;
	wl_event_t event;
	wl_err_t err;

	wl_msg_init(&msg, WL_MSG_VIEW);
	msg.u.view.owners_from = one.owners_index;
	msg.u.view.owners_to = ++one.owners_index;
	msg.u.view.group = 1;
	auto *row = static_cast<wl_owner_row_t *>(
		wl_list_add(&wl_owner_row_schema, &msg.u.view.owners));
	wl_buf_set(&row->target, str(words.at(2)));
	wl_buf_set(&row->entry, str(to));
	wl_buf_set(&row->address, str(address_of(words.at(2))));
	wl_strings_add(&row->services, WL_STR("sort"));
	row->epoch = script_number(words, "epoch", 1);
	row->session = script_number(words, "session", to == words.at(1) ? one.session.id : 99);
	while (!running.empty()) {
		size_t end = running.find(',');
		std::string item = running.substr(0, end);
		auto *assignment = static_cast<wl_assignment_t *>(
			wl_list_add(&wl_assignment_schema, &row->running));

		running = end == std::string::npos ? "" : running.substr(end + 1);
		wl_buf_set(&assignment->task, str(item.substr(0, item.find('/'))));
		wl_buf_set(&assignment->target, str(words.at(2)));
		assignment->attempt = strtoull(item.c_str() + item.find('/') + 1, nullptr, 10);
		assignment->epoch = strtoull(item.c_str() + item.find('@') + 1, nullptr, 10);
		if (item.find(':') != std::string::npos)
			assignment->boot = strtoull(item.c_str() + item.find(':') + 1, nullptr, 10);
	}
	ASSERT_TRUE(wl_view_apply(&one.view, &msg.u.view, &err)) << err.text;
	wl_msg_free(&msg);
	wl_event_init(&event, WL_EVENT_VIEW);
	step(one, &event);
}

void OwnerRun::send_announce(const std::string &target, const std::string &to)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_msg_init(&event.msg, WL_MSG_ANNOUNCE);
	fake_announce(fake(target), script.now_ns, &event.msg.u.announce.announce);
	step(entry(to), &event);
	wl_event_free(&event);
}

/* announce TARGET to=ENTRY, or announce TARGET keep=NAME */
void OwnerRun::announce(const Words &words)
{
	std::string keep = script_value(words, "keep");

	if (keep.empty()) {
		send_announce(words.at(1), script_value(words, "to"));
		return;
	}
	kept[keep] = {};
	fake_announce(fake(words.at(1)), script.now_ns, &kept[keep]);
}

/* deliver NAME to=ENTRY: deliver an announce that "announce TARGET keep=NAME" kept */
void OwnerRun::deliver(const Words &words)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_msg_init(&event.msg, WL_MSG_ANNOUNCE);
	wl_record_copy(&wl_announce_schema, &event.msg.u.announce.announce, &kept.at(words.at(1)));
	step(entry(script_value(words, "to")), &event);
	wl_event_free(&event);
}

/*
 * assign ENTRY TASK ATTEMPT TARGET epoch=N [cpu=] [memory=] [accelerators=] [class=] [evict=yes]
 * [run=MS] [session=N] [boot=ID]
 */
void OwnerRun::assign(const Words &words)
{
	wl_event_t event;
	std::string payload = "run_ms=" + script_value(words, "run", "100000");

	wl_event_init(&event, WL_EVENT_PEER);
	wl_msg_init(&event.msg, WL_MSG_ASSIGN);
	wl_msg_assign_t &in = event.msg.u.assign;
	wl_buf_set(&in.task, str(words.at(2)));
	in.attempt = strtoull(words.at(3).c_str(), nullptr, 10);
	wl_buf_set(&in.target, str(words.at(4)));
	in.epoch = script_number(words, "epoch", 1);
	in.term = script_number(words, "term", 1);
	in.session = script_number(words, "session", entry(words.at(1)).session.id);
	in.boot = script_number(words, "boot", 0);
	in.may_evict = script_value(words, "evict") == "yes";
	in.need = {script_number(words, "cpu", 1000), script_number(words, "memory", 100),
		   script_number(words, "accelerators", 0), 1, 0};
	wl_buf_set(&in.spec.kind, str(script_value(words, "kind", "report")));
	wl_buf_set(&in.spec.service, WL_STR("sort"));
	in.spec.cpu_millis = in.need.cpu_millis;
	in.spec.memory_mib = in.need.memory_mib;
	in.spec.work_class =
		script_value(words, "class", "batch") == "batch" ? WL_CLASS_BATCH : WL_CLASS_URGENT;
	in.spec.restartable = script_value(words, "restartable", "yes") == "yes";
	if (!script_value(words, "uses").empty())
		payload += " memory_mib=" + script_value(words, "uses");
	if (script_value(words, "fails") == "yes")
		payload += " fails=1";
	wl_buf_set(&in.spec.payload, str(payload));
	wl_buf_set(&in.checkpoint, str(script_value(words, "from")));
	step(entry(words.at(1)), &event);
	wl_event_free(&event);
}

/* stop ENTRY TASK ATTEMPT TARGET epoch=N [checkpoint=yes] */
void OwnerRun::stop(const Words &words)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_msg_init(&event.msg, WL_MSG_STOP);
	wl_msg_stop_t &in = event.msg.u.stop;
	wl_buf_set(&in.task, str(words.at(2)));
	in.attempt = strtoull(words.at(3).c_str(), nullptr, 10);
	wl_buf_set(&in.target, str(words.at(4)));
	in.epoch = script_number(words, "epoch", 1);
	in.term = script_number(words, "term", 1);
	in.checkpoint = script_value(words, "checkpoint") == "yes";
	step(entry(words.at(1)), &event);
	wl_event_free(&event);
}

/* fault TARGET leave|crash|freeze|thaw|fail|shrink|grow */
void OwnerRun::fault(const Words &words)
{
	fake_t *one = fake(words.at(1));

	fake_advance(one, script.now_ns);
	if (words.at(2) == "leave")
		one->draining = true;
	else if (words.at(2) == "fail")
		one->failing = true;
	else if (words.at(2) == "shrink")
		fake_resize(one, script.now_ns, 500);
	else if (words.at(2) == "grow")
		fake_resize(one, script.now_ns, 1000);
	else if (words.at(2) == "freeze")
		one->frozen = true;
	else if (words.at(2) == "thaw")
		fake_thaw(one, script.now_ns);
	else if (words.at(2) == "crash") {
		fake_crash(one, script.now_ns, one->boot + 1000);
		one->crashed = false;
	} else
		FAIL() << "unknown fault " << words.at(2);
}

/* request ENTRY TARGET ok|failed took=MS [count=N], or request ENTRY press */
void OwnerRun::request(const Words &words)
{
	OwnerEntry &one = entry(words.at(1));
	wl_out_t out;

	wl_out_init(&out);
	if (words.at(2) == "press") {
		wl_owner_relieve_pressure(one.owner, WL_STR("sort"), script.now_ns, &out);
	} else {
		wl_target_t *target = wl_ledger_find(&one.ledger, str(words.at(2)));

		for (uint64_t i = 0; i < script_number(words, "count", 1); i++)
			wl_owner_record_request(
				one.owner, target, str(script_value(words, "service", "sort")),
				words.at(3) == "ok", script_number(words, "took", 10) * MS,
				script.now_ns, &out);
	}
	act(one, &out);
	wl_out_free(&out);
}

/* call ENTRY TARGET [body=TEXT]: the target announces by HTTP, with its own body or TEXT */
void OwnerRun::call(const Words &words)
{
	wl_event_t event;
	wl_announce_t in = {};
	std::string body = script_value(words, "body");

	wl_event_init(&event, WL_EVENT_CALL);
	event.call.id = next_request++;
	fake_announce(fake(words.at(2)), script.now_ns, &in);
	if (body.empty())
		wl_record_to_json(&wl_announce_schema, &in, &event.call.body);
	else
		wl_buf_set(&event.call.body, str(body));
	wl_record_free(&wl_announce_schema, &in);
	step(entry(words.at(1)), &event);
	wl_event_free(&event);
}

/* serve TARGET COUNT: the target begins COUNT requests of its present owner */
void OwnerRun::serve(const Words &words)
{
	fake_t *one = fake(words.at(1));
	uint64_t count = strtoull(words.at(2).c_str(), nullptr, 10);
	fake_call_t call = {};
	wl_list_t headers = {};
	uint64_t due;

	wl_headers_add(&headers, WL_STR("Wisterialead-Epoch"), str(std::to_string(one->epoch)));
	wl_headers_add(&headers, WL_STR("Wisterialead-Boot"), str(std::to_string(one->boot)));
	wl_headers_add(&headers, WL_STR("Wisterialead-Seq"), str(std::to_string(one->seq)));
	for (uint64_t i = 0; i < count; i++) {
		fake_reply_t reply = {};

		call.id = next_request++;
		call.headers = &headers;
		EXPECT_TRUE(fake_request_begin(one, script.now_ns, &call, &reply, &due));
		wl_buf_free(&reply.id);
		wl_buf_free(&reply.body);
	}
	wl_list_free(&wl_header_schema, &headers);
}

/* served TARGET COUNT: the COUNT oldest requests on the target end */
void OwnerRun::served(const Words &words)
{
	fake_t *one = fake(words.at(1));
	uint64_t count = strtoull(words.at(2).c_str(), nullptr, 10);

	while (count-- && !TAILQ_EMPTY(&one->requests))
		fake_request_end(one, script.now_ns, TAILQ_FIRST(&one->requests)->id, true);
}

/* show TARGET: print what the fake runs, and its state in the ledger of each entry that is alive */
void OwnerRun::show(const Words &words)
{
	static const char *const state_names[] = {"unadopted", "adopting", "ready", "silent",
						  "leaving",   "aside",	   "gone"};
	fake_t *one = fake(words.at(1));
	std::string tasks;
	const fake_task_t *task;

	TAILQ_FOREACH (task, &one->tasks, link)
		tasks += " " + text(task->usage.id) + "/" + std::to_string(task->usage.attempt) +
			 ":" + wl_run_state_names[task->usage.state];
	script.print("%s has%s", words.at(1).c_str(), tasks.empty() ? " nothing" : tasks.c_str());
	for (auto &[name, it] : entries) {
		const wl_target_t *target = wl_ledger_find(&it->ledger, str(words.at(1)));
		if (!target || !it->alive)
			continue;
		script.print("%s at %s: %s %s, cpu %llu of %llu, memory %llu, slots %llu of %llu",
			     words.at(1).c_str(), name.c_str(), state_names[target->state],
			     target->open ? "open" : "closed",
			     (unsigned long long)target->reserved.cpu_millis,
			     (unsigned long long)target->capacity.cpu_millis,
			     (unsigned long long)target->reserved.memory_mib,
			     (unsigned long long)target->reserved.slots,
			     (unsigned long long)target->capacity.slots);
	}
}

/*
 * pass to=MS [press=ENTRY]: advance the time in steps of STEP_MS; targets announce,
 * and ENTRY is under pressure in each step
 */
void OwnerRun::pass(const Words &words)
{
	uint64_t until_ns = script_number(words, "to") * MS;
	std::string press = script_value(words, "press");

	while (script.now_ns < until_ns) {
		script.now_ns += STEP_MS * MS;
		for (auto &[name, one] : fakes)
			fake_advance(one, script.now_ns);
		for (auto &[target, to] : announces) {
			if (to.empty() || fake(target)->frozen ||
			    script.now_ns < announced_ns[target] + ANNOUNCE_MS * MS)
				continue;
			announced_ns[target] = script.now_ns;
			send_announce(target, to);
		}
		if (!press.empty())
			request({"request", press, "press"});
		for (auto &[name, one] : entries) {
			wl_event_t event;

			wl_event_init(&event, WL_EVENT_TICK);
			step(*one, &event);
		}
	}
}

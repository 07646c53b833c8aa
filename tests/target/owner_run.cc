/* Owners against fake targets, driven by a script. */

#include "owner_run.h"

#include <cstring>

#include <gtest/gtest.h>

static const uint64_t MS = 1000000;
static const uint64_t STEP_MS = 10;
static const uint64_t ANNOUNCE_MS = 1000;

static wl_str_t str(const std::string &text)
{
	return {text.data(), text.size()};
}

static std::string text(const wl_buf_t &buf)
{
	return std::string(buf.at ? buf.at : "", buf.len);
}

OwnerRun::OwnerRun(const wl_chart_t *target_chart) : chart(target_chart)
{
	wl_strings_add(&services, WL_STR("sort"));
	script.on("entry", [this](const Words &w) { add_entry(w); });
	script.on("target", [this](const Words &w) { add_target(w); });
	script.on("session", [this](const Words &w) { session(w); });
	script.on("grant", [this](const Words &w) { grant(w); });
	script.on("announce", [this](const Words &w) { announce(w); });
	script.on("announces",
		  [this](const Words &w) { announces[w.at(1)] = w.at(2) == "off" ? "" : w.at(2); });
	script.on("deliver", [this](const Words &w) { deliver(w); });
	script.on("assign", [this](const Words &w) { assign(w); });
	script.on("stop", [this](const Words &w) { stop(w); });
	script.on("fault", [this](const Words &w) { fault(w); });
	script.on("link", [this](const Words &w) { links[w.at(1) + " " + w.at(2)] = w.at(3); });
	script.on("release", [this](const Words &w) { release(w); });
	script.on("request", [this](const Words &w) { request(w); });
	script.on("serve", [this](const Words &w) { serve(w); });
	script.on("served", [this](const Words &w) { served(w); });
	script.on("show", [this](const Words &w) { show(w); });
	script.on("pass", [this](const Words &w) { pass(w); });
	script.on("trace", [this](const Words &w) { trace.insert(w.at(1)); });
	script.on("commits", [this](const Words &w) { commits = w.at(1) == "on"; });
	script.on("die", [this](const Words &w) { entry(w.at(1)).alive = false; });
	script.on("freeze", [this](const Words &w) { entry(w.at(1)).alive = false; });
	script.on("wake", [this](const Words &w) { entry(w.at(1)).alive = true; });
}

OwnerRun::~OwnerRun()
{
	for (auto &[name, one] : entries) {
		wl_owner_free(one->owner);
		wl_ledger_free(&one->ledger);
		wl_view_free(&one->view);
		wl_session_free(&one->session);
		wl_metrics_free(&one->metrics);
	}
	for (auto &[name, one] : fakes)
		fake_free(one);
	for (auto &[name, one] : kept)
		wl_record_free(&wl_announce_schema, &one);
	for (auto &[name, row] : committed)
		wl_record_free(&wl_reported_row_schema, &row);
	for (size_t i = 0; i < services.count; i++)
		wl_buf_free(static_cast<wl_buf_t *>(services.items) + i);
	free(services.items);
}

void OwnerRun::run(const std::string &path)
{
	script.run(path);
}

OwnerEntry &OwnerRun::entry(const std::string &name)
{
	return *entries.at(name);
}

fake_t *OwnerRun::fake(const std::string &name)
{
	return fakes.at(name);
}

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

/* target NAME [slots=4] [cpu=8000] [memory=8000] [accelerators=0] */
void OwnerRun::add_target(const Words &words)
{
	fake_options_t options = {};

	names.push_back(words.at(1));
	options.name = str(names.back());
	options.address = str(names.back());
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

/* grant ENTRY TARGET epoch=N [to=ENTRY] [session=ID] [running=t1/1@2,...]: ENTRY's view says so. */
void OwnerRun::grant(const Words &words)
{
	OwnerEntry &one = entry(words.at(1));
	std::string to = script_value(words, "to", words.at(1));
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
	wl_buf_set(&row->address, str(words.at(2)));
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

/* deliver NAME to=ENTRY: an announce kept before */
void OwnerRun::deliver(const Words &words)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_msg_init(&event.msg, WL_MSG_ANNOUNCE);
	wl_record_copy(&wl_announce_schema, &event.msg.u.announce.announce, &kept.at(words.at(1)));
	step(entry(script_value(words, "to")), &event);
	wl_event_free(&event);
}

/* assign ENTRY TASK ATTEMPT TARGET epoch=N [cpu=] [memory=] [accelerators=] [class=] [evict=yes]
 * [run=MS] */
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

/* fault TARGET leave|crash|freeze|thaw|fail */
void OwnerRun::fault(const Words &words)
{
	fake_t *one = fake(words.at(1));

	fake_work(one, script.now_ns);
	if (words.at(2) == "leave")
		one->leaving = true;
	else if (words.at(2) == "fail")
		one->failing = true;
	else if (words.at(2) == "freeze")
		one->frozen = true;
	else if (words.at(2) == "thaw")
		fake_thaw(one, script.now_ns);
	else if (words.at(2) == "crash") {
		fake_crash(one, script.now_ns, one->boot + 1000);
		one->crashed = false;
	} else
		FAIL() << words.at(2);
}

/* request ENTRY TARGET ok|failed took=MS [count=N], or request ENTRY press */
void OwnerRun::request(const Words &words)
{
	OwnerEntry &one = entry(words.at(1));
	wl_out_t out;

	wl_out_init(&out);
	if (words.at(2) == "press") {
		wl_owner_press(one.owner, WL_STR("sort"), script.now_ns, &out);
	} else {
		wl_target_t *target = wl_ledger_find(&one.ledger, str(words.at(2)));

		for (uint64_t i = 0; i < script_number(words, "count", 1); i++)
			wl_owner_observe(one.owner, target,
					 str(script_value(words, "service", "sort")),
					 words.at(3) == "ok", script_number(words, "took", 10) * MS,
					 script.now_ns, &out);
	}
	act(one, &out);
	wl_out_free(&out);
}

/* serve TARGET COUNT: requests that its present owner sent begin there */
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

/* served TARGET COUNT: the oldest requests there end */
void OwnerRun::served(const Words &words)
{
	fake_t *one = fake(words.at(1));
	uint64_t count = strtoull(words.at(2).c_str(), nullptr, 10);

	while (count-- && !TAILQ_EMPTY(&one->requests))
		fake_request_end(one, script.now_ns, TAILQ_FIRST(&one->requests)->id, true);
}

/* show TARGET: what its fake runs, and what each living entry's ledger says of it. */
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

/* pass to=MS [press=ENTRY]: time goes by in small steps; targets announce. */
void OwnerRun::pass(const Words &words)
{
	uint64_t until_ns = script_number(words, "to") * MS;
	std::string press = script_value(words, "press");

	while (script.now_ns < until_ns) {
		script.now_ns += STEP_MS * MS;
		for (auto &[name, one] : fakes)
			fake_work(one, script.now_ns);
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

/* release: commands kept back on held links reach their targets now */
void OwnerRun::release(const Words &)
{
	while (!held.empty()) {
		OwnerCommand command = held.front();

		held.pop_front();
		execute(command, true);
	}
}

void OwnerRun::step(OwnerEntry &one, wl_event_t *event)
{
	wl_out_t out;

	if (!one.alive)
		return;
	wl_out_init(&out);
	wl_owner_step(one.owner, script.now_ns, event, &out);
	act(one, &out);
	wl_out_free(&out);
	while (!committed.empty() && commits) {
		wl_event_t reported;
		auto [name, row] = committed.front();

		committed.pop_front();
		wl_event_init(&reported, WL_EVENT_PEER);
		wl_msg_init(&reported.msg, WL_MSG_REPORTED);
		*static_cast<wl_reported_row_t *>(
			wl_list_add(&wl_reported_row_schema, &reported.msg.u.reported.rows)) = row;
		step(entry(name), &reported);
		wl_event_free(&reported);
	}
	check();
}

void OwnerRun::act(OwnerEntry &one, wl_out_t *out)
{
	for (size_t i = 0; i < out->count; i++) {
		const wl_action_t &action = out->actions[i];

		if (action.kind == WL_ACTION_FETCH)
			take_fetch(one, action.fetch);
		else if (action.kind == WL_ACTION_SEND && action.msg.kind == WL_MSG_REPORT)
			take_report(one, action.msg.u.report);
		else if (action.kind == WL_ACTION_SEND && action.msg.kind == WL_MSG_OFFER)
			take_offer(one, action.msg.u.offer);
		else if (action.kind == WL_ACTION_LOG && trace.count("log"))
			script.print("%s log %s", one.name.c_str(), text(action.line).c_str());
	}
}

void OwnerRun::take_fetch(OwnerEntry &one, const wl_fetch_t &fetch)
{
	OwnerCommand command = {one.name, text(fetch.address), text(fetch.path), text(fetch.body),
				fetch.id};
	auto found = links.find(one.name + " " + command.target);
	std::string mode = found == links.end() ? "ok" : found->second;

	if (mode == "held" || fake(command.target)->frozen)
		held.push_back(command);
	else if (mode == "cut")
		ended(command.entry, command.id, false, 0, "");
	else if (mode == "lost")
		ended(command.entry, command.id, true, 0, "");
	else
		execute(command, mode == "ok");
}

void OwnerRun::execute(const OwnerCommand &command, bool answer)
{
	wl_buf_t out = {};
	wl_target_command_t in;
	wl_err_t err;
	uint64_t status;
	std::string what = command.path.substr(command.path.rfind('/') + 1);

	status = fake_command(fake(command.target), script.now_ns, str(command.path),
			      str(command.body), &out);
	EXPECT_TRUE(wl_record_from_json(&wl_target_command_schema, str(command.body), &in, &err))
		<< err.text;
	std::string task =
		in.task.len ? " " + text(in.task) + "/" + std::to_string(in.attempt) : "";
	wl_record_free(&wl_target_command_schema, &in);
	counts[what]++;
	if (what != "renew" || trace.count("renew"))
		script.print("%llums %s -> %s %s%s: %llu%s",
			     (unsigned long long)(script.now_ns / MS), command.entry.c_str(),
			     command.target.c_str(), what.c_str(), task.c_str(),
			     (unsigned long long)status, answer ? "" : " (answer lost)");
	ended(command.entry, command.id, true, answer ? status : 0, text(out));
	wl_buf_free(&out);
}

void OwnerRun::ended(const std::string &name, uint64_t id, bool sent, uint64_t status,
		     const std::string &body)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_FETCHED);
	event.fetched.id = id;
	event.fetched.sent = sent;
	event.fetched.whole = status != 0;
	event.fetched.status = status;
	wl_buf_set(&event.fetched.body, str(body));
	step(entry(name), &event);
	wl_event_free(&event);
}

void OwnerRun::take_report(OwnerEntry &one, const wl_msg_report_t &report)
{
	static const char *const kinds[] = {"started",	  "refused", "finished", "failed",
					    "checkpoint", "stopped", "lost"};
	auto *rows = static_cast<const wl_report_t *>(report.reports.items);

	for (size_t i = 0; i < report.reports.count; i++) {
		wl_reported_row_t row = {};
		std::string line = one.name + " reports " + text(rows[i].task) + "/" +
				   std::to_string(rows[i].attempt) + " " + kinds[rows[i].kind] +
				   " epoch=" + std::to_string(rows[i].epoch) +
				   " result=" + text(rows[i].result) +
				   " checkpoint=" + text(rows[i].checkpoint) + " reason=\"" +
				   text(rows[i].reason) + "\"";

		if (told.insert(line).second)
			script.print("%llums %s", (unsigned long long)(script.now_ns / MS),
				     line.c_str());
		wl_buf_set(&row.task, wl_buf_str(&rows[i].task));
		row.attempt = rows[i].attempt;
		row.kind = rows[i].kind;
		if (commits)
			committed.emplace_back(one.name, row);
		else
			wl_record_free(&wl_reported_row_schema, &row);
	}
}

void OwnerRun::take_offer(OwnerEntry &one, const wl_msg_offer_t &offer)
{
	auto *rows = static_cast<const wl_offer_row_t *>(offer.offers.items);

	if (!trace.count("offer") || offer.whole)
		return;
	for (size_t i = 0; i < offer.offers.count; i++)
		script.print("%llums %s offers %s: %s%s slots %llu cpu %llu evictable %llu",
			     (unsigned long long)(script.now_ns / MS), one.name.c_str(),
			     text(rows[i].target).c_str(), rows[i].open ? "open" : "closed",
			     rows[i].aside ? " aside" : "", (unsigned long long)rows[i].free.slots,
			     (unsigned long long)rows[i].free.cpu_millis,
			     (unsigned long long)rows[i].evictable.slots);
}

/* What must hold at every moment. */
void OwnerRun::check()
{
	std::map<std::string, std::string> running;

	for (auto &[name, one] : fakes) {
		const wl_need_t &has = one->options.capacity;
		wl_need_t used = fake_used(one);
		const fake_task_t *task;

		EXPECT_LE(used.slots, has.slots) << name;
		EXPECT_LE(used.accelerators, has.accelerators) << name;
		TAILQ_FOREACH (task, &one->tasks, link) {
			if (task->usage.state != WL_RUN_RUNNING || one->frozen)
				continue;
			auto [at, fresh] = running.emplace(text(task->usage.id), name);
			EXPECT_TRUE(fresh) << at->first << " runs on " << at->second << " and "
					   << name << " at " << script.now_ns / MS << "ms";
		}
	}
}

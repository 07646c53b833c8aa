/* Owners against fake targets: delivers their commands, prints their reports, checks invariants. */

#include "owner_run.h"

#include <cstring>

#include <gtest/gtest.h>

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
	script.on("call", [this](const Words &w) { call(w); });
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

/* release: deliver all commands that were held back on links with mode "held" */
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
		else if (action.kind == WL_ACTION_REPLY)
			script.print("%s answers %llu %s", one.name.c_str(),
				     (unsigned long long)action.reply.status,
				     text(action.reply.body)
					     .substr(0, action.reply.body.len - 1)
					     .c_str());
		else if (action.kind == WL_ACTION_SEND && action.msg.kind == WL_MSG_ANNOUNCE)
			script.print("%s passes the announce of %s to %s", one.name.c_str(),
				     text(action.msg.u.announce.announce.name).c_str(),
				     text(action.peer).c_str());
		else if (action.kind == WL_ACTION_LOG && trace.count("log"))
			script.print("%s log %s", one.name.c_str(), text(action.line).c_str());
	}
}

void OwnerRun::take_fetch(OwnerEntry &one, const wl_fetch_t &fetch)
{
	OwnerCommand command = {one.name, target_at(text(fetch.address)), text(fetch.path),
				text(fetch.body), fetch.id};
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
	event.fetched.complete = status != 0;
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
				   text(rows[i].reason) + "\"" +
				   (rows[i].crashed ? " crashed" : "");

		if (printed.insert(line).second)
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

	if (!trace.count("offer") || offer.full)
		return;
	for (size_t i = 0; i < offer.offers.count; i++)
		script.print(
			"%llums %s offers %s: %s%s slots %llu cpu %llu evictable %llu boot %llu",
			(unsigned long long)(script.now_ns / MS), one.name.c_str(),
			text(rows[i].target).c_str(), rows[i].available ? "open" : "closed",
			rows[i].quarantined ? " aside" : "", (unsigned long long)rows[i].free.slots,
			(unsigned long long)rows[i].free.cpu_millis,
			(unsigned long long)rows[i].evictable.slots,
			(unsigned long long)rows[i].boot);
}

/* Invariants: no target is overcommitted, and no task runs on two targets at once. */
void OwnerRun::check()
{
	std::map<std::string, std::string> running;

	for (auto &[name, one] : fakes) {
		const wl_need_t &has = one->options.capacity;
		wl_need_t used = fake_used(one);
		const fake_task_t *task;

		EXPECT_EQ(one->starts_over, 0u) << name;
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

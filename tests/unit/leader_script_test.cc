#include <deque>
#include <map>
#include <sstream>

#include <gtest/gtest.h>

#include "../support/script.h"
#include "../support/state_rig.h"

extern "C" {
#include <libwlcore/leader/leader.h>
}

using Words = Script::Words;

static const uint64_t ns_per_ms = 1000000;

/* A leader with its state and a log that commits at once, or after "hold" on "commit". */
class LeaderScript
{
      public:
	LeaderScript();
	~LeaderScript();
	void run(const std::string &path)
	{
		script.run(path);
	}

      private:
	struct Proposal {
		wl_cmd_t cmd;
		uint64_t tag;
	};

	void step(wl_event_t *event);
	void handle_actions(wl_out_t *out);
	void commit(Proposal proposal);
	void drop(wl_verdict_t verdict);
	void print_msg(const std::string &peer, const wl_msg_t &msg);
	wl_event_t peer(const std::string &name, wl_msg_kind_t kind);
	void renew(const Words &words);
	void announce(const Words &words);
	void offer(const Words &words);
	void report(const Words &words);
	void command(const std::string &from, uint64_t call, wl_cmd_t cmd);
	void add(const Words &words);
	void query(const Words &words);
	void ticks(const Words &words);
	void lead(const Words &words);

	StateRig rig;
	Script script;
	wl_metrics_t metrics;
	wl_leader_t *leader = nullptr;
	std::deque<Proposal> log;
	bool held = false;
	bool silent = false;
	uint64_t calls = 0;
};

static std::string text_of(const wl_buf_t &buf)
{
	return buf.len ? std::string(buf.at, buf.len) : "-";
}

static std::string rows_of(const wl_list_t &owners)
{
	auto *rows = static_cast<const wl_owner_row_t *>(owners.items);
	std::string text;

	for (size_t i = 0; i < owners.count; i++) {
		text += (i ? "," : "") + text_of(rows[i].target) + "@" + text_of(rows[i].entry);
		if (rows[i].running.count)
			text += "+" + std::to_string(rows[i].running.count);
		auto *running = static_cast<const wl_assignment_t *>(rows[i].running.items);
		for (size_t k = 0; k < rows[i].running.count; k++)
			if (running[k].boot)
				text += " " + text_of(running[k].task) + ":" +
					std::to_string(running[k].boot);
	}
	return text.empty() ? "-" : text;
}

static std::string members_of(const wl_list_t &members)
{
	auto *rows = static_cast<const wl_member_t *>(members.items);
	std::string text;

	for (size_t i = 0; i < members.count; i++)
		text += (i ? "," : "") + text_of(rows[i].entry) + (rows[i].draining ? "!" : "");
	return text.empty() ? "-" : text;
}

void LeaderScript::print_msg(const std::string &peer, const wl_msg_t &msg)
{
	const char *to = peer.c_str();

	if (msg.kind == WL_MSG_RENEWED)
		script.print("%s <- renewed %s session=%llu", to,
			     wl_code_name(static_cast<wl_code_t>(msg.u.renewed.code)),
			     (unsigned long long)msg.u.renewed.session);
	else if (msg.kind == WL_MSG_VIEW)
		script.print("%s <- view revision=%llu lists=%d from=%llu owners=%s members=%s", to,
			     (unsigned long long)msg.u.view.revision, msg.u.view.has_lists,
			     (unsigned long long)msg.u.view.owners_from,
			     rows_of(msg.u.view.owners).c_str(),
			     members_of(msg.u.view.members).c_str());
	else if (msg.kind == WL_MSG_ASSIGN)
		script.print("%s <- assign %s attempt=%llu on=%s%s%s", to,
			     text_of(msg.u.assign.task).c_str(),
			     (unsigned long long)msg.u.assign.attempt,
			     text_of(msg.u.assign.target).c_str(),
			     msg.u.assign.may_evict ? " may-evict" : "",
			     msg.u.assign.boot
				     ? (" boot=" + std::to_string(msg.u.assign.boot)).c_str()
				     : "");
	else if (msg.kind == WL_MSG_STOP)
		script.print("%s <- stop %s attempt=%llu epoch=%llu", to,
			     text_of(msg.u.stop.task).c_str(),
			     (unsigned long long)msg.u.stop.attempt,
			     (unsigned long long)msg.u.stop.epoch);
	else if (msg.kind == WL_MSG_REPORTED)
		script.print("%s <- reported %zu", to, msg.u.reported.rows.count);
	else if (msg.kind == WL_MSG_RESULT)
		script.print(
			"%s <- result call=%llu %s %s index=%llu %s%s", to,
			(unsigned long long)msg.u.result.call,
			wl_code_name(static_cast<wl_code_t>(msg.u.result.result.code)),
			wl_verdict_name(static_cast<wl_verdict_t>(msg.u.result.result.verdict)),
			(unsigned long long)msg.u.result.result.index,
			text_of(msg.u.result.result.id).c_str(),
			msg.u.result.result.body.len
				? (" " + text_of(msg.u.result.result.body)).c_str()
				: "");
}

void LeaderScript::step(wl_event_t *event)
{
	wl_out_t out;

	wl_out_init(&out);
	wl_leader_step(leader, script.now_ns, event, &out);
	handle_actions(&out);
	wl_out_free(&out);
	while (!held && !log.empty()) {
		Proposal next = log.front();
		log.pop_front();
		commit(next);
	}
}

void LeaderScript::handle_actions(wl_out_t *out)
{
	for (size_t i = 0; i < out->count; i++) {
		wl_action_t *action = &out->actions[i];

		if (action->kind == WL_ACTION_SEND && !silent)
			print_msg(text_of(action->peer), action->msg);
		if (action->kind != WL_ACTION_PROPOSE)
			continue;
		log.push_back({action->cmd, action->tag});
		action->cmd = {};
	}
}

void LeaderScript::commit(Proposal proposal)
{
	wl_result_t result = {};
	wl_event_t event;

	if (!silent)
		script.print("commit %s", wl_cmd_name(proposal.cmd.kind));
	wl_state_apply(rig.state, ++rig.index, &proposal.cmd, &result);
	wl_event_init(&event, WL_EVENT_APPLIED);
	event.tag = proposal.tag;
	event.index = rig.index;
	event.cmd = &proposal.cmd;
	event.result = &result;
	step(&event);
	wl_cmd_free(&proposal.cmd);
	wl_result_free(&result);
}

void LeaderScript::drop(wl_verdict_t verdict)
{
	while (!log.empty()) {
		wl_event_t event;
		Proposal next = log.front();

		log.pop_front();
		wl_event_init(&event, WL_EVENT_DROPPED);
		event.tag = next.tag;
		event.verdict = verdict;
		wl_cmd_free(&next.cmd);
		step(&event);
	}
}

wl_event_t LeaderScript::peer(const std::string &name, wl_msg_kind_t kind)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_PEER);
	wl_buf_set(&event.peer, str(name));
	wl_msg_init(&event.msg, kind);
	return event;
}

static uint64_t session_of(const StateRig &rig, const std::string &entry)
{
	const wl_state_session_t *session = wl_state_session_of_entry(rig.state, str(entry));

	return session ? session->id : 0;
}

void LeaderScript::renew(const Words &words)
{
	wl_event_t event = peer(words[1], WL_MSG_RENEW);
	wl_msg_renew_t *renew = &event.msg.u.renew;

	wl_buf_set(&renew->entry, str(words[1]));
	wl_buf_set(&renew->availability_zone, str(script_value(words, "zone", "a")));
	renew->boot = script_number(words, "boot", 1);
	renew->session = script_number(words, "session", session_of(rig, words[1]));
	renew->group = script_number(words, "group", 77);
	renew->revision = script_value(words, "revision") == "now"
				  ? wl_state_revision(rig.state)
				  : script_number(words, "revision");
	renew->owners_index = script_value(words, "owners") == "now"
				      ? rig.state->owners_index
				      : script_number(words, "owners");
	renew->draining = script_value(words, "draining") == "yes";
	step(&event);
	wl_event_free(&event);
}

void LeaderScript::announce(const Words &words)
{
	wl_event_t event = peer(words[1], WL_MSG_ANNOUNCE);
	wl_announce_t *announce = &event.msg.u.announce.announce;

	wl_buf_set(&announce->name, str(words[2]));
	wl_buf_set(&announce->address, str(script_value(words, "address", "127.0.0.1:1")));
	wl_buf_set(&announce->availability_zone, str(script_value(words, "zone", "a")));
	wl_buf_set(&announce->rack, str(script_value(words, "rack", "r1")));
	wl_strings_add(&announce->services, WL_STR("tube-sort"));
	step(&event);
	wl_event_free(&event);
}

static void need_of(const Words &words, const std::string &key, uint64_t slots, wl_need_t *need)
{
	need->slots = script_number(words, key, slots);
	need->cpu_millis = need->slots * 1000;
	need->memory_mib = need->slots * 1000;
}

void LeaderScript::offer(const Words &words)
{
	wl_event_t event = peer(words[1], WL_MSG_OFFER);
	wl_msg_offer_t *offer = &event.msg.u.offer;
	auto *row =
		static_cast<wl_offer_row_t *>(wl_list_add(&wl_offer_row_schema, &offer->offers));
	const wl_state_target_t *target = wl_state_target_find(rig.state, str(words[2]));

	wl_buf_set(&row->target, str(words[2]));
	wl_buf_set(&row->rack, str(script_value(words, "rack", "r1")));
	wl_strings_add(&row->services, WL_STR("tube-sort"));
	row->epoch = script_number(words, "epoch", target ? target->row.epoch : 0);
	row->available = script_value(words, "open", "yes") == "yes";
	row->quarantined = script_value(words, "aside") == "yes";
	row->boot = script_number(words, "boot", 0);
	need_of(words, "capacity", 8, &row->capacity);
	need_of(words, "free", row->capacity.slots, &row->free);
	need_of(words, "evictable", 0, &row->evictable);
	for (const auto &word : words) {
		if (word.compare(0, 5, "runs=") != 0)
			continue;
		auto *kind = static_cast<wl_offer_kind_t *>(
			wl_list_add(&wl_offer_kind_schema, &row->kinds));
		wl_buf_set(&kind->kind, str(word.substr(5, word.find(':') - 5)));
		kind->running = strtoull(word.c_str() + word.find(':') + 1, nullptr, 10);
	}
	if (!script_value(words, "pair").empty()) {
		std::string pair = script_value(words, "pair");
		auto *learnt = static_cast<wl_pair_row_t *>(
			wl_list_add(&wl_pair_row_schema, &offer->pairs));
		wl_buf_set(&learnt->kind, str(pair.substr(0, pair.find(':'))));
		wl_buf_set(&learnt->colocated_kind, str(pair.substr(pair.find(':') + 1)));
		learnt->slowdown_permille = script_number(words, "slowdown", 3000);
		learnt->weight_milli = 5000;
	}
	step(&event);
	wl_event_free(&event);
}

void LeaderScript::report(const Words &words)
{
	static const char *const kinds[] = {"started",	  "refused", "finished", "failed",
					    "checkpoint", "stopped", "lost"};
	wl_event_t event = peer(words[1], WL_MSG_REPORT);
	const wl_task_t *task = rig.task(words[2]);
	auto *row = static_cast<wl_report_t *>(
		wl_list_add(&wl_report_schema, &event.msg.u.report.reports));

	while (row->kind < WL_REPORT_UNPLACEABLE && words[3] != kinds[row->kind])
		row->kind++;
	wl_buf_set(&row->task, str(words[2]));
	row->attempt = script_number(words, "attempt", task ? task->record.attempt : 1);
	if (task) {
		const wl_state_target_t *target =
			wl_state_target_find(rig.state, wl_buf_str(&task->record.target));
		wl_buf_set(&row->target, wl_buf_str(&task->record.target));
		row->epoch = target ? target->row.epoch : 0;
	}
	row->ran_ms = script_number(words, "ran");
	row->crashed = script_value(words, "crashed") == "yes";
	wl_buf_set(&row->checkpoint, str(script_value(words, "checkpoint")));
	step(&event);
	wl_event_free(&event);
}

void LeaderScript::command(const std::string &from, uint64_t call, wl_cmd_t cmd)
{
	wl_event_t event = peer(from, WL_MSG_COMMAND);

	event.msg.u.command.call = call;
	event.msg.u.command.cmd_kind = cmd.kind;
	wl_cmd_pack(&cmd, &event.msg.u.command.cmd);
	wl_cmd_free(&cmd);
	step(&event);
	wl_event_free(&event);
}

/* "add CUSTOMER count=N kind=K class=batch cpu=1000 run=MS": prints only the first and last id. */
void LeaderScript::add(const Words &words)
{
	uint64_t count = script_number(words, "count", 1);

	for (uint64_t i = 0; i < count; i++) {
		wl_cmd_t cmd = task_add(words[1], ++calls);
		wl_task_spec_t *spec = &cmd.u.task_add.spec;

		spec->work_class = script_value(words, "class", "batch") == "urgent"
					   ? WL_CLASS_URGENT
					   : WL_CLASS_BATCH;
		spec->cpu_millis = script_number(words, "cpu", 1000);
		spec->run_ms = script_number(words, "run", 1000);
		wl_buf_set(&spec->kind, str(script_value(words, "kind", "balance")));
		silent = i > 0 && i + 1 < count;
		command("e1", calls, cmd);
	}
	silent = false;
}

void LeaderScript::query(const Words &words)
{
	static const std::map<std::string, wl_query_kind_t> kinds = {
		{"list", WL_QUERY_LIST},     {"task", WL_QUERY_TASK},
		{"tasks", WL_QUERY_TASKS},   {"targets", WL_QUERY_TARGETS},
		{"status", WL_QUERY_STATUS}, {"in-force", WL_QUERY_IN_FORCE},
	};
	wl_event_t event = peer("e1", WL_MSG_QUERY);

	event.msg.u.query.kind = kinds.at(words[1]);
	event.msg.u.query.number = script_number(words, "revision");
	wl_buf_set(&event.msg.u.query.name, str(script_value(words, "name")));
	wl_buf_set(&event.msg.u.query.customer, str(script_value(words, "customer")));
	step(&event);
	wl_event_free(&event);
}

/* "run 500ms renew=e1,e2": ticks every 10 ms; the entries listed renew each second. */
void LeaderScript::ticks(const Words &words)
{
	uint64_t until = script.now_ns + strtoull(words[1].c_str(), nullptr, 10) * ns_per_ms;
	std::string live = script_value(words, "renew");
	uint64_t next = script.now_ns;

	while (script.now_ns < until) {
		script.now_ns += 10 * ns_per_ms;
		wl_event_t event;
		wl_event_init(&event, WL_EVENT_TICK);
		step(&event);
		if (live.empty() || script.now_ns < next)
			continue;
		next += 1000 * ns_per_ms;
		silent = true;
		std::istringstream names(live);
		std::string name;
		while (std::getline(names, name, ',')) {
			const wl_state_session_t *session =
				wl_state_session_of_entry(rig.state, str(name));
			std::string zone = session ? text_of(session->availability_zone) : "a";
			renew({"renew", name, "revision=now", "owners=now", "zone=" + zone,
			       "boot=" + std::to_string(session ? session->boot : 1)});
		}
		silent = false;
	}
}

void LeaderScript::lead(const Words &words)
{
	wl_event_t event;

	wl_event_init(&event, WL_EVENT_LEAD);
	event.term = script_number(words, "term", 1);
	event.group = 77;
	step(&event);
}

LeaderScript::LeaderScript()
{
	wl_leader_options_t options = {};
	wl_err_t err = {};

	wl_metrics_init(&metrics);
	options.entry = WL_STR("s0");
	options.state = rig.state;
	options.metrics = &metrics;
	options.session_ms = 4000;
	options.drift_ms = 200;
	options.long_ms = 60000;
	options.long_share_permille = 500;
	options.seed = 1;
	leader = wl_leader_new(&options, 0, &err);
	EXPECT_NE(leader, nullptr) << err.text;
	script.on("lead", [this](const Words &w) { lead(w); });
	script.on("follow", [this](const Words &) {
		wl_event_t event;
		wl_event_init(&event, WL_EVENT_FOLLOW);
		step(&event);
	});
	script.on("hold", [this](const Words &) { held = true; });
	script.on("commit", [this](const Words &) {
		wl_event_t event;
		held = false;
		wl_event_init(&event, WL_EVENT_PEER_UP);
		step(&event);
	});
	script.on("drop", [this](const Words &w) {
		held = false;
		drop(w[1] == "not-run" ? WL_NOT_RUN : WL_UNKNOWN);
	});
	script.on("renew", [this](const Words &w) { renew(w); });
	script.on("announce", [this](const Words &w) { announce(w); });
	script.on("offer", [this](const Words &w) { offer(w); });
	script.on("report", [this](const Words &w) { report(w); });
	script.on("add", [this](const Words &w) { add(w); });
	script.on("put", [this](const Words &w) {
		bool plans = w[1] == "plans";
		command("e1", ++calls,
			list_put(plans ? WL_LIST_PLANS : WL_LIST_CUSTOMERS,
				 script_number(w, "base"),
				 plans ? plans_json(w[2]) : customers_json(w[2])));
	});
	script.on("cancel", [this](const Words &w) {
		for (size_t i = 1; i < w.size(); i++)
			command("e1", ++calls, task_cancel("norrlamp", w[i]));
	});
	script.on("query", [this](const Words &w) { query(w); });
	script.on("run", [this](const Words &w) { ticks(w); });
	script.on("running", [this](const Words &) {
		const wl_state_customer_t *customer;
		TAILQ_FOREACH (customer, &rig.state->customers, link)
			script.print("%s placed=%llu queued=%llu", customer->name.at,
				     (unsigned long long)customer->held_count,
				     (unsigned long long)(customer->queued_count[0] +
							  customer->queued_count[1]));
	});
	script.on("metric", [this](const Words &w) {
		const char *labels = w.size() > 2 ? w[2].c_str() : "";
		script.print("%llu",
			     (unsigned long long)wl_metrics_get(&metrics, w[1].c_str(), labels));
	});
	script.on("task", [this](const Words &w) {
		const wl_task_t *task = rig.task(w[1]);
		script.print("%s on=%s reason=%s",
			     task ? wl_task_state_names[task->record.state] : "none",
			     task ? text_of(task->record.target).c_str() : "-",
			     task ? text_of(task->record.reason).c_str() : "-");
	});
}

LeaderScript::~LeaderScript()
{
	for (auto &proposal : log)
		wl_cmd_free(&proposal.cmd);
	wl_leader_free(leader);
	wl_metrics_free(&metrics);
}

class LeaderScripts : public testing::TestWithParam<std::string>
{
};

TEST_P(LeaderScripts, GivesTheExpectedOutput)
{
	LeaderScript script;

	script.run(GetParam());
}

INSTANTIATE_TEST_SUITE_P(All, LeaderScripts, testing::ValuesIn(script_paths("leader")));

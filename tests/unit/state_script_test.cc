#include <map>

#include <gtest/gtest.h>

#include "../support/script.h"
#include "../support/state_rig.h"

using Words = Script::Words;

/*
 * Runs scripts of commands on a replicated state.  as=NAME stores the index of a result; "$NAME"
 * in an id or a number is replaced by it.
 */
class StateScript
{
      public:
	StateScript();
	void run(const std::string &path)
	{
		script.run(path);
	}

      private:
	void apply(const Words &words, wl_cmd_t cmd);
	uint64_t number(const Words &words, const std::string &key, uint64_t preset = 0);
	std::string word(const std::string &text);
	void put(const Words &words);
	void add(const Words &words);
	void report(const Words &words);
	void show(const Words &words);
	void owner(const Words &words);
	void begin(const Words &words);

	StateRig rig;
	Script script;
	std::map<std::string, uint64_t> names;
};

std::string StateScript::word(const std::string &text)
{
	size_t at = text.find('$');

	if (at == std::string::npos)
		return text;
	return text.substr(0, at) + std::to_string(names.at(text.substr(at + 1)));
}

uint64_t StateScript::number(const Words &words, const std::string &key, uint64_t preset)
{
	std::string value = script_value(words, key);

	return value.empty() ? preset : strtoull(word(value).c_str(), nullptr, 10);
}

/* Applies a command, prints the result, and stores its index under as=NAME. */
void StateScript::apply(const Words &words, wl_cmd_t cmd)
{
	rig.clock_ms = 1000 + script.now_ns / 1000000;
	const wl_result_t &result = rig.apply(&cmd);
	std::string name = script_value(words, "as");

	if (!name.empty())
		names[name] = result.index;
	std::string line = std::string(wl_code_name(static_cast<wl_code_t>(result.code))) + " " +
			   wl_verdict_name(static_cast<wl_verdict_t>(result.verdict));
	if (result.version)
		line += " version=" + std::to_string(result.version);
	if (result.text.len)
		line += " " + std::string(result.text.at, result.text.len);
	script.print("%s", line.c_str());
}

void StateScript::put(const Words &words)
{
	bool plans = words[1] == "plans";
	std::string text = plans ? plans_json(words[2]) : customers_json(words[2]);

	apply(words,
	      list_put(plans ? WL_LIST_PLANS : WL_LIST_CUSTOMERS, number(words, "base"), text));
}

void StateScript::add(const Words &words)
{
	wl_cmd_t cmd =
		task_add(script_value(words, "customer", "norrlamp"), number(words, "nonce"));
	wl_task_spec_t *spec = &cmd.u.task_add.spec;

	wl_buf_set(&cmd.u.task_add.key, str(script_value(words, "key")));
	spec->restartable = script_value(words, "restartable", "yes") == "yes";
	spec->cpu_millis = number(words, "cpu", 1000);
	if (!script_value(words, "service").empty())
		wl_buf_set(&spec->service, str(script_value(words, "service")));
	apply(words, cmd);
}

void StateScript::report(const Words &words)
{
	static const char *const kinds[] = {"started",	  "refused", "finished", "failed",
					    "checkpoint", "stopped", "lost"};
	uint64_t kind = 0;

	while (kind < WL_REPORT_UNPLACEABLE && words[2] != kinds[kind])
		kind++;
	ASSERT_LT(kind, WL_REPORT_UNPLACEABLE) << words[2];
	wl_cmd_t cmd = task_report(word(words[1]), number(words, "attempt", 1),
				   script_value(words, "on", "w1"), number(words, "epoch"),
				   static_cast<wl_report_kind_t>(kind));
	auto *one = static_cast<wl_report_t *>(cmd.u.task_report.reports.items);
	wl_buf_set(&one->checkpoint, str(script_value(words, "checkpoint")));
	wl_buf_set(&one->result, str(script_value(words, "result")));
	wl_buf_set(&one->reason, str(script_value(words, "reason")));
	one->ran_ms = number(words, "ran");
	one->crashed = script_value(words, "crashed") == "yes";
	apply(words, cmd);
}

static std::string text_of(const wl_buf_t &buf)
{
	return buf.len ? std::string(buf.at, buf.len) : "-";
}

void StateScript::show(const Words &words)
{
	const wl_task_t *task = rig.task(word(words[1]));

	if (!task) {
		script.print("no such task");
		return;
	}
	const wl_task_record_t &record = task->record;
	script.print("%s attempt=%llu target=%s checkpoint=%s result=%s reason=%s evictions=%llu",
		     wl_task_state_names[record.state], (unsigned long long)record.attempt,
		     task->target ? text_of(record.target).c_str() : "-",
		     text_of(record.checkpoint).c_str(), text_of(record.result).c_str(),
		     text_of(record.reason).c_str(), (unsigned long long)record.evictions);
}

void StateScript::owner(const Words &words)
{
	const wl_state_target_t *target = wl_state_target_find(rig.state, str(words[1]));

	if (!target || target->row.forgotten)
		script.print("unknown");
	else
		script.print("owner=%s assigned=%llu", text_of(target->row.entry).c_str(),
			     (unsigned long long)target->assigned_count);
}

void StateScript::begin(const Words &words)
{
	static const char *const states[] = {"fresh", "running", "done", "lost"};
	wl_cmd_t cmd = key_begin(words[1], number(words, "session"), number(words, "nonce"));

	wl_buf_set(&cmd.u.key_begin.digest, str(script_value(words, "digest", "d")));
	const wl_result_t &result = rig.apply(&cmd);
	if (result.code != WL_OK)
		script.print("%s %s", wl_code_name(static_cast<wl_code_t>(result.code)),
			     text_of(result.text).c_str());
	else
		script.print("%s %s body=%s", states[result.key_state],
			     wl_verdict_name(static_cast<wl_verdict_t>(result.verdict)),
			     text_of(result.body).c_str());
}

StateScript::StateScript()
{
	script.on("put", [this](const Words &w) { put(w); });
	script.on("open",
		  [this](const Words &w) { apply(w, session_open(w[1], number(w, "boot", 1))); });
	script.on("end", [this](const Words &w) {
		wl_cmd_t cmd = {};
		cmd.kind = WL_CMD_SESSION_END;
		cmd.u.session_end.session = number(w, "session");
		apply(w, cmd);
	});
	script.on("own", [this](const Words &w) {
		apply(w, target_own(w[1], number(w, "session"), number(w, "from")));
	});
	script.on("forget", [this](const Words &w) {
		wl_cmd_t cmd = {};
		cmd.kind = WL_CMD_TARGET_FORGET;
		wl_buf_set(&cmd.u.target_forget.target, str(w[1]));
		cmd.u.target_forget.epoch = number(w, "epoch");
		apply(w, cmd);
	});
	script.on("add", [this](const Words &w) { add(w); });
	script.on("assign", [this](const Words &w) {
		apply(w, task_assign(word(w[1]), number(w, "attempt", 1),
				     script_value(w, "on", "w1"), number(w, "epoch")));
	});
	script.on("report", [this](const Words &w) { report(w); });
	script.on("cancel", [this](const Words &w) {
		apply(w, task_cancel(script_value(w, "customer", "norrlamp"), word(w[1])));
	});
	script.on("show", [this](const Words &w) { show(w); });
	script.on("owner", [this](const Words &w) { owner(w); });
	script.on("begin", [this](const Words &w) { begin(w); });
	script.on("finish", [this](const Words &w) {
		wl_verdict_t verdict = WL_RAN;
		wl_verdict_parse(str(w[2]), &verdict);
		apply(w, key_end(w[1], number(w, "nonce"), verdict, script_value(w, "body")));
	});
	script.on("restore", [this](const Words &) { rig.restore(rig.pack()); });
}

class StateScripts : public testing::TestWithParam<std::string>
{
};

TEST_P(StateScripts, GivesTheExpectedOutput)
{
	StateScript script;

	script.run(GetParam());
}

INSTANTIATE_TEST_SUITE_P(All, StateScripts, testing::ValuesIn(script_paths("state")));

#include "state_rig.h"

#include <fstream>
#include <functional>
#include <sstream>

#include <gtest/gtest.h>

wl_str_t str(const std::string &text)
{
	return {text.data(), text.size()};
}

static std::string chart_text()
{
	std::ifstream in(std::string(PROJECT_DIR) + "/charts/task.json");
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}

StateRig::StateRig(wl_state_options_t options)
{
	wl_err_t err = {};
	std::string text = chart_text();

	chart = wl_chart_load(&wl_task_chart_binding, str(text), &err);
	EXPECT_NE(chart, nullptr) << err.text;
	options.task_chart = chart;
	state = wl_state_new(&options, &err);
	EXPECT_NE(state, nullptr) << err.text;
}

StateRig::~StateRig()
{
	wl_result_free(&result);
	wl_state_free(state);
	wl_chart_free(chart);
}

const wl_result_t &StateRig::apply(wl_cmd_t *cmd)
{
	wl_result_free(&result);
	cmd->at_ms = clock_ms;
	wl_state_apply(state, ++index, cmd, &result);
	wl_cmd_free(cmd);
	return result;
}

std::string StateRig::pack() const
{
	wl_buf_t bytes = {};

	wl_state_pack(state, &bytes);
	std::string packed(bytes.at, bytes.len);
	wl_buf_free(&bytes);
	return packed;
}

void StateRig::restore(const std::string &bytes)
{
	wl_err_t err = {};

	EXPECT_TRUE(wl_state_unpack(state, str(bytes), &err)) << err.text;
}

const wl_task_t *StateRig::task(const std::string &id) const
{
	return wl_state_task_find(state, str(id));
}

static std::string each_pair(const std::string &pairs,
			     const std::function<std::string(std::string, std::string)> &item)
{
	std::istringstream in(pairs);
	std::string word;
	std::string text;

	while (std::getline(in, word, ',')) {
		size_t at = word.find(':');

		text += (text.empty() ? "" : ",") + item(word.substr(0, at), word.substr(at + 1));
	}
	return text;
}

std::string customers_json(const std::string &pairs)
{
	return R"({"customers":[)" +
	       each_pair(pairs,
			 [](const std::string &name, const std::string &plan) {
				 return R"({"name":")" + name + R"(","plan":")" + plan + "\"}";
			 }) +
	       "]}";
}

std::string plans_json(const std::string &pairs)
{
	return R"({"plans":[)" +
	       each_pair(
		       pairs,
		       [](const std::string &name, const std::string &weight) {
			       return R"({"name":")" + name + R"(","weight":)" + weight +
				      R"(,"services":["tube-sort"],"classes":["urgent","batch"],)"
				      R"("max_concurrent":400,"requests_per_second":5000,)"
				      R"("cpu_millis":64000,"memory_mib":262144,"accelerators":4})";
		       }) +
	       "]}";
}

wl_cmd_t list_put(wl_list_name_t list, uint64_t base, const std::string &text)
{
	wl_cmd_t cmd = {};

	cmd.kind = WL_CMD_LIST_PUT;
	cmd.u.list_put.list = list;
	cmd.u.list_put.base = base;
	wl_buf_set(&cmd.u.list_put.text, str(text));
	return cmd;
}

wl_cmd_t session_open(const std::string &entry, uint64_t boot, const std::string &zone)
{
	wl_cmd_t cmd = {};

	cmd.kind = WL_CMD_SESSION_OPEN;
	cmd.u.session_open.boot = boot;
	wl_buf_set(&cmd.u.session_open.entry, str(entry));
	wl_buf_set(&cmd.u.session_open.availability_zone, str(zone));
	return cmd;
}

wl_cmd_t target_own(const std::string &target, uint64_t session, uint64_t from_epoch)
{
	wl_cmd_t cmd = {};

	cmd.kind = WL_CMD_TARGET_OWN;
	cmd.u.target_own.session = session;
	cmd.u.target_own.from_epoch = from_epoch;
	wl_buf_set(&cmd.u.target_own.target, str(target));
	wl_strings_add(&cmd.u.target_own.services, WL_STR("tube-sort"));
	return cmd;
}

wl_cmd_t task_add(const std::string &customer, uint64_t nonce)
{
	wl_cmd_t cmd = {};
	wl_task_spec_t *spec = &cmd.u.task_add.spec;

	cmd.kind = WL_CMD_TASK_ADD;
	cmd.u.task_add.nonce = nonce;
	wl_buf_set(&cmd.u.task_add.customer, str(customer));
	wl_buf_set(&spec->kind, WL_STR("balance"));
	wl_buf_set(&spec->service, WL_STR("tube-sort"));
	spec->cpu_millis = 1000;
	spec->memory_mib = 64;
	spec->work_class = WL_CLASS_BATCH;
	spec->restartable = true;
	return cmd;
}

wl_cmd_t task_cancel(const std::string &customer, const std::string &id)
{
	wl_cmd_t cmd = {};

	cmd.kind = WL_CMD_TASK_CANCEL;
	wl_buf_set(&cmd.u.task_cancel.customer, str(customer));
	wl_strings_add(&cmd.u.task_cancel.tasks, str(id));
	return cmd;
}

wl_cmd_t task_assign(const std::string &id, uint64_t attempt, const std::string &target,
		     uint64_t epoch, uint64_t boot)
{
	wl_cmd_t cmd = {};

	cmd.kind = WL_CMD_TASK_ASSIGN;
	auto *assignment = static_cast<wl_assignment_t *>(
		wl_list_add(&wl_assignment_schema, &cmd.u.task_assign.assignments));
	assignment->attempt = attempt;
	assignment->epoch = epoch;
	assignment->boot = boot;
	wl_buf_set(&assignment->task, str(id));
	wl_buf_set(&assignment->target, str(target));
	return cmd;
}

wl_cmd_t task_report(const std::string &id, uint64_t attempt, const std::string &target,
		     uint64_t epoch, wl_report_kind_t kind)
{
	wl_cmd_t cmd = {};

	cmd.kind = WL_CMD_TASK_REPORT;
	auto *report = static_cast<wl_report_t *>(
		wl_list_add(&wl_report_schema, &cmd.u.task_report.reports));
	report->attempt = attempt;
	report->epoch = epoch;
	report->kind = kind;
	wl_buf_set(&report->task, str(id));
	wl_buf_set(&report->target, str(target));
	return cmd;
}

wl_cmd_t key_begin(const std::string &key, uint64_t session, uint64_t nonce)
{
	wl_cmd_t cmd = {};

	cmd.kind = WL_CMD_KEY_BEGIN;
	cmd.u.key_begin.session = session;
	cmd.u.key_begin.nonce = nonce;
	wl_buf_set(&cmd.u.key_begin.customer, WL_STR("norrlamp"));
	wl_buf_set(&cmd.u.key_begin.key, str(key));
	wl_buf_set(&cmd.u.key_begin.digest, WL_STR("d"));
	return cmd;
}

wl_cmd_t key_end(const std::string &key, uint64_t nonce, wl_verdict_t verdict,
		 const std::string &body)
{
	wl_cmd_t cmd = {};

	cmd.kind = WL_CMD_KEY_END;
	cmd.u.key_end.nonce = nonce;
	cmd.u.key_end.verdict = verdict;
	cmd.u.key_end.status = 200;
	wl_buf_set(&cmd.u.key_end.customer, WL_STR("norrlamp"));
	wl_buf_set(&cmd.u.key_end.key, str(key));
	wl_buf_set(&cmd.u.key_end.body, str(body));
	return cmd;
}

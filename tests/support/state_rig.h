#ifndef TESTS_STATE_RIG_H
#define TESTS_STATE_RIG_H

extern "C" {
#include <libwlcore/state/internal.h>
}

#include <string>

/* A replicated state with the project's task chart, and helpers that build commands. */
class StateRig
{
      public:
	explicit StateRig(wl_state_options_t options = {});
	~StateRig();
	StateRig(const StateRig &) = delete;
	StateRig &operator=(const StateRig &) = delete;

	/* Applies and releases a command; the result is valid until the next call. */
	const wl_result_t &apply(wl_cmd_t *cmd);
	std::string pack() const;
	void restore(const std::string &bytes);
	const wl_task_t *task(const std::string &id) const;

	wl_state_t *state = nullptr;
	uint64_t index = 0;
	uint64_t clock_ms = 1000;

      private:
	wl_chart_t *chart = nullptr;
	wl_result_t result = {};
};

wl_str_t str(const std::string &text);

/* Returns the JSON lists for "name:plan,name:plan" and for "name:weight,name:weight". */
std::string customers_json(const std::string &pairs);
std::string plans_json(const std::string &pairs);

wl_cmd_t list_put(wl_list_name_t list, uint64_t base, const std::string &text);
wl_cmd_t session_open(const std::string &entry, uint64_t boot, const std::string &zone = "a");
wl_cmd_t target_own(const std::string &target, uint64_t session, uint64_t from_epoch);
wl_cmd_t task_add(const std::string &customer, uint64_t nonce);
wl_cmd_t task_cancel(const std::string &customer, const std::string &id);
wl_cmd_t task_assign(const std::string &id, uint64_t attempt, const std::string &target,
		     uint64_t epoch, uint64_t boot = 0);
wl_cmd_t task_report(const std::string &id, uint64_t attempt, const std::string &target,
		     uint64_t epoch, wl_report_kind_t kind);
wl_cmd_t key_begin(const std::string &key, uint64_t session, uint64_t nonce);
wl_cmd_t key_end(const std::string &key, uint64_t nonce, wl_verdict_t verdict,
		 const std::string &body);

#endif

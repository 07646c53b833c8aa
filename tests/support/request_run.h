#ifndef TESTS_REQUEST_RUN_H
#define TESTS_REQUEST_RUN_H

#include <functional>
#include <string>
#include <vector>

#include "script.h"

extern "C" {
#include <libwlcore/request/request.h>
}

/*
 * One entry's request part over a real ledger, view and session, driven by
 * events.  What it asks for is printed, a line for each action.
 */
class RequestRun
{
      public:
	RequestRun();
	~RequestRun();
	RequestRun(const RequestRun &) = delete;
	RequestRun &operator=(const RequestRun &) = delete;

	/* Makes the part; lists, targets and members may be set before and after. */
	void start();

	void lists(const std::string &customers, const std::string &plans);
	void members(const std::vector<std::string> &names);
	void target(const std::string &name, const std::string &service, const std::string &zone,
		    uint64_t slots);
	void call(uint64_t id, const std::string &method, const std::string &path,
		  const std::vector<std::pair<std::string, std::string>> &headers,
		  const std::string &body);
	void fetched(uint64_t id, uint64_t status, bool sent, bool whole, bool refused,
		     const std::string &body, uint64_t took_ms);
	void step(wl_event_t *event);
	void tick();
	uint64_t counter(const std::string &name, const std::string &labels);

	std::vector<std::string> lines; /* of the newest steps; whoever prints them clears them */
	std::vector<uint64_t> fetches;	/* ids, in order */
	std::vector<std::string> fetched_from; /* their targets */
	uint64_t now_ns = 0;
	wl_request_options_t options = {};
	wl_ledger_t ledger = {};
	wl_view_t view = {};
	wl_session_t session = {};
	wl_metrics_t metrics = {};
	wl_requests_t *requests = nullptr;
	std::vector<std::string> owner_calls; /* room asked for, requests observed */
	bool show_rooms = false;
	std::function<void(const wl_action_t *)> on_action; /* sees each action, if set */

      private:
	void take(const wl_out_t *out);
	void print_send(const wl_action_t *action);
};

#endif

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
 * The request part of one entry with a real ledger, view and session, driven by
 * events.  Each action that it returns is printed as a line.
 */
class RequestRun
{
      public:
	RequestRun();
	~RequestRun();
	RequestRun(const RequestRun &) = delete;
	RequestRun &operator=(const RequestRun &) = delete;

	/* Creates the part.  Lists, targets and members may be set before and after. */
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

	std::vector<std::string> lines; /* output of the latest steps; the reader clears it */
	std::vector<uint64_t> fetches;	/* ids in order of sending */
	std::vector<std::string> fetched_from; /* the targets of @fetches */
	uint64_t now_ns = 0;
	wl_request_options_t options = {};
	wl_ledger_t ledger = {};
	wl_view_t view = {};
	wl_session_t session = {};
	wl_metrics_t metrics = {};
	wl_requests_t *requests = nullptr;
	std::vector<std::string> owner_calls; /* calls to the owner part */
	bool show_capacity = false;
	std::function<void(const wl_action_t *)> on_action; /* if set, replaces @lines */

      private:
	void handle_actions(const wl_out_t *out);
	void print_send(const wl_action_t *action);
};

#endif

#ifndef TESTS_OWNER_RUN_H
#define TESTS_OWNER_RUN_H

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/script.h"

extern "C" {
#include <libwlcore/owner/owner.h>

#include "fake.h"
}

static const uint64_t MS = 1000000;
static const uint64_t ANNOUNCE_MS = 1000;

inline wl_str_t str(const std::string &text)
{
	return {text.data(), text.size()};
}

inline std::string text(const wl_buf_t &buf)
{
	return std::string(buf.at ? buf.at : "", buf.len);
}

/* The owner part of one entry, with its ledger, view and session. */
struct OwnerEntry {
	std::string name;
	wl_ledger_t ledger;
	wl_view_t view;
	wl_session_t session;
	wl_metrics_t metrics;
	wl_owner_t *owner = nullptr;
	uint64_t owners_index = 0;
	bool alive = true;
};

/* A command to a target that was not delivered yet. */
struct OwnerCommand {
	std::string entry;
	std::string target;
	std::string path;
	std::string body;
	uint64_t id;
};

/*
 * Runs the owner parts of several entries against fake targets.  The script acts
 * as the leader and as the network between them.
 */
class OwnerRun
{
      public:
	explicit OwnerRun(const wl_chart_t *chart);
	~OwnerRun();
	void run(const std::string &path);

      private:
	using Words = Script::Words;

	OwnerEntry &entry(const std::string &name);
	fake_t *fake(const std::string &name);
	void add_entry(const Words &words);
	void add_target(const Words &words);
	void session(const Words &words);
	void grant(const Words &words);
	void announce(const Words &words);
	void deliver(const Words &words);
	void assign(const Words &words);
	void stop(const Words &words);
	void fault(const Words &words);
	void request(const Words &words);
	void call(const Words &words);
	void serve(const Words &words);
	void served(const Words &words);
	void show(const Words &words);
	void pass(const Words &words);
	void release(const Words &words);

	void step(OwnerEntry &entry, wl_event_t *event);
	void act(OwnerEntry &entry, wl_out_t *out);
	void take_fetch(OwnerEntry &entry, const wl_fetch_t &fetch);
	void take_report(OwnerEntry &entry, const wl_msg_report_t &report);
	void take_offer(OwnerEntry &entry, const wl_msg_offer_t &offer);
	void execute(const OwnerCommand &command, bool answer);
	void ended(const std::string &entry, uint64_t id, bool sent, uint64_t status,
		   const std::string &body);
	void send_announce(const std::string &target, const std::string &to);
	void check();
	const std::string &address_of(const std::string &target);
	std::string target_at(const std::string &address) const;

	Script script;
	const wl_chart_t *chart;
	std::map<std::string, std::unique_ptr<OwnerEntry>> entries;
	std::map<std::string, fake_t *> fakes;
	std::map<std::string, std::string> announces; /* target to the entry it announces to */
	std::map<std::string, uint64_t> announced_ns;
	std::map<std::string, wl_announce_t> kept; /* announces by name, for later delivery */
	std::map<std::string, std::string> links;  /* "entry target" to mode */
	std::deque<OwnerCommand> held;
	std::set<std::string> printed; /* reports, each printed once */
	std::set<std::string> trace;   /* optional output: log, offer, renew */
	std::map<std::string, uint64_t> counts;
	std::vector<std::string> problems;
	wl_list_t services = {};
	std::deque<std::string> names;
	std::map<std::string, std::string> addresses; /* of targets, by name */
	uint64_t next_request = 1;
	bool commits = true;
	std::deque<std::pair<std::string, wl_reported_row_t>> committed;
};

#endif

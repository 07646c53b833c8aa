#ifndef TESTS_CLUSTER_H
#define TESTS_CLUSTER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "process.h"
#include "relay.h"

/* How an HTTP call of a test ended. */
struct Answer {
	bool whole = false;
	bool sent = false;
	uint64_t status = 0;
	std::string verdict;
	std::string etag;
	std::string body;
	std::string error;

	/* A value by its path: "tasks.0.state"; empty if there is none. */
	std::string at(const std::string &path) const;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

Answer http(const std::string &address, const std::string &method, const std::string &path,
	    const std::string &body = "", const Headers &headers = {}, uint64_t timeout_ms = 10000);

/* Tries until true; false once the time is over. */
bool eventually(const std::function<bool()> &is_so, int timeout_ms = 30000);

struct ClusterOptions {
	int stores = 3;	 /* store and entry */
	int entries = 2; /* entry only */
	int targets = 2;
	bool relay_target = false; /* one target, which the daemons reach through target_relay */
	std::vector<std::string> daemon_args;
	std::vector<std::string> target_args;
};

/* One daemon; other daemons reach it through its relay only. */
struct Member {
	std::string name;
	bool store = false;
	std::string folder;
	Process process;
	std::unique_ptr<Relay> relay;
	uint16_t caller = 0;
	uint16_t control = 0;
	uint16_t peer = 0;
	uint16_t metrics = 0; /* with --metrics-listen */

	std::string caller_address() const
	{
		return "127.0.0.1:" + std::to_string(caller);
	}
	std::string control_address() const
	{
		return "127.0.0.1:" + std::to_string(control);
	}
};

/* Daemons, fake targets and the relays between the daemons; all end with the object. */
class Cluster
{
      public:
	explicit Cluster(const ClusterOptions &options = {});
	~Cluster();

	/* Waits until every daemon is ready, the lists are in force and each target is open. */
	void begin();
	void start(Member &member);
	void start_targets();
	bool all_ready();

	Answer operate(Member &member, const std::string &method, const std::string &path,
		       const std::string &body = "", const Headers &more = {});
	Answer request(Member &member, const std::string &id, const std::string &method = "GET",
		       const Headers &more = {}, uint64_t timeout_ms = 10000);
	/* PUTs a list made from the version that is current. */
	Answer put(Member &member, const std::string &list, const std::string &json);
	/* Any status of a daemon that answers. */
	Answer status();
	Member *leader();
	size_t open_targets();

	/* Cuts a daemon off from the others, in silence, until it is healed. */
	void cut_off(Member &member);
	void heal();

	/* How often the targets began a request of this id. */
	int runs(const std::string &id) const;
	std::string record() const;
	/* The ends of all logs, for a failed test. */
	std::string logs() const;

	std::string folder;
	std::vector<std::unique_ptr<Member>> members;
	Process targets;
	std::unique_ptr<Relay> target_relay;

      private:
	void check_end(Member &member);
	std::vector<std::string> arguments(const Member &member) const;

	ClusterOptions options;
	std::string store_peers;
};

#endif

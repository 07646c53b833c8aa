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

/* Outcome of an HTTP call made by a test. */
struct Answer {
	bool complete = false; /* the complete response was received */
	bool sent = false;
	uint64_t status = 0;
	std::string verdict;
	std::string etag;
	std::string body;
	std::string error;

	/* The JSON value at a path such as "tasks.0.state"; empty if it does not exist. */
	std::string at(const std::string &path) const;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

Answer http(const std::string &address, const std::string &method, const std::string &path,
	    const std::string &body = "", const Headers &headers = {}, uint64_t timeout_ms = 10000);

/* Polls a condition until it holds; returns false after the timeout. */
bool eventually(const std::function<bool()> &condition, int timeout_ms = 30000);

struct ClusterOptions {
	int stores = 3;	 /* daemons with the roles store and entry */
	int entries = 2; /* daemons with the role entry only */
	int targets = 2;
	bool relay_target = false; /* one target, which the daemons reach through target_relay */
	std::vector<std::string> daemon_args;
	std::vector<std::string> target_args;
};

/* One daemon. Other daemons connect to it only through its relay, which can inject faults. */
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

/* Daemons, fake targets and the relays between the daemons; the destructor stops all of them. */
class Cluster
{
      public:
	explicit Cluster(const ClusterOptions &options = {});
	~Cluster();

	/* Starts everything; waits until all daemons are ready, the lists are in force and all
	 * targets are open. */
	void begin();
	void start(Member &member);
	void start_targets();
	bool all_ready();

	/* Calls the control listener of a daemon with the operator token. */
	Answer operator_call(Member &member, const std::string &method, const std::string &path,
			     const std::string &body = "", const Headers &more = {});
	Answer request(Member &member, const std::string &id, const std::string &method = "GET",
		       const Headers &more = {}, uint64_t timeout_ms = 10000);
	/* PUTs a configuration list with its current version in If-Match. */
	Answer list_put(Member &member, const std::string &list, const std::string &json);
	/* The status from the first daemon that answers. */
	Answer status();
	Member *leader();
	size_t open_targets();

	/* Holds all traffic between a daemon and the others until heal(). Connections stay open. */
	void partition(Member &member);
	void heal();

	/* The number of times that targets started the request with this id. */
	int request_runs(const std::string &id) const;
	/* The contents of the targets' record file. */
	std::string record_text() const;
	/* The last part of every log, printed when a test fails. */
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

#ifndef TESTS_FLEET_H
#define TESTS_FLEET_H

#include "fleet_record.h"
#include "fleet_replica.h"
#include "fleet_target.h"
#include "timeline.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/*
 * CPU time that a leader spends on a start: 250 to 370 us in total, 29 to 70 us of it on
 * decisions (docs/CAPACITY.md).
 */
static const uint64_t FLEET_CALL_CPU_NS = 250000;
static const uint64_t FLEET_EVENT_CPU_NS = 20000;
static const uint64_t FLEET_CPU_PERMILLE = 320; /* of a core, available on a replica's machine */

/* Size and load of a simulated fleet; rates are jobs in 1,000 s. */
struct FleetOptions {
	uint64_t seed = 1;
	size_t targets = 350;
	uint64_t short_jobs_per_ks = 14400; /* 1.6 steps of tasks of 0.54 s */
	uint64_t short_width = 10;	    /* tasks of a step */
	uint64_t long_jobs_per_ks = 10400;  /* 2 steps of tasks of 2.3 s */
	uint64_t long_width = 20;
	/* jobs of tasks that run until they fail, submitted before all others */
	uint64_t lasting_jobs = 114;
	uint64_t lasting_width = 14;
	uint64_t lasting_failures = 20;	  /* number of failures among their tasks */
	uint64_t cancel_percent = 0;	  /* of the jobs */
	uint64_t cancel_within_ms = 6000; /* after the submission */
	std::string dispatch;		  /* policy that chooses the replica that sends an order */
	uint64_t load_ms = 20000;
	uint64_t drain_ms = 14000; /* time after the load in which its tasks end */
	FleetCosts costs = {FLEET_EVENT_CPU_NS * 1000 / FLEET_CPU_PERMILLE,
			    FLEET_CALL_CPU_NS * 1000 / FLEET_CPU_PERMILLE};
};

/*
 * Five replicas, targets and callers on one simulated network. A simulation is determined
 * by its options: it uses no clock, thread or socket of the machine.
 */
class Fleet
{
      public:
	explicit Fleet(const FleetOptions &fleet_options);

	void simulate();
	void at(uint64_t load_ms, std::function<void()> what);

	FleetReplica *leader();
	FleetReplica *follower(size_t place = 0);
	void kill(FleetReplica *replica);
	void restart_target(size_t index, uint64_t down_ms);
	void stall_messages_to(const FleetReplica *replica, uint64_t ms);
	/* Delays all messages between a replica and the others. */
	void cut(const FleetReplica *replica, uint64_t ms);
	void stall_link(const FleetReplica *one, const FleetReplica *other, uint64_t ms);

	std::string summary() const;

	Timeline time;
	FleetRecord record;
	std::vector<std::unique_ptr<FleetReplica>> replicas;
	std::function<void(const FleetReplica &replica, const std::string &line)> on_log;

      private:
	using Answer = std::function<void(uint64_t status, const std::string &body)>;

	struct Job {
		std::string id;
		std::string queue;
		std::string body;
		std::vector<uint64_t> widths;
		bool lasting;
		uint64_t attempts = 0;
		bool given_up = false; /* by its caller, who cancels it */
	};

	void replica_add(size_t place);
	FleetReplica *find(const std::string &name);
	void connect();
	void send(const std::string &from, const std::string &to, const std::string &bytes);
	void deliver(const std::string &from, const std::string &to, const std::string &bytes);
	void link(const std::string &of, const std::string &with, wl_event_kind_t kind);
	void call_target(const std::string &from, const FleetCall &call);
	void call_ended(const std::string &from, uint64_t id, uint64_t status,
			const std::string &body);
	void request(size_t place, wl_listener_t listener, const std::string &path,
		     const std::string &body, uint64_t timeout_ms, const Answer &answer,
		     const char *method = "POST");
	void request_answered(uint64_t call, uint64_t status, const std::string &body);
	size_t any_replica();
	void configure();
	void report(FleetTarget &target);
	void report_answered(FleetTarget &target, uint64_t status, const std::string &body);
	uint64_t random_load_time();
	void load();
	void load_job(const char *queue, uint64_t widths, uint64_t width, const char *spec,
		      uint64_t due_ns);
	void submit(const std::shared_ptr<Job> &job);
	void cancel(const std::shared_ptr<Job> &job);
	void fail_lasting(size_t target);

	const FleetOptions options;
	std::mt19937_64 random;
	std::vector<std::string> names;
	std::vector<std::unique_ptr<FleetTarget>> targets;
	std::map<std::pair<std::string, uint64_t>, bool> waiting; /* calls in flight, by replica */
	std::map<uint64_t, Answer> requests;			  /* by call */
	std::map<std::pair<std::string, std::string>, uint64_t> stalled_until_ns;
	uint64_t next_call = 1;
	uint64_t next_job = 1;
};

#endif

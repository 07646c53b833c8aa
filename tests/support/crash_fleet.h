#ifndef TESTS_CRASH_FLEET_H
#define TESTS_CRASH_FLEET_H

#include "sched_rig.h"

#include <functional>
#include <map>
#include <random>

struct CrashFleetOptions {
	size_t targets = 48;
	size_t racks = 6;
	size_t zones = 3;
	uint64_t cpu_millis = 32000;
	unsigned int seed = 1;
	/* orders to a target without power time out; otherwise they fail at once */
	bool silent_power_loss = false;
	bool guards = false;	       /* targets refuse work that exceeds their capacity */
	uint64_t stop_ms = 0;	       /* that a run takes to stop */
	uint64_t lost_percent = 0;     /* of the answers to starts and stops */
	uint64_t commit_percent = 100; /* chance that the log commits in a tick */
	uint64_t back_ms = 3300;       /* that a crashed target is down */
};

/* A job and what became of it. */
struct FleetJob {
	uint64_t work_ms; /* of each task; 0: lasting */
	uint64_t cpu_millis;
	bool gang;
	bool guilty; /* one of its tasks crashes its targets */
	uint64_t submitted_ns;
	uint64_t ended_ns; /* 0: it has not ended */
	std::string state;
};

/* A task that crashes its targets. */
struct GuiltyTask {
	size_t starts = 0;
	size_t crashes = 0; /* of targets while it was there */
	size_t starts_after_third = 0;
};

/*
 * Targets on a scheduler rig that keep leases, list their runs and ends, and report once a second.
 * A guilty task crashes its target CRASH_MS after it started there, which ends everything there.
 * A crashed target is back after some seconds, with its id or with another one.
 */
class CrashFleet
{
      public:
	static constexpr uint64_t MS = 1000000;
	static constexpr uint64_t TICK_MS = 10;
	static constexpr uint64_t CRASH_MS = 20;
	static constexpr uint64_t BACK_MS = 3300; /* as by default */
	static constexpr uint64_t REPORT_MS = 1000;
	static constexpr size_t CRASHES_MAX = 3; /* under a guilty task */

	/* A position in a rack, with the target that is there. */
	struct Machine {
		std::string id;
		std::string address;
		std::string rack;
		std::string zone;
		uint64_t cpu_millis;
		uint64_t known_cpu_millis; /* as the leader was told; 0: not yet */
		uint64_t incarnation;
		bool up;
		uint64_t back_ns;     /* down: when it is back */
		uint64_t cut_ns;      /* not reachable until then */
		uint64_t crash_ns;    /* when it will crash; 0: it will not */
		uint64_t silent_ns;   /* orders time out until then */
		uint64_t reported_ns; /* newest report */
		bool draining;
		uint64_t crashes;
	};

	explicit CrashFleet(const CrashFleetOptions &options);
	~CrashFleet();
	CrashFleet(const CrashFleet &) = delete;
	CrashFleet &operator=(const CrashFleet &) = delete;

	/* Prepares a job of steps that follow each other; submit() sends it. */
	wl_step_spec_t *job(const std::string &id, const std::vector<uint64_t> &counts,
			    uint64_t work_ms, uint64_t cpu_millis = 1000);
	void submit(const std::vector<std::string> &guilty_tasks = {});
	void simulate(uint64_t ms);
	/* Return: whether all jobs but the lasting ones ended within the time. */
	bool simulate_until_ended(uint64_t limit_ms);
	void leader_change(uint64_t gap_ms, uint64_t term);

	void power_off(const std::function<bool(const Machine &)> &which, uint64_t down_ms);
	/* The target reports its new capacity at once. */
	void resize(size_t machine, uint64_t cpu_millis);
	uint64_t used_cpu(size_t machine) const;
	void cut(size_t machine, uint64_t ms);
	void depart(size_t machine, uint64_t exit_ms, uint64_t down_ms);
	/* Return: the machine on which a task runs; -1: none */
	long machine_of(const std::string &task) const;
	size_t running(const std::string &job) const;
	size_t ended(const std::string &state) const;

	SchedRig rig;
	std::vector<Machine> machines;
	std::map<std::string, FleetJob> jobs;
	std::map<std::string, GuiltyTask> guilty;
	size_t starts = 0;
	size_t starts_over = 0;		  /* of a capacity that the leader was told */
	size_t crashes = 0;		  /* by guilty tasks */
	uint64_t interrupted_max_ms = 0;  /* longest time without a run of a lasting task */
	std::vector<std::string> history; /* starts of guilty tasks and crashes */

      private:
	struct Run {
		SchedOrder start;
		uint64_t end_ns; /* 0: open */
		wl_run_outcome_t how;
		uint64_t lease_ms;
		uint64_t began_ns;
	};

	struct End {
		uint64_t number;
		SchedOrder start;
		wl_run_outcome_t how;
	};

	/* What a target has beside its machine. */
	struct Work {
		std::vector<Run> runs;
		std::vector<End> ends; /* not acknowledged */
		uint64_t newest_end = 0;
		uint64_t newest_listed_end = 0;
		std::vector<SchedOrder> renewals;
		std::vector<uint64_t> renewals_ns;
		std::vector<SchedOrder> unanswered; /* starts */
	};

	static std::string job_of(const std::string &task);
	static uint64_t index_of(const std::string &task);
	uint64_t clock_ms() const;
	void target_begin(size_t at, const std::string &id);
	void target_report(size_t at);
	void target_down(size_t at, uint64_t down_ms, bool silent);
	void target_step(size_t at);
	void crash(size_t at);
	void orders_take();
	void order_take(const SchedOrder &order);
	void start_take(size_t at, const SchedOrder &order);
	void stop_take(size_t at, const SchedOrder &order);
	void done(const SchedOrder &order);
	void renewal_take(size_t at, const SchedOrder &order);
	bool has_room(size_t at, const SchedOrder &order);
	void renewals_answer(size_t at);
	void renewal_answer(size_t at, const SchedOrder &renewal);
	void fail_later(const SchedOrder &order);
	void run_end(size_t at, size_t run, wl_run_outcome_t how);
	void run_gone(const Run &run, bool done);
	void gang_update(const SchedOrder &start);
	void gang_break(const Run &run);
	void jobs_look();
	void history_add(const std::string &text);

	CrashFleetOptions options;
	std::mt19937 random;
	std::vector<Work> work;
	std::map<std::string, size_t> machine_by_id; /* ids of former targets too */
	std::map<std::string, size_t> running_tasks;
	std::map<std::string, uint64_t> interrupted_since;
	std::multimap<uint64_t, SchedOrder> failing; /* orders that time out, by when */
	std::map<std::string, uint64_t> step_sizes;  /* of gangs */
	std::string next_job;
	FleetJob next = {};
	uint64_t next_incarnation = 1;
	bool leading = true;
};

#endif

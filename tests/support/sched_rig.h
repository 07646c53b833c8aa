#ifndef TESTS_SCHED_RIG_H
#define TESTS_SCHED_RIG_H

extern "C" {
#include <libwlcore/sched/sched.h>
#include <libwlcore/state/state.h>
}

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

/* An order of the scheduler, which the test may answer. */
struct SchedOrder {
	std::string agent; /* replica that is to send it */
	uint64_t id;
	wl_order_kind_t kind;
	std::string runner;
	std::string address;
	std::string task; /* JOB.OCCURRENCE.STEP.INDEX */
	uint64_t run;
	uint64_t epoch;
	uint64_t lease_ms;
	uint64_t seen;
	uint64_t percent;
	uint64_t wait_ms;
	uint64_t timeout_ms;
	std::string checkpoint;
	uint64_t send_by_ms; /* on the agent's clock */
};

/* A queue of the configuration. */
struct SchedRoute {
	std::string name;
	std::string host;
	std::string prefix;
	std::string service;
	uint64_t max_attempts = 0; /* 0: the default */
};

/* The newest answer to a call of a daemon. */
struct SchedResult {
	uint64_t code; /* wl_code_t */
	uint64_t state;
	bool is_queue;
	uint64_t pending;
	std::string text;
	uint64_t retry_ms;
	uint64_t verdict; /* wl_verdict_t */
	uint64_t index;
};

/*
 * A scheduler with real job state. The test simulates the log (proposals are pending until
 * commit() or drop()), the targets (orders are pending until they are answered) and the
 * clock.
 */
class SchedRig
{
      public:
	/*
	 * @acceptance: policy of this name; empty: the default
	 * @cost_clock_ns: as in wl_sched_options_t
	 */
	explicit SchedRig(const std::string &acceptance = "",
			  uint64_t (*cost_clock_ns)(void) = nullptr);
	~SchedRig();
	SchedRig(const SchedRig &) = delete;
	SchedRig &operator=(const SchedRig &) = delete;

	void configure(const std::string &queue, uint64_t priority = 0, uint64_t max_attempts = 3);
	/* Replaces all queues. */
	void routes(const std::vector<SchedRoute> &list);
	void runner(const std::string &id, uint64_t cpu_millis = 32000, uint64_t life = 1,
		    const std::string &rack = "r1", bool draining = false);
	void runner_left(const std::string &id, uint64_t life = 0);
	void evacuate(const std::string &availability_zone, bool withdrawn = false);
	/* Calls of daemons that were answered since the last look. */
	size_t take_results();
	wl_step_spec_t *job(const std::string &queue, const std::string &id,
			    const std::vector<uint64_t> &counts, const std::string &payload = "");
	/* Makes the prepared job repeat, from now on. */
	void repeat(uint64_t times, uint64_t every_ms);
	/* Sends the prepared job. Return: the number of the call, as for commands. */
	uint64_t submit();
	uint64_t cancel(const std::string &queue, const std::string &id);
	SchedResult query(const std::string &path);
	uint64_t zone_basis(const std::string &availability_zone);
	/* Replaces the state by its own snapshot. The replica must not lead. */
	void reload();
	uint64_t run_command(wl_cmd_t *cmd);
	/* Sends a command of the daemon e1 without a commit. Return: the number of the call. */
	uint64_t send_command(wl_cmd_t *cmd);
	void message(wl_msg_kind_t kind);

	void advance(uint64_t ms);
	void tick();
	size_t commit(size_t max = SIZE_MAX);
	void drop();
	void lead(uint64_t term);
	/* Of the pending proposals, the first ones may still be committed, by the next leader. */
	void follow(size_t committed = 0);

	std::vector<SchedOrder> take_orders(wl_order_kind_t kind);
	/* Lets time pass, up to 3 s, until a renewal is sent. */
	SchedOrder next_renewal();
	void answer(const SchedOrder &order, wl_order_outcome_t outcome);
	void answer_hold(const SchedOrder &order, const std::vector<wl_run_view_t> &runs,
			 const std::vector<wl_end_view_t> &ends, uint64_t life = 1);
	/* Lets the agent that has the order send its result, with the clock that it names. */
	void complete(const SchedOrder &order, wl_order_end_t *end);
	static wl_run_view_t view(const SchedOrder &start, uint64_t load = 0);
	static wl_end_view_t end(const SchedOrder &start, uint64_t number, wl_run_outcome_t how);

	/* Value of a metric's line "NAME{LABELS}"; empty if there is no such line. */
	std::string metric(const std::string &line) const;
	/* These answer at once when they are asked for their clocks, unless they are in silent. */
	void agents(const std::vector<std::string> &names);
	void link_down(const std::string &name);
	/* An agent has answered an unchanged report of a target and forwards it to the leader. */
	void report_forwarded(const std::string &agent, const std::string &runner,
			      uint64_t life = 1);

	uint64_t agent_clock_ms(const std::string &agent) const;
	std::string job_state(const std::string &id) const;
	const wl_job_t *find(const std::string &id) const;

	uint64_t now = 1000000000;
	uint64_t clock_offset_ms = 5000;     /* how far every target's clock is ahead of ours */
	std::string address = "10.0.0.1:80"; /* of the targets that report next */
	uint64_t memory_mib = 1000000;	     /* of these targets */
	std::string service = "sort";	     /* of these targets, and of queues configured next */
	std::string host;		     /* of the calls that follow */
	SchedResult newest = {};	     /* of the newest call */
	bool hold_commits = false;	     /* commands stay pending until commit() */
	std::string zone;		     /* of these targets */
	uint64_t warmup_ms = 0;		     /* as these targets report next */
	uint64_t objective_ms = 0;	     /* for the queues that are configured next */
	uint64_t slack_millis = 0;
	std::deque<SchedOrder> orders;
	std::vector<wl_msg_kind_t> sent;    /* to other daemons */
	std::vector<uint64_t> answered;	    /* calls of daemons, by number */
	std::map<uint64_t, uint64_t> codes; /* wl_code_t of these */
	/* daemons whose send queue is full: orders for them are rejected */
	std::set<std::string> full_queues;
	std::set<std::string> silent; /* agents */
	/*
	 * Targets without runs answer the first renewal of each incarnation, and these are not in
	 * orders.
	 */
	bool first_renewals_answered = true;
	uint64_t agent_offset_ms = 70000; /* how far the clocks of other replicas are ahead */
	size_t sent_bytes_max = 0;	  /* the longest of these, encoded */
	std::vector<std::string> log;
	std::string report_to; /* as named by the newest answer to a report */
	wl_state_t *state = nullptr;
	wl_jobs_t *jobs = nullptr;

      private:
	SchedResult ask(wl_query_kind_t kind, const std::string &name);
	void step(wl_event_t *event);
	void out_take(wl_out_t *out);
	void agent_clock(const std::string &agent);
	bool first_renewal_answer(const SchedOrder &order);
	void message_take(const wl_action_t &action);
	void orders_reject(const wl_action_t &action);
	void order_end(const SchedOrder &order, wl_order_end_t *end);

	wl_chart_t *chart = nullptr;
	wl_leader_t *leader = nullptr;
	wl_sched_t *sched = nullptr;
	wl_metrics_t metrics;
	std::deque<std::pair<uint64_t, wl_cmd_t>> proposed;
	std::deque<wl_event_t> rejected; /* answers of the daemon and of agents, not sent yet */
	std::map<std::string, uint64_t> epochs; /* highest one of the orders to each target */
	wl_cmd_t next_job = {};
	uint64_t index = 0;
	uint64_t elected_index = 0; /* of the newest command when the leader was elected */
	uint64_t sequence = 0;
	uint64_t calls = 0;
};

#endif

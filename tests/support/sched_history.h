#ifndef TESTS_SCHED_HISTORY_H
#define TESTS_SCHED_HISTORY_H

#include "target_model.h"

#include <functional>
#include <map>
#include <memory>

/* What may go wrong in a history. */
enum HistoryFault : unsigned {
	FAULT_LATE = 1u << 0,	    /* messages and the execution of orders are late, reordered */
	FAULT_LOST = 1u << 1,	    /* messages are lost */
	FAULT_HELD = 1u << 2,	    /* agents send orders late */
	FAULT_CRASHES = 1u << 3,    /* targets crash and start again */
	FAULT_DEPARTURES = 1u << 4, /* targets drain and leave */
	FAULT_ADDRESSES = 1u << 5,  /* targets start at the addresses of others */
	FAULT_ROUTES = 1u << 6,	    /* an agent reaches another target at an address */
	FAULT_LEADERS = 1u << 7,    /* the leader changes */
	FAULT_COMMITS = 1u << 8,    /* commits are slow */
	FAULT_CUTS = 1u << 9,	    /* a target is unreachable for some seconds */
	FAULT_PAUSES = 1u << 10,    /* the leader is suspended */
	FAULTS_ALL = (1u << 11) - 1,
	FAULT_RENAMES = 1u << 11, /* versions rename the route of the jobs; in all histories */
	/* jobs are cancelled at any time, agents cut off, routes removed; in all histories */
	FAULT_CANCELS = 1u << 12,
};

/* A random history of the scheduler with modelled targets; deterministic for a seed. */
class SchedHistory
{
      public:
	/* Each of the faults is part of the history or not, as the seed decides. */
	SchedHistory(uint64_t seed, unsigned faults, bool traced = false);

	void play();

	std::string failure;	/* empty: no rule was broken */
	std::string conditions; /* of the failure: what may have led to it */
	std::vector<std::string> trace;

      private:
	struct Process {
		Process(const std::string &id, const std::string &address, uint64_t born_ms)
		    : model(id, address, born_ms)
		{
		}

		TargetModel model;
		bool up = true;
		uint64_t up_since_ns = 0;
		uint64_t cut_until_ns = 0;
		uint64_t next_report_ns = 0;
		uint64_t sequence = 0;
		bool draining = false;
		bool leaving = false;	   /* its departure was sent */
		uint64_t leave_ns = 0;	   /* when it will send its departure; 0: not known */
		uint64_t resend_ns = 0;	   /* when it sends the departure again */
		uint64_t give_up_ns = 0;   /* when it exits without an acknowledgement */
		bool misled = false;	   /* another target answered an order for it */
		bool mistaken = false;	   /* an earlier incarnation's departure arrived late */
		uint64_t disturbed_ns = 0; /* until then, orders or answers were late or lost */
	};
	using Target = std::shared_ptr<Process>;
	struct Answer {
		wl_order_outcome_t outcome = WL_ORDER_NO_ANSWER;
		bool has_clock = false;
		uint64_t clock_ms = 0;
		uint64_t incarnation = 0;
		std::vector<TargetModel::Run> runs;
		std::vector<TargetModel::End> ends;
	};
	/* An order on its way. */
	struct Call {
		SchedOrder order;
		TargetModel::Origin origin = {};
		uint64_t deadline_ns = 0;
		uint64_t received_ns = 0; /* by the agent */
		uint64_t link = 0;	  /* connections of the agent that were lost before */
		bool answered = false;
	};
	using CallRef = std::shared_ptr<Call>;
	struct Job {
		std::string id;
		std::vector<uint64_t> counts; /* tasks by step */
		bool gang;		      /* each of its steps */
		bool lasting;
		bool cancelled;
		/* with FAULT_CANCELS */
		bool submitted = false;	   /* its submission was answered */
		uint64_t submit_ns = 0;	   /* when it is sent, again without an answer */
		uint64_t cancel_ns = 0;	   /* the same of its cancelling; 0: none */
		uint64_t cancelled_ns = 0; /* when that was acknowledged; 0: not yet */
	};
	/* Runs of one step of a gang with one number. */
	struct Gang {
		std::string step;
		uint64_t run;
		uint64_t size;
		uint64_t since_ns; /* of its first member */
		uint64_t done_ns;  /* 0: not all of its members have run together */
		std::vector<std::pair<Target, std::string>> members; /* present, with their task */
	};

	/* sched_history.cc */
	uint64_t below(uint64_t bound);
	bool chance(uint64_t permille);
	bool fault(HistoryFault which, uint64_t permille);
	uint64_t delay_ns();
	void at(uint64_t when, std::function<void()> what);
	void to_leader(uint64_t when, std::function<void()> what);
	void note(const char *format, ...) __attribute__((format(printf, 2, 3)));
	void fail(const std::string &what);
	void step();
	void commits_step();
	void leader_step();
	void route_rename();
	void lead();
	void faults_end();
	void ready_targets_check();

	/* sched_history_jobs.cc */
	void job_submit();
	uint64_t job_send(const Job &job);
	void lasting_cancel();
	bool may_fail(const Job &job) const;
	bool job_settled(const Job &job) const;
	std::string unsettled() const;
	size_t runs_up(const std::string &job) const;
	bool in_gang(const std::string &task) const;
	TargetModel::Work work_of(const std::string &task);
	void gangs_step();
	void gang_step(Gang *gang);
	void gang_end(const Gang &gang, wl_run_outcome_t how);
	Gang *gang_of(const TargetModel::Run &run);

	/* sched_history_cancels.cc */
	void cancels_step();
	void calm_step();
	void route_step();
	void agent_trouble();
	void agents_step();
	void agent_cut(const std::string &agent, uint64_t ns, bool noticed);
	void agents_reached();
	void cancel_near();
	void callers_step();
	void submission_send(size_t job);
	void cancel_send(size_t job);
	bool ended(const Job &job) const;
	void start_ordered_check(const SchedOrder &order);
	void start_note(const CallRef &call, const Target &target);
	void disturb(const Target &target, uint64_t until_ns);
	uint64_t answer_delay_ns(const CallRef &call);
	bool is_calm(const Target &target) const;
	void cancels_check();
	void cancelled_run_check(const Target &target, const TargetModel::Run &run);
	bool teardown_late() const;
	void cancels_end_check();

	/* sched_history_targets.cc */
	Target spawn(const std::string &id, const std::string &address);
	Target target_at(const std::string &address) const;
	void end(const Target &target, const char *why);
	void restart(const Target &target);
	void targets_step();
	void target_step(const Target &target);
	void trouble_step(const Target &target);
	void report(const Target &target);
	void leave(const Target &target);
	void when_answered(uint64_t call, std::function<void()> what);

	/* sched_history_orders.cc */
	void orders_take();
	void agent_receive(const CallRef &call);
	void crash_count(const TargetModel &model);
	void target_receive(const CallRef &call);
	void execute(const CallRef &call, const Target &target);
	Answer carry_out(const CallRef &call, const Target &target);
	void start_check(const CallRef &call, const Target &target);
	void overlap(const CallRef &call, const Target &target, const Target &other,
		     const TargetModel::Run &run);
	void start_after_done(const CallRef &call, const Target &target, const std::string &task);
	void acknowledged_note(const CallRef &call, const Target &target);
	void hold_answer(const CallRef &call, const Target &target, uint64_t until_ns, size_t ends);
	void reply(const CallRef &call, const Answer &answer, uint64_t delay);
	void deliver(const CallRef &call, const Answer &answer);

	uint64_t random;
	unsigned faults;
	bool traced;
	bool quiet = false; /* no new faults */
	bool calm = false;  /* no new faults for a while */
	uint64_t calm_change_ns = 0;
	uint64_t disturbed_ns = 0; /* until then, something was disturbed for all targets */
	SchedRig rig;
	uint64_t begin_ns;
	uint64_t term = 1;
	bool leading = true;
	uint64_t lead_ns = 0;	/* when the next leader begins */
	uint64_t change_ns = 0; /* when the leadership ends */
	uint64_t commit_ns = 0; /* no commit before */
	uint64_t paused_until_ns = 0;
	uint64_t renames = 0;
	uint64_t next_job_ns = 0;
	std::vector<Job> jobs;
	std::vector<Gang> gangs;
	unsigned ids = 0;
	unsigned addresses = 0;
	uint64_t last_born_ms = 0;
	std::vector<Target> targets; /* those that are up */
	std::multimap<uint64_t, std::function<void()>> events;
	std::map<uint64_t, std::function<void()>> on_answer;
	std::map<std::string, uint64_t> agent_held_ns;	   /* agents that are suspended, until */
	std::map<std::string, uint64_t> agent_answered_ns; /* newest message on the link */
	std::map<std::string, uint64_t> agent_term;
	std::map<std::string, uint64_t> agent_cut_ns;  /* agents that are cut off, until */
	std::map<std::string, uint64_t> agent_lost_ns; /* when the leader notices it */
	std::map<std::string, uint64_t> agent_link;    /* connections that were lost */
	std::map<std::string, uint64_t> late_starts;   /* when late starts were carried out */
	std::string misled_agent;
	std::string misled_address;
	std::set<std::string> done;	     /* tasks whose end as done was acknowledged */
	std::set<std::string> mistaken_ends; /* those acknowledged by a hold for another life */
	std::map<std::string, uint64_t> started_ns; /* newest start of each task */
	std::map<std::string, uint64_t>
		crashes; /* of targets under each task, and its starts that did not arrive */
};

#endif

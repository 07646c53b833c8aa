#ifndef TESTS_TARGET_MODEL_H
#define TESTS_TARGET_MODEL_H

#include "sched_rig.h"

/* One incarnation of a target: its clock, leases, runs and ends, as the protocol has them. */
class TargetModel
{
      public:
	/* What the leader that sent an order was and knew. */
	struct Origin {
		uint64_t term;
		uint64_t life; /* incarnation of the target */
	};
	struct Run {
		std::string task;
		uint64_t run;
		uint64_t done_ns; /* when its work is done */
		uint64_t stop_ns; /* when a stop takes effect; 0: none was ordered */
		bool fails;
		Origin origin; /* of its start */
	};
	struct End {
		uint64_t number;
		std::string task;
		uint64_t run;
		wl_run_outcome_t outcome;
		uint64_t ended_ns;
		bool lapsed; /* the lease of the target has expired since */
	};
	struct Work {
		uint64_t duration_ns;
		bool fails;
	};

	TargetModel(const std::string &id, const std::string &address, uint64_t born_ms);

	/* The clock is slow by so many thousandths. */
	void boot(uint64_t now, uint64_t clock_ms, uint64_t slow_permille);
	uint64_t clock_ms(uint64_t now) const;

	/* Ends the runs that are done, stopped or without a lease by now. */
	void advance(uint64_t now);

	/* Ends a run at once, as the members of a gang do together. */
	void end(uint64_t now, const std::string &task, wl_run_outcome_t how);

	/* Orders are carried out after advance(). */
	wl_order_outcome_t start(uint64_t now, const SchedOrder &order, const Origin &origin,
				 const Work &work);
	wl_order_outcome_t stop(const SchedOrder &order, uint64_t effect_ns);
	wl_order_outcome_t hold(uint64_t now, const SchedOrder &order, const Origin &origin);

	const Run *find(const std::string &task) const;
	std::string id;
	std::string address;
	uint64_t born_ms;
	uint64_t epoch = 0;
	uint64_t lease_until_ms = 0;
	Origin lease_origin = {};
	std::vector<Run> runs;
	std::vector<End> ends; /* not acknowledged */

      private:
	void lease(uint64_t now, const SchedOrder &order, const Origin &origin);
	bool fenced(const SchedOrder &order);
	bool barred(const SchedOrder &order) const;
	void bar(const std::string &task, uint64_t run);

	uint64_t boot_ns = 0;
	uint64_t boot_clock_ms = 0;
	uint64_t rate_permille = 1000;
	uint64_t last_end = 0;
	std::vector<std::pair<std::string, uint64_t>> bars; /* highest run stopped or ended */
};

#endif

#ifndef TESTS_FLEET_RECORD_H
#define TESTS_FLEET_RECORD_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/* Events of a simulated fleet, as seen by callers and targets. */
class FleetRecord
{
      public:
	void job_accepted(const std::string &job, const std::vector<uint64_t> &widths, bool lasting,
			  uint64_t now_ns);
	void run_began(const std::string &task, uint64_t now_ns);
	void run_ended(const std::string &task, const std::string &how, uint64_t now_ns);
	void end_seen(const std::string &task, const std::string &how);
	void cpu_used(int64_t change_millis);
	/* A replica or target is disturbed until then. */
	void disturbed(uint64_t until_ns);
	void job_cancelled(const std::string &job, uint64_t now_ns);
	void close(uint64_t now_ns);

	uint64_t longest_gap_ms() const;
	size_t tasks_left() const;
	uint64_t starts() const;
	uint64_t calls() const;
	uint64_t calls_max() const;
	std::string summary() const;

	/* A job whose cancelling was acknowledged. */
	struct Cancelled {
		uint64_t at_ns = 0;
		size_t running = 0;	 /* tasks on targets */
		size_t running_then = 0; /* at the acknowledgement */
		size_t began = 0;	 /* after the acknowledgement */
		uint64_t last_ns = 0;	 /* newest time with a task on a target; 0: none since */
		bool disturbed = false;	 /* shortly before the acknowledgement */
	};

	std::map<std::string, Cancelled> cancelled;

	uint64_t starts_begun = 0;
	uint64_t starts_late = 0;    /* refused because the lease had expired */
	uint64_t starts_refused = 0; /* refused for any other reason */
	uint64_t starts_unsent = 0;  /* cancelled before anything of them was sent */
	uint64_t lapsed = 0;	     /* runs that the target ended because its lease expired */
	uint64_t twice = 0;	     /* starts of a task while another run of it was active */
	uint64_t after_done = 0;     /* starts of a task after its completion was acknowledged */
	/* orders of an earlier leader with a lease that ends later than its successor assumes */
	uint64_t leases_beyond = 0;
	uint64_t jobs_refused = 0; /* jobs refused at every attempt */
	uint64_t lasting_failed = 0;
	uint64_t used_millis = 0;
	uint64_t used_max_millis = 0;
	uint64_t capacity_millis = 0;
	uint64_t epoch = 0;			  /* of the newest leadership */
	uint64_t led_ns = 0;			  /* since when */
	std::map<std::string, uint64_t> calls_of; /* calls to targets, by replica */

      private:
	struct Task {
		bool accepted = false;
		bool lasting = false;
		bool done = false;
		bool done_seen = false;
		uint64_t running = 0;
		uint64_t idle_ns = 0; /* since when it has no run */
		uint64_t gap_ns = 0;
	};

	static void gap_end(Task &task, uint64_t now_ns);
	Cancelled *cancelled_find(const std::string &task);

	std::map<std::string, Task> tasks;
	uint64_t disturbed_until_ns = 0;
};

#endif

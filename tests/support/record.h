#ifndef TESTS_RECORD_H
#define TESTS_RECORD_H

#include <map>
#include <string>
#include <vector>

/* The event record of the fake targets: one line per event, sorted by time. */
class Record
{
      public:
	using Line = std::map<std::string, std::string>;

	explicit Record(const std::string &text);

	/* Number of starts by request id or by task. */
	std::map<std::string, int> begun(const std::string &event, const std::string &key) const;
	/* Tasks that ran on two targets at the same time. */
	std::vector<std::string> overlaps() const;
	/* Events at which a target's load exceeded its capacity. */
	std::vector<std::string> over_capacity(uint64_t slots, uint64_t cpu_millis,
					       uint64_t memory_mib) const;
	/* Number of times each task ended in this state. */
	std::map<std::string, int> ended(const std::string &state) const;
	/* Number of times each task finished, not counting results lost in a crash before a rerun.
	 */
	std::map<std::string, int> finished() const;

	std::vector<Line> lines;
};

#endif

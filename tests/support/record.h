#ifndef TESTS_RECORD_H
#define TESTS_RECORD_H

#include <map>
#include <string>
#include <vector>

/* What the fake targets wrote down: one line an event, in the order of time. */
class Record
{
      public:
	using Line = std::map<std::string, std::string>;

	explicit Record(const std::string &text);

	/* How often a request of each id, or an attempt of each task, began. */
	std::map<std::string, int> begun(const std::string &event, const std::string &key) const;
	/* Tasks that ran in two places at once. */
	std::vector<std::string> overlaps() const;
	/* Lines at which a target held more than it can carry. */
	std::vector<std::string> overfull(uint64_t slots, uint64_t cpu_millis,
					  uint64_t memory_mib) const;
	/* How often each task came to its end with this state. */
	std::map<std::string, int> ended(const std::string &state) const;
	/* How often each task finished, not counting results that a crash lost before a new begin.
	 */
	std::map<std::string, int> finished() const;

	std::vector<Line> lines;
};

#endif

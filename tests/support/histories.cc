#include "histories.h"

#include <gtest/gtest.h>

namespace
{
constexpr uint64_t COUNT_DEFAULT = 2000;
constexpr size_t TRACE_SHOWN = 150;

uint64_t env_number(const char *variable, uint64_t default_value)
{
	const char *value = getenv(variable);

	return value ? strtoull(value, nullptr, 10) : default_value;
}

void failure_show(uint64_t seed, unsigned faults, size_t shown)
{
	SchedHistory history(seed, faults, true);
	std::string lines;

	history.play();
	size_t from = history.trace.size() > shown ? history.trace.size() - shown : 0;
	for (size_t i = from; i < history.trace.size(); i++)
		lines += history.trace[i] + "\n";
	ADD_FAILURE() << "seed " << seed << ": " << history.failure << "\n" << lines;
}
} // namespace

void histories_play(unsigned faults)
{
	uint64_t first = env_number("HISTORY_SEED", 1);
	uint64_t histories = env_number("HISTORIES", COUNT_DEFAULT);
	std::map<std::string, std::vector<uint64_t>> failed;
	uint64_t count = 0;

	for (uint64_t seed = first; seed < first + histories; seed++) {
		SchedHistory history(seed, faults);

		history.play();
		if (history.failure.empty())
			continue;
		if (count++ == 0)
			failure_show(seed, faults, histories == 1 ? SIZE_MAX : TRACE_SHOWN);
		failed[history.conditions].push_back(seed);
	}
	for (const auto &one : failed)
		ADD_FAILURE() << one.second.size() << " of " << histories << " failed, first seed "
			      << one.second[0] << ": " << one.first;
}

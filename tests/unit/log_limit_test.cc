extern "C" {
#include <libwlbase/log_limit.h>
#include <libwlbase/units.h>
}

#include <map>
#include <string>

#include <gtest/gtest.h>

namespace
{
constexpr uint64_t STARTS_PER_S = 2600;
constexpr uint64_t LINES_PER_S = 200;
constexpr uint64_t SECONDS = 5;

std::map<std::string, uint64_t> omissions(wl_log_limit_t *limit, uint64_t now_ns)
{
	std::map<std::string, uint64_t> found;
	wl_log_omission_t omission;

	while (wl_log_limit_report(limit, now_ns, &omission))
		found[omission.event] += omission.lines;
	return found;
}

/* The log of a busy leader is bounded, rare events are all in it, and each omitted line is counted.
 */
TEST(LogLimit, BoundsTheLinesOfABusyLeader)
{
	const wl_log_limit_options_t options = {};
	std::map<std::string, uint64_t> written;
	std::map<std::string, uint64_t> omitted;
	wl_log_limit_t limit;

	wl_log_limit_init(&limit, &options);
	for (uint64_t i = 0; i < STARTS_PER_S * SECONDS; i++) {
		uint64_t now_ns = i * WL_NS_PER_S / STARTS_PER_S;

		written["run-start"] += wl_log_limit_admit(&limit, WL_STR("run-start"), now_ns);
		written["run-end"] += wl_log_limit_admit(&limit, WL_STR("run-end"), now_ns);
		if (i % (STARTS_PER_S / 10) == 0)
			written["target-lapsed"] +=
				wl_log_limit_admit(&limit, WL_STR("target-lapsed"), now_ns);
		for (const auto &one : omissions(&limit, now_ns))
			omitted[one.first] += one.second;
	}
	for (const auto &one : omissions(&limit, SECONDS * WL_NS_PER_S))
		omitted[one.first] += one.second;

	EXPECT_EQ(written["run-start"], LINES_PER_S * SECONDS);
	EXPECT_EQ(written["run-end"], LINES_PER_S * SECONDS);
	EXPECT_EQ(written["target-lapsed"], 10 * SECONDS);
	EXPECT_EQ(omitted["run-start"], (STARTS_PER_S - LINES_PER_S) * SECONDS);
	EXPECT_EQ(omitted["run-end"], (STARTS_PER_S - LINES_PER_S) * SECONDS);
	EXPECT_EQ(omitted.count("target-lapsed"), 0u);
	wl_log_limit_free(&limit);
}

/* Event names cannot use up the memory: beyond a number they are counted together. */
TEST(LogLimit, FurtherEventsShareOneCount)
{
	const wl_log_limit_options_t options = {.lines_per_s = 1, .events_max = 2};
	wl_log_limit_t limit;

	wl_log_limit_init(&limit, &options);
	EXPECT_TRUE(wl_log_limit_admit(&limit, WL_STR("a"), 0));
	EXPECT_TRUE(wl_log_limit_admit(&limit, WL_STR("b"), 0));
	EXPECT_TRUE(wl_log_limit_admit(&limit, WL_STR("c"), 0));
	EXPECT_FALSE(wl_log_limit_admit(&limit, WL_STR("d"), 0));
	EXPECT_EQ(omissions(&limit, WL_NS_PER_S), (std::map<std::string, uint64_t>{{"other", 1}}));
	wl_log_limit_free(&limit);
}
} // namespace

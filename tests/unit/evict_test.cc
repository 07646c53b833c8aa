/* Eviction policies. */

#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include <libwlcore/owner/evict.h>
}

struct Candidate {
	const char *name;
	uint64_t memory;
	uint64_t lost_ms;
	uint64_t ran_ms;
};

static std::string choose(const char *policy, std::vector<Candidate> from, uint64_t missing,
			  uint64_t missing_slots = 0)
{
	std::vector<wl_evict_candidate_t> candidates;
	wl_need_t need = {0, missing, 0, missing_slots, 0};
	wl_err_t err = {};
	const wl_evict_policy_t *found = wl_evict_policy_find(wl_str_from(policy), &err);
	std::string chosen;

	for (auto &one : from) {
		wl_evict_candidate_t candidate = {};

		candidate.subject = const_cast<char *>(one.name);
		candidate.reserved = {0, one.memory, 0, 1, 0};
		candidate.lost_ms = one.lost_ms;
		candidate.ran_ms = one.ran_ms;
		candidates.push_back(candidate);
	}
	if (!found->choose(candidates.data(), candidates.size(), &need))
		return "none";
	for (auto &one : candidates)
		if (one.chosen)
			chosen += static_cast<const char *>(one.subject);
	return chosen;
}

static const std::vector<Candidate> work = {
	{"a", 100, 9000, 9000},
	{"b", 300, 5000, 8000},
	{"c", 200, 1000, 30000},
	{"d", 100, 4000, 4000},
};

TEST(Evict, LeastLostChoosesFewestThenLeastLostWork)
{
	EXPECT_EQ(choose("", work, 0, 1), "c");
	EXPECT_EQ(choose("", work, 100), "c");
	EXPECT_EQ(choose("", work, 250), "b");	/* one candidate rather than two */
	EXPECT_EQ(choose("", work, 400), "cb"); /* the pair that loses least */
	EXPECT_EQ(choose("", work, 700), "cdba");
	EXPECT_EQ(choose("", work, 701), "none");
	EXPECT_EQ(choose("", {}, 1), "none");
}

TEST(Evict, YoungestFirstIsTheBaseline)
{
	EXPECT_EQ(choose("youngest-first", work, 100), "d");
	EXPECT_EQ(choose("youngest-first", work, 250), "db");
	EXPECT_EQ(choose("youngest-first", work, 701), "none");
}

TEST(Evict, UnknownPolicyIsNamedInTheError)
{
	wl_err_t err = {};

	EXPECT_EQ(wl_evict_policy_find(WL_STR("oldest"), &err), nullptr);
	EXPECT_NE(std::string(err.text).find("oldest"), std::string::npos);
}

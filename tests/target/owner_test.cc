/* Runs the scripts in tests/scripts/owner: the owner part against fake targets. */

#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "owner_run.h"

class OwnerScript : public ::testing::TestWithParam<std::string>
{
};

TEST_P(OwnerScript, GivesTheExpectedOutput)
{
	std::ifstream in(std::string(PROJECT_DIR) + "/charts/target.json");
	std::stringstream text;
	wl_err_t err = {};

	text << in.rdbuf();
	std::string json = text.str();
	wl_chart_t *chart =
		wl_chart_load(&wl_target_chart_binding, {json.data(), json.size()}, &err);
	ASSERT_NE(chart, nullptr) << err.text;
	OwnerRun(chart).run(GetParam());
	wl_chart_free(chart);
}

INSTANTIATE_TEST_SUITE_P(Owner, OwnerScript, ::testing::ValuesIn(script_paths("owner")),
			 [](const auto &one) {
				 std::string name = one.param.substr(one.param.rfind('/') + 1);

				 return name.substr(0, name.size() - 4);
			 });

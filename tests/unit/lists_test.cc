extern "C" {
#include <libwlcore/model/lists.h>
}

#include <string>

#include <gtest/gtest.h>

static const char *const plans =
	R"({"plans":[{"name":"reclaim","weight":10,"services":["tube-sort"],"classes":["urgent","batch"],)"
	R"("max_concurrent":4,"requests_per_second":5,"cpu_millis":64000,"memory_mib":1024,"accelerators":4},)"
	R"({"name":"night","weight":1,"services":["booking"],"classes":["batch"],)"
	R"("max_concurrent":4,"requests_per_second":5,"cpu_millis":64000,"memory_mib":1024,"accelerators":0}]})";

static std::string replace(std::string text, const std::string &from, const std::string &to)
{
	size_t at = text.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, from.size(), to);
}

static std::string error_of(const std::string &customers, const std::string &plans_text)
{
	wl_err_t err = {};
	wl_lists_t *lists =
		wl_lists_new(wl_str_from(customers.c_str()), wl_str_from(plans_text.c_str()), &err);

	EXPECT_EQ(lists, nullptr);
	wl_lists_free(lists);
	EXPECT_EQ(err.code, WL_E_BAD_INPUT);
	return err.text;
}

TEST(Lists, CustomersAndPlansAreFoundByName)
{
	wl_err_t err = {};
	wl_lists_t *lists =
		wl_lists_new(WL_STR(R"({"customers":[{"name":"norrlamp","plan":"reclaim"}]})"),
			     wl_str_from(plans), &err);

	ASSERT_NE(lists, nullptr) << err.text;
	const wl_plan_t *plan = wl_lists_plan_of(lists, WL_STR("norrlamp"));
	ASSERT_NE(plan, nullptr);
	EXPECT_EQ(plan->weight, 10u);
	EXPECT_TRUE(wl_plan_allows(plan, WL_STR("tube-sort"), WL_CLASS_URGENT));
	EXPECT_FALSE(wl_plan_allows(plan, WL_STR("booking"), WL_CLASS_URGENT));
	EXPECT_FALSE(wl_plan_allows(wl_lists_plan(lists, WL_STR("night")), WL_STR("booking"),
				    WL_CLASS_URGENT));
	EXPECT_EQ(wl_lists_plan_of(lists, WL_STR("nobody")), nullptr);
	EXPECT_EQ(wl_lists_customer_count(lists), 1u);
	wl_lists_free(lists);
}

TEST(Lists, EmptyTextIsAnEmptyList)
{
	wl_err_t err = {};
	wl_lists_t *lists = wl_lists_new(WL_STR(""), WL_STR(""), &err);

	ASSERT_NE(lists, nullptr);
	EXPECT_EQ(wl_lists_customer_count(lists), 0u);
	wl_lists_free(lists);
}

TEST(Lists, ErrorsNameTheField)
{
	const std::string good = plans;

	EXPECT_EQ(error_of(R"({"customers":[{"name":"a","plan":"night"},{"name":"b","plan":"x"}]})",
			   good),
		  "customers[1].plan: no plan named x");
	EXPECT_EQ(
		error_of(
			R"({"customers":[{"name":"a","plan":"night"},{"name":"a","plan":"night"}]})",
			good),
		"customers[1].name: a is used twice");
	EXPECT_EQ(error_of(R"({"customers":[{"name":"a","plan":"night","token_sha256":"12g"}]})",
			   good),
		  "customers[0].token_sha256: must be 64 hex digits");
	EXPECT_EQ(error_of("", replace(good, R"("name":"night")", R"("name":"reclaim")")),
		  "plans[1].name: reclaim is used twice");
	EXPECT_EQ(error_of("", replace(good, R"("weight":10)", R"("weight":0)")),
		  "plans[0].weight: must be above 0");
	EXPECT_EQ(error_of("", replace(good, R"(["batch"])", R"(["batch","bulk"])")),
		  "plans[1].classes[1]: must be urgent or batch");
	EXPECT_NE(error_of("", replace(good, R"(["booking"])", R"([""])"))
			  .find("plans[1].services[0]"),
		  std::string::npos);
	EXPECT_NE(error_of("", replace(good, R"("weight":10,)", "")).find("plans[0].weight"),
		  std::string::npos);
}

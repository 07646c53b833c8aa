extern "C" {
#include <libwlcore/api/auth.h>
}

#include <string>

#include <gtest/gtest.h>

namespace
{

/* SHA-256 of "secret". */
const char digest[] = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
const char plans[] = R"({"plans":[{"name":"p","weight":1,"services":["s"],"classes":["urgent"],
 "max_concurrent":1,"requests_per_second":1,"cpu_millis":1,"memory_mib":1,"accelerators":0}]})";

class Auth : public testing::Test
{
      protected:
	~Auth() override
	{
		wl_list_free(&wl_header_schema, &headers);
		wl_lists_free(lists);
	}

	void customers(const std::string &token)
	{
		std::string text =
			R"({"customers":[{"name":"open","plan":"p"},{"name":"closed","plan":"p",)"
			R"("token_sha256":")" +
			token + "\"}]}";

		lists = wl_lists_new({text.data(), text.size()}, wl_str_from(plans), &err);
		ASSERT_NE(lists, nullptr) << err.text;
	}

	wl_code_t authenticate(const char *name, const char *authorization)
	{
		wl_list_free(&wl_header_schema, &headers);
		if (name)
			wl_headers_add(&headers, wl_str_from("wisterialead-customer"),
				       wl_str_from(name));
		if (authorization)
			wl_headers_add(&headers, wl_str_from("authorization"),
				       wl_str_from(authorization));
		return wl_auth_customer(lists, &headers, &err) ? WL_OK : err.code;
	}

	wl_lists_t *lists = nullptr;
	wl_list_t headers = {};
	wl_err_t err = {};
};

} // namespace

TEST_F(Auth, ChecksCustomerAndToken)
{
	customers(digest);
	EXPECT_EQ(authenticate("open", nullptr), WL_OK);
	EXPECT_EQ(authenticate("closed", "Bearer secret"), WL_OK);
	EXPECT_EQ(authenticate("closed", "Bearer Secret"), WL_E_UNAUTHORIZED);
	EXPECT_EQ(authenticate("closed", "secret"), WL_E_UNAUTHORIZED);
	EXPECT_EQ(authenticate("closed", nullptr), WL_E_UNAUTHORIZED);
	EXPECT_EQ(authenticate("nobody", nullptr), WL_E_FORBIDDEN);
	EXPECT_EQ(authenticate(nullptr, nullptr), WL_E_BAD_INPUT);
}

TEST_F(Auth, AcceptsAnUpperCaseDigest)
{
	std::string capitals = digest;

	for (char &c : capitals)
		c = static_cast<char>(toupper(c));
	customers(capitals);
	EXPECT_EQ(authenticate("closed", "Bearer secret"), WL_OK);
}

TEST_F(Auth, ComparesTheWholeBearerToken)
{
	wl_headers_add(&headers, wl_str_from("Authorization"), wl_str_from("Bearer operator"));
	EXPECT_TRUE(wl_auth_bearer(&headers, wl_str_from("operator"), &err));
	EXPECT_TRUE(wl_auth_bearer(&headers, wl_str_from(""), &err));
	EXPECT_FALSE(wl_auth_bearer(&headers, wl_str_from("operator2"), &err));
	EXPECT_FALSE(wl_auth_bearer(&headers, wl_str_from("operato"), &err));
}

TEST_F(Auth, RefusesNamesInvalidInMetricLabels)
{
	for (const char *bad : {"a\\\"b", "a b", "a\\\\b", "a\\n"}) {
		std::string text =
			std::string("{\"customers\":[{\"name\":\"") + bad + "\",\"plan\":\"p\"}]}";

		EXPECT_EQ(wl_lists_new({text.data(), text.size()}, wl_str_from(plans), &err),
			  nullptr)
			<< bad;
		EXPECT_EQ(std::string(err.text).find("customers[0].name: must have no space"), 0u)
			<< err.text;
	}
}

extern "C" {
#include <libwlbase/option.h>
}

#include <cstdlib>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace
{

struct Settings {
	wl_buf_t name;
	uint64_t count;
	bool loud;
	wl_buf_t mode;
	wl_buf_t listen;
};

const char *const modes[] = {"fast", "slow", nullptr};

const wl_option_t options[] = {
	{"name", WL_OPTION_TEXT, offsetof(Settings, name), "e1", "NAME", "its name", 0, 0, nullptr},
	{"count", WL_OPTION_NUMBER, offsetof(Settings, count), "3", "count", "how many", 1, 9,
	 nullptr},
	{"loud", WL_OPTION_FLAG, offsetof(Settings, loud), nullptr, nullptr, "say more", 0, 0,
	 nullptr},
	{"mode", WL_OPTION_CHOICE, offsetof(Settings, mode), "fast", "MODE", "how", 0, 0, modes},
	{"listen", WL_OPTION_ADDRESS, offsetof(Settings, listen), nullptr, "IP:port", "where", 0, 0,
	 nullptr},
};

bool read(std::vector<const char *> words, Settings *settings, wl_err_t *err)
{
	words.insert(words.begin(), "program");
	*settings = {};
	return wl_options_read(options, 5, static_cast<int>(words.size()),
			       const_cast<char **>(words.data()), settings, nullptr, 0, nullptr,
			       err);
}

std::string fault(std::vector<const char *> words)
{
	Settings settings;
	wl_err_t err = {};

	EXPECT_FALSE(read(std::move(words), &settings, &err));
	wl_options_free(options, 5, &settings);
	return err.text;
}

} // namespace

TEST(Option, FlagsOverrideVariablesAndVariablesOverrideDefaults)
{
	Settings settings;
	wl_err_t err = {};

	setenv("WISTERIALEAD_COUNT", "5", 1);
	setenv("WISTERIALEAD_MODE", "slow", 1);
	ASSERT_TRUE(read({"--mode=fast", "--loud"}, &settings, &err)) << err.text;
	EXPECT_STREQ(settings.name.at, "e1");
	EXPECT_EQ(settings.count, 5u);
	EXPECT_STREQ(settings.mode.at, "fast");
	EXPECT_TRUE(settings.loud);
	wl_options_free(options, 5, &settings);

	setenv("WISTERIALEAD_COUNT", "ten", 1);
	EXPECT_EQ(fault({}), "--count: must be a whole number from 1 to 9, not \"ten\"");
	unsetenv("WISTERIALEAD_COUNT");
	unsetenv("WISTERIALEAD_MODE");
}

TEST(Option, EveryErrorNamesItsSetting)
{
	EXPECT_EQ(fault({"--count=10"}), "--count: must be a whole number from 1 to 9, not \"10\"");
	EXPECT_EQ(fault({"--mode=other"}), "--mode: must be one of fast, slow, not \"other\"");
	for (const char *bad : {"--listen=host:1", "--listen=1.2.3.4", "--listen=1.2.3.4:65536",
				"--listen=:80", "--listen=1.2.3:4"})
		EXPECT_NE(fault({bad}).find("--listen: must be IP:port"), std::string::npos) << bad;
	EXPECT_NE(fault({"--colour=red"}), "");
	EXPECT_EQ(fault({"word"}), "unexpected argument \"word\"");
}

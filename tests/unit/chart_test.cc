extern "C" {
#include <libwlbase/chart.h>
}

#include <string>

#include <gtest/gtest.h>

namespace
{

const char *const states[] = {"closed", "open", nullptr};
const char *const events[] = {"turn", "push", nullptr};

struct Door {
	bool locked = false;
	int turns = 0;
};

bool unlocked(const void *subject)
{
	return !static_cast<const Door *>(subject)->locked;
}

void count_turn(void *subject)
{
	static_cast<Door *>(subject)->turns++;
}

const wl_chart_guard_binding_t guards[] = {{"unlocked", unlocked}};
const wl_chart_action_binding_t actions[] = {{"count_turn", count_turn}};
const wl_chart_binding_t binding = {"door", states, events, guards, 1, actions, 1};

const char good[] = R"({"chart": "door", "initial": "closed",
 "states": {"closed": {"turn": {"to": "open", "guard": "unlocked", "action": "count_turn"}},
            "open": {"turn": {"to": "closed"}}},
 "ignore": {"closed": ["push"], "open": ["push"]}})";

std::string fault(std::string text, const std::string &from, const std::string &to)
{
	wl_err_t err = {};
	size_t at = text.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	text.replace(at, from.size(), to);
	wl_chart_t *chart = wl_chart_load(&binding, {text.data(), text.size()}, &err);
	EXPECT_EQ(chart, nullptr);
	wl_chart_free(chart);
	return err.text;
}

} // namespace

TEST(Chart, RunsGuardsAndActionsAndIgnoresEvents)
{
	wl_err_t err = {};
	wl_chart_t *chart = wl_chart_load(&binding, {good, sizeof(good) - 1}, &err);
	ASSERT_NE(chart, nullptr) << err.text;
	Door door;
	uint64_t state = wl_chart_initial(chart);

	EXPECT_EQ(wl_chart_step(chart, &state, 1, &door), WL_CHART_IGNORED);
	door.locked = true;
	EXPECT_EQ(wl_chart_step(chart, &state, 0, &door), WL_CHART_REFUSED);
	EXPECT_EQ(state, 0u);
	door.locked = false;
	EXPECT_EQ(wl_chart_step(chart, &state, 0, &door), WL_CHART_MOVED);
	EXPECT_EQ(state, 1u);
	EXPECT_EQ(door.turns, 1);
	wl_chart_free(chart);
}

TEST(Chart, EveryErrorHasItsMessage)
{
	EXPECT_EQ(fault(good, "\"guard\": \"unlocked\"", "\"guard\": \"ajar\""),
		  "chart door: unknown guard: ajar");
	EXPECT_EQ(fault(good, "count_turn", "slam"), "chart door: unknown action: slam");
	EXPECT_EQ(fault(good, "\"to\": \"open\"", "\"to\": \"gone\""),
		  "chart door: transition to an unknown state: turn");
	EXPECT_EQ(fault(good, "\"to\": \"open\"", "\"to\": \"closed\""),
		  "chart door: unreachable state: open");
	EXPECT_EQ(fault(good, "\"open\": [\"push\"]", "\"open\": []"),
		  "chart door: missing transition: push in open");
	EXPECT_EQ(fault(good, "\"open\": [\"push\"]", "\"open\": [\"turn\"]"),
		  "chart door: both handled and ignored: turn");
	EXPECT_EQ(fault(good, "\"guard\"", "\"gaurd\""),
		  "chart door: unknown field of a transition: gaurd");
	EXPECT_EQ(fault(good, "\"chart\": \"door\"", "\"chart\": \"lid\""),
		  "chart door: file is of another chart: lid");
	EXPECT_EQ(fault(good, "\"initial\": \"closed\"", "\"initial\": \"shut\""),
		  "chart door: unknown initial state: shut");
}

TEST(Chart, TruncatedTextIsRejected)
{
	for (size_t len = 0; len + 1 < sizeof(good); len++) {
		wl_err_t err = {};

		EXPECT_EQ(wl_chart_load(&binding, {good, len}, &err), nullptr) << len;
	}
}

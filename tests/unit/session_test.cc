extern "C" {
#include <libwlcore/node/session.h>
}

#include <cstring>
#include <string>

#include <gtest/gtest.h>

namespace
{
constexpr uint64_t MS = 1000000;
constexpr uint64_t STEP_MS = 10;
constexpr uint64_t LOST_MS = 10000;	/* when the leader falls silent */
constexpr uint64_t ELECTED_MS = 1200;	/* from then until another one leads */
constexpr uint64_t BACK_MS = 4000;	/* from then until the same one is back */
constexpr uint64_t FOUND_MAX_MS = 1000; /* from then until the entry knows it */
constexpr uint64_t GROUP = 1;

/* An entry's session beside five replicas, of which s1 leads first, then s2. */
class Entry
{
      public:
	/*
	 * @first_ms: time of the first renewal
	 * @leader_after: of LOST_MS; s1: no other one
	 * @after_ms: from then until it leads, or is back
	 */
	Entry(uint64_t first_ms, const std::string &leader_after, uint64_t after_ms)
	    : next(leader_after), led_ms(LOST_MS + after_ms), now_ms(first_ms)
	{
		wl_session_options_t options = {};

		options.entry = wl_str_from("e1");
		options.boot = 1;
		options.stores = stores;
		options.store_count = 5;
		wl_session_init(&session, &options, now_ms * MS);
	}

	~Entry()
	{
		wl_session_free(&session);
	}

	/* Returns from when on the session is with the next leader, in ms after that led. */
	uint64_t play()
	{
		wl_event_t tick;

		while (now_ms < led_ms || leader() != next) {
			wl_event_init(&tick, WL_EVENT_TICK);
			step(&tick);
			now_ms += STEP_MS;
			if (now_ms > LOST_MS + 60000)
				break;
		}
		return now_ms - led_ms;
	}

      private:
	std::string leader() const
	{
		wl_str_t name = wl_buf_str(&session.leader);

		return {name.at, name.len};
	}

	/* Who leads, as the followers know it: they have not given s1 up before the election. */
	std::string known_leader() const
	{
		return now_ms < led_ms ? "s1" : next;
	}

	void step(wl_event_t *event)
	{
		wl_out_t out = {};

		wl_session_step(&session, &view, now_ms * MS, event, &out);
		wl_event_free(event);
		for (size_t i = 0; i < out.count; i++)
			if (out.actions[i].kind == WL_ACTION_SEND)
				answer(out.actions[i]);
		wl_out_free(&out);
	}

	void answer(const wl_action_t &sent)
	{
		wl_str_t to = wl_buf_str(&sent.peer);
		std::string peer(to.at, to.len);
		wl_event_t event;

		if (peer == "s1" && now_ms >= LOST_MS && (now_ms < led_ms || next != "s1"))
			return;
		wl_event_init(&event, WL_EVENT_PEER);
		wl_msg_init(&event.msg, WL_MSG_RENEWED);
		wl_buf_set(&event.peer, to);
		wl_msg_renewed_t &renewed = event.msg.u.renewed;
		renewed.boot = 1;
		renewed.group = GROUP;
		renewed.sent_ns = now_ms * MS;
		renewed.session = 7;
		renewed.validity_ms = 5000;
		renewed.code = peer == known_leader() ? WL_OK : WL_E_NO_LEADER;
		if (peer != known_leader())
			wl_buf_set(&renewed.leader, wl_str_from(known_leader().c_str()));
		step(&event);
	}

	const wl_str_t stores[5] = {WL_STR("s1"), WL_STR("s2"), WL_STR("s3"), WL_STR("s4"),
				    WL_STR("s5")};
	wl_session_t session;
	wl_view_t view = {};
	const std::string next;
	const uint64_t led_ms;
	uint64_t now_ms;
};
} // namespace

/* Guards against entries that wait for a silent leader since a follower has named it. */
TEST(Session, IsWithTheNextLeaderWithinASecond)
{
	for (uint64_t first_ms = 1; first_ms < 1000; first_ms += 50) {
		Entry entry(first_ms, "s2", ELECTED_MS);

		EXPECT_LE(entry.play(), FOUND_MAX_MS) << "first renewal at " << first_ms << " ms";
	}
}

/* Guards against entries that never ask a leader again which they have given up. */
TEST(Session, IsWithALeaderThatIsBackWithinASecond)
{
	for (uint64_t first_ms = 1; first_ms < 1000; first_ms += 50) {
		Entry entry(first_ms, "s1", BACK_MS);

		EXPECT_LE(entry.play(), FOUND_MAX_MS) << "first renewal at " << first_ms << " ms";
	}
}

/*
 * Guards against entries that leave their leader for a silent one, which a replica has named whose
 * answer took longer than those of the others.
 */
TEST(Session, StaysWithItsLeaderAfterALateRedirection)
{
	const wl_str_t stores[3] = {WL_STR("s2"), WL_STR("s3"), WL_STR("s4")};
	wl_session_options_t options = {};
	wl_session_t session;
	wl_view_t view = {};
	wl_event_t event;
	wl_out_t out = {};
	auto answer = [&](const char *peer, uint64_t sent_ms, uint64_t at_ms, const char *leader) {
		wl_event_init(&event, WL_EVENT_PEER);
		wl_msg_init(&event.msg, WL_MSG_RENEWED);
		wl_buf_set(&event.peer, wl_str_from(peer));
		event.msg.u.renewed.boot = 1;
		event.msg.u.renewed.group = GROUP;
		event.msg.u.renewed.sent_ns = sent_ms * MS;
		event.msg.u.renewed.session = 7;
		event.msg.u.renewed.validity_ms = 5000;
		event.msg.u.renewed.code = leader ? WL_E_NO_LEADER : WL_OK;
		if (leader)
			wl_buf_set(&event.msg.u.renewed.leader, wl_str_from(leader));
		wl_session_step(&session, &view, at_ms * MS, &event, &out);
		wl_event_free(&event);
		wl_out_free(&out);
		out = {};
	};

	options.entry = wl_str_from("e1");
	options.boot = 1;
	options.stores = stores;
	options.store_count = 3;
	wl_session_init(&session, &options, 1000 * MS);
	answer("s1", 1000, 1001, nullptr);
	for (uint64_t now_ms = 1001; now_ms <= 3300; now_ms += STEP_MS) {
		wl_event_init(&event, WL_EVENT_TICK);
		wl_session_step(&session, &view, now_ms * MS, &event, &out);
		wl_event_free(&event);
		wl_out_free(&out);
		out = {};
	}
	ASSERT_EQ(session.leader.len, 0u) << "s1 is silent";
	answer("s4", 3201, 3310, "s2");
	answer("s2", 3310, 3320, nullptr);
	answer("s3", 3101, 3400, "s1");
	EXPECT_STREQ(session.leader.at, "s2");
	wl_session_free(&session);
}

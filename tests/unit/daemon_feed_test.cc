extern "C" {
#include <daemon/feed.h>
#include <libwlbase/units.h>
}

#include <string>

#include <gtest/gtest.h>

/*
 * Order of events.  Guards against heartbeats and answers of replicas that wait behind other
 * events, so that a busy leader loses its quorum.
 */

namespace
{
constexpr uint32_t SLOTS = 64;

class Feed : public testing::Test
{
      protected:
	Feed()
	{
		wl_err_t err = {};

		ring = wl_ring_new(SLOTS, &err);
		feed = wl_feed_new(ring, SLOTS);
	}

	~Feed() override
	{
		wl_event_t *event;

		wl_feed_free(feed);
		while ((event = static_cast<wl_event_t *>(wl_ring_pop(ring))))
			release(event);
		wl_ring_free(ring);
	}

	static void release(wl_event_t *event)
	{
		wl_event_free(event);
		free(event);
	}

	bool push(wl_event_kind_t kind, uint64_t tag, wl_msg_kind_t msg = WL_MSG_NONE)
	{
		auto *event = static_cast<wl_event_t *>(wl_alloc(sizeof(wl_event_t)));

		wl_event_init(event, kind);
		event->tag = tag;
		wl_msg_init(&event->msg, msg);
		if (wl_ring_push(ring, event))
			return true;
		release(event);
		return false;
	}

	/* The tags of the events that are taken, in order. */
	std::string taken(int count)
	{
		std::string text;

		for (int i = 0; i < count; i++) {
			wl_event_t *event = wl_feed_next(feed, now_ns, tick_ns);

			text += event ? " " + std::to_string(event->tag) : " none";
			if (event)
				release(event);
		}
		return text;
	}

	wl_ring_t *ring;
	wl_feed_t *feed;
	uint64_t now_ns = 1000;
	uint64_t tick_ns = 2000;
};
} // namespace

TEST_F(Feed, MessagesOfReplicasOvertakeOthers)
{
	push(WL_EVENT_PEER, 1, WL_MSG_COMMAND);
	push(WL_EVENT_CALL, 2);
	push(WL_EVENT_PEER, 3, WL_MSG_RAFT);
	push(WL_EVENT_FETCHED, 4);
	push(WL_EVENT_PERSISTED, 5);
	push(WL_EVENT_PEER, 6, WL_MSG_RAFT);
	EXPECT_EQ(taken(7), " 3 5 6 1 2 4 none");
}

TEST_F(Feed, OneThatComesWhileOthersWaitIsNext)
{
	for (uint64_t i = 1; i <= 20; i++)
		push(WL_EVENT_CALL, i);
	EXPECT_EQ(taken(2), " 1 2");
	push(WL_EVENT_PEER, 100, WL_MSG_RAFT);
	push(WL_EVENT_CALL, 21);
	EXPECT_EQ(taken(3), " 100 3 4");
}

TEST_F(Feed, HoldsNoMoreThanItsSlots)
{
	for (uint64_t i = 0; i < SLOTS - 1; i++)
		EXPECT_TRUE(push(WL_EVENT_CALL, i));
	EXPECT_FALSE(push(WL_EVENT_CALL, SLOTS));
	EXPECT_EQ(taken(1), " 0");
	for (uint64_t i = 0; i < SLOTS - 1; i++)
		EXPECT_TRUE(push(WL_EVENT_CALL, 100 + i));
	EXPECT_EQ(taken(1), " 1");
	EXPECT_EQ(wl_feed_count(feed), 2 * (SLOTS - 1) - 2);
	EXPECT_GT(wl_ring_count(ring), 0u) << "the rest stays in the ring";
	for (uint64_t i = 2; i < SLOTS - 1; i++)
		EXPECT_EQ(taken(1), " " + std::to_string(i));
	EXPECT_EQ(taken(2), " 100 101");
}

/* The event loop took up to 256 events between two ticks, however long each of them took. */
TEST_F(Feed, TickThatIsDueGoesBeforeEventsThatWait)
{
	for (uint64_t i = 1; i <= 20; i++)
		push(WL_EVENT_CALL, i);
	EXPECT_EQ(taken(2), " 1 2");
	now_ns = tick_ns;
	EXPECT_EQ(taken(2), " none none");
	tick_ns += 1000;
	EXPECT_EQ(taken(2), " 3 4");
}

TEST_F(Feed, TellsWhetherOneGoesFirst)
{
	push(WL_EVENT_CALL, 1);
	EXPECT_EQ(wl_feed_pop_urgent(feed), nullptr);
	push(WL_EVENT_PEER, 2, WL_MSG_RAFT);
	wl_event_t *event = wl_feed_pop_urgent(feed);
	ASSERT_NE(event, nullptr);
	EXPECT_EQ(event->tag, 2u);
	release(event);
	EXPECT_EQ(taken(2), " 1 none");
}

TEST_F(Feed, WaitsForAnEvent)
{
	EXPECT_EQ(wl_feed_wait(feed, 1), nullptr);
	push(WL_EVENT_CALL, 7);
	wl_event_t *event = wl_feed_wait(feed, 1000);
	ASSERT_NE(event, nullptr);
	EXPECT_EQ(event->tag, 7u);
	release(event);
}

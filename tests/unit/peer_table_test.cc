extern "C" {
#include <libwlnet/peer_table.h>
}

#include <string>

#include <gtest/gtest.h>

/* Send queues of peers. */

namespace
{
constexpr uint64_t FRAMES_MAX = 8;

class PeerTable : public testing::Test
{
      protected:
	PeerTable()
	{
		wl_peer_table_init(&table, FRAMES_MAX, 1 << 20);
		peer = wl_peer_table_get(&table, WL_STR("s2"));
		wl_peer_table_set_up(&table, peer, true);
	}

	~PeerTable() override
	{
		wl_peer_table_free(&table);
	}

	bool queue(const std::string &text, bool urgent)
	{
		wl_buf_t bytes = {};
		bool wake;

		wl_buf_set(&bytes, {text.data(), text.size()});
		bool accepted = wl_peer_table_queue(&table, WL_STR("s2"), &bytes, urgent, &wake);
		wl_buf_free(&bytes);
		return accepted;
	}

	std::string sent()
	{
		std::string text;
		wl_frame_t *frame;

		while ((frame = wl_peer_table_pop(&table, peer))) {
			text += " " + std::string(frame->bytes.at, frame->bytes.len);
			wl_frame_free(frame);
		}
		return text;
	}

	wl_peer_table_t table;
	wl_peer_t *peer;
};
} // namespace

/* Guards against heartbeats and answers of replicas that wait behind other messages. */
TEST_F(PeerTable, UrgentFramesOvertakeOthers)
{
	queue("orders-1", false);
	queue("orders-2", false);
	queue("heartbeat", true);
	queue("orders-3", false);
	queue("entries", true);
	EXPECT_EQ(sent(), " heartbeat entries orders-1 orders-2 orders-3");
}

TEST_F(PeerTable, FramesOfBothSortsAreLimitedTogether)
{
	for (uint64_t i = 0; i < FRAMES_MAX; i++)
		EXPECT_TRUE(queue("x", i % 2 == 0));
	EXPECT_FALSE(queue("y", true));
	sent();
	EXPECT_EQ(peer->queued, 0u);
	EXPECT_EQ(peer->queued_bytes, 0u);
	EXPECT_TRUE(queue("y", true));
}

TEST_F(PeerTable, LinkThatIsDownHasNoFrames)
{
	queue("orders", false);
	queue("heartbeat", true);
	wl_peer_table_set_up(&table, peer, false);
	EXPECT_EQ(sent(), "");
	EXPECT_FALSE(queue("heartbeat", true));
}

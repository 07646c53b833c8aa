#include "../support/events.h"
#include "../support/relay.h"
#include "../support/tcp.h"

extern "C" {
#include <libwlnet/peer.h>
}

#include <arpa/inet.h>

#include <cstring>
#include <thread>

#include <gtest/gtest.h>

namespace
{
struct Daemon {
	explicit Daemon(const std::string &daemon_name, const std::string &secret = "open sesame",
			uint32_t slots = 1024, uint64_t queue_bytes = 1 << 20)
	    : name(daemon_name), events(slots)
	{
		wl_peer_options_t options = {};
		wl_err_t err = {};

		options.name = str(name);
		options.listen = str("127.0.0.1:0");
		options.secret = str(secret);
		options.events = events.ring;
		options.queue_slots = 4096;
		options.max_frame_bytes = 1 << 20;
		options.max_queue_bytes = queue_bytes;
		options.handshake_ms = 1000;
		options.idle_ms = 400;
		options.seed = 1;
		peers = wl_peers_start(&options, &err);
		EXPECT_TRUE(peers) << err.text;
	}
	~Daemon()
	{
		stop();
	}
	void stop()
	{
		wl_peers_stop(peers);
		peers = nullptr;
	}
	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(wl_peers_port(peers));
	}
	void dial(const Daemon &other)
	{
		dial(other.name, other.address());
	}
	void dial(const std::string &peer, const std::string &at)
	{
		wl_peers_dial(peers, str(peer), str(at));
	}
	bool send(const std::string &to, uint64_t id, size_t bytes = 0)
	{
		wl_msg_t msg;

		wl_msg_init(&msg, WL_MSG_ANSWER);
		msg.u.answer.id = id;
		wl_buf_set(&msg.u.answer.body, str(std::string(bytes, 'x')));
		bool accepted = wl_peers_send(peers, str(to), &msg);
		wl_msg_free(&msg);
		return accepted;
	}
	/* Kind of the next event, or -1 on time-out; the id of a message is stored in got. */
	int next(int timeout_ms = 5000)
	{
		Event event = events.next(timeout_ms);

		if (!event)
			return -1;
		from = text(event->peer);
		if (event->kind == WL_EVENT_PEER)
			got = event->msg.u.answer.id;
		return event->kind;
	}

	std::string name;
	Events events;
	wl_peers_t *peers;
	std::string from;
	uint64_t got = 0;
};

void wait_for_refusals(const Daemon &daemon, uint64_t count)
{
	for (int i = 0; i < 5000 && wl_peers_refused(daemon.peers) < count; i++)
		std::this_thread::sleep_for(std::chrono::milliseconds(1));
	EXPECT_GE(wl_peers_refused(daemon.peers), count);
}

TEST(Peer, MessagesGoBothWays)
{
	Daemon a("a");
	Daemon b("b");

	EXPECT_FALSE(a.send("b", 1));
	a.dial(b);
	ASSERT_EQ(a.next(), WL_EVENT_PEER_UP);
	ASSERT_EQ(b.next(), WL_EVENT_PEER_UP);
	EXPECT_EQ(b.from, "a");
	EXPECT_TRUE(a.send("b", 7, 100000));
	EXPECT_TRUE(b.send("a", 8));
	ASSERT_EQ(b.next(), WL_EVENT_PEER);
	EXPECT_EQ(b.got, 7u);
	ASSERT_EQ(a.next(), WL_EVENT_PEER);
	EXPECT_EQ(a.got, 8u);
	EXPECT_EQ(a.from, "b");
}

TEST(Peer, AcceptedMessagesAreCountedByKind)
{
	Daemon a("a");
	Daemon b("b");
	wl_peer_sent_t answers;
	wl_peer_sent_t appends;
	wl_msg_t append;

	EXPECT_FALSE(a.send("b", 1));
	a.dial(b);
	ASSERT_EQ(a.next(), WL_EVENT_PEER_UP);
	EXPECT_TRUE(a.send("b", 7, 100000));
	EXPECT_TRUE(a.send("b", 8));
	wl_msg_init(&append, WL_MSG_RAFT);
	append.u.raft.kind = WL_RAFT_APPEND;
	EXPECT_TRUE(wl_peers_send(a.peers, str("b"), &append));
	wl_msg_free(&append);
	wl_peers_sent(a.peers, WL_MSG_ANSWER, &answers);
	wl_peers_sent(a.peers, WL_PEER_KIND_RAFT + WL_RAFT_APPEND, &appends);
	EXPECT_EQ(answers.messages, 2u);
	EXPECT_GT(answers.bytes, 100000u);
	EXPECT_LT(answers.bytes, 101000u);
	EXPECT_EQ(appends.messages, 1u);
	EXPECT_GT(appends.bytes, 0u);
	wl_peers_sent(a.peers, WL_MSG_RAFT, &appends);
	EXPECT_EQ(appends.messages, 0u);
	wl_peers_sent(b.peers, WL_MSG_ANSWER, &answers);
	EXPECT_EQ(answers.messages, 0u);
}

TEST(Peer, WrongSecretIsRefusedOnBothSides)
{
	Daemon a("a", "one");
	Daemon b("b", "two");

	a.dial(b);
	wait_for_refusals(a, 1);
	wait_for_refusals(b, 1);
	EXPECT_EQ(a.next(0), -1);
	EXPECT_EQ(b.next(0), -1);
}

TEST(Peer, PeerWithAnUnexpectedNameIsRefused)
{
	Daemon a("a");
	Daemon b("b");

	a.dial("c", b.address());
	wait_for_refusals(a, 1);
	EXPECT_EQ(a.next(0), -1);
}

TEST(Peer, LongFrameBeforeTheProofIsRefused)
{
	Daemon a("a");
	Tcp tcp = Tcp::connect(wl_peers_port(a.peers));

	tcp.send(std::string("\0\0\1\1", 4));
	EXPECT_TRUE(tcp.wait_closed());
	wait_for_refusals(a, 1);
}

TEST(Peer, SilentHandshakeTimesOut)
{
	Daemon a("a");
	Tcp tcp = Tcp::connect(wl_peers_port(a.peers));

	EXPECT_TRUE(tcp.wait_closed());
	wait_for_refusals(a, 1);
}

TEST(Peer, ReflectedProofIsRefused)
{
	Daemon a("a");
	Tcp tcp = Tcp::connect(wl_peers_port(a.peers));
	uint32_t len;
	std::string head = tcp.read_bytes(4);
	memcpy(&len, head.data(), 4);
	std::string hello = tcp.read_bytes(ntohl(len));

	/* The reflected hello needs a name other than that of the daemon itself. */
	hello.back() = 'z';
	tcp.send(head + hello);
	head = tcp.read_bytes(4);
	std::string proof = tcp.read_bytes(32);
	ASSERT_EQ(proof.size(), 32u);
	tcp.send(head + proof);
	EXPECT_TRUE(tcp.wait_closed());
	wait_for_refusals(a, 1);
	EXPECT_EQ(a.next(0), -1);
}

TEST(Peer, SimultaneousDialsLeaveOneLink)
{
	for (int round = 0; round < 20; round++) {
		Daemon a("a");
		Daemon b("b");
		bool up_a = false;
		bool up_b = false;
		uint64_t got_a = 0;
		uint64_t got_b = 0;

		std::thread dial([&a, &b] { a.dial(b); });
		b.dial(a);
		dial.join();
		for (uint64_t id = 1; got_a < 5 || got_b < 5; id++) {
			ASSERT_LT(id, 1000u);
			if (up_a)
				a.send("b", id);
			if (up_b)
				b.send("a", id);
			for (int kind; (kind = a.next(5)) >= 0;) {
				up_a = kind == WL_EVENT_PEER_UP ||
				       (up_a && kind != WL_EVENT_PEER_DOWN);
				got_a += kind == WL_EVENT_PEER;
			}
			for (int kind; (kind = b.next(5)) >= 0;) {
				up_b = kind == WL_EVENT_PEER_UP ||
				       (up_b && kind != WL_EVENT_PEER_DOWN);
				got_b += kind == WL_EVENT_PEER;
			}
		}
		EXPECT_EQ(wl_peers_refused(a.peers), 0u);
		EXPECT_EQ(wl_peers_refused(b.peers), 0u);
	}
}

TEST(Peer, RestartedPeerIsDialledAtItsNewAddress)
{
	Daemon a("a");
	auto b = std::make_unique<Daemon>("b");

	a.dial(*b);
	ASSERT_EQ(a.next(), WL_EVENT_PEER_UP);
	b = std::make_unique<Daemon>("b");
	ASSERT_EQ(a.next(), WL_EVENT_PEER_DOWN);
	EXPECT_FALSE(a.send("b", 1));
	a.dial(*b);
	ASSERT_EQ(a.next(), WL_EVENT_PEER_UP);
	EXPECT_TRUE(a.send("b", 2));
	ASSERT_EQ(b->next(), WL_EVENT_PEER_UP);
	ASSERT_EQ(b->next(), WL_EVENT_PEER);
	EXPECT_EQ(b->got, 2u);
}

/* Daemons that were replaced must not be dialled, nor kept, for as long as this one runs. */
TEST(Peer, PeersThatAreGoneAreForgotten)
{
	Daemon a("a");

	for (int i = 0; i < 100; i++)
		a.dial("gone" + std::to_string(i), "127.0.0.1:1");
	EXPECT_EQ(wl_peers_known(a.peers), 100u);
	for (int i = 0; i < 100; i++)
		a.dial("gone" + std::to_string(i), "");
	for (int i = 0; i < 20; i++) {
		Daemon in("in" + std::to_string(i));

		in.dial(a);
		ASSERT_EQ(in.next(), WL_EVENT_PEER_UP);
	}
	for (int i = 0; i < 5000 && wl_peers_known(a.peers) > 0; i++)
		std::this_thread::sleep_for(std::chrono::milliseconds(1));
	EXPECT_EQ(wl_peers_known(a.peers), 0u);
}

/* A link outlives the end of dialling; once it is down it stays down. */
TEST(Peer, PeerThatIsNoLongerDialledKeepsItsLink)
{
	Daemon a("a");
	auto b = std::make_unique<Daemon>("b");
	std::string address = b->address();

	a.dial(*b);
	ASSERT_EQ(a.next(), WL_EVENT_PEER_UP);
	a.dial("b", "");
	std::this_thread::sleep_for(std::chrono::milliseconds(200));
	EXPECT_TRUE(a.send("b", 1));
	b.reset();
	ASSERT_EQ(a.next(), WL_EVENT_PEER_DOWN);
	for (int i = 0; i < 5000 && wl_peers_known(a.peers) > 0; i++)
		std::this_thread::sleep_for(std::chrono::milliseconds(1));
	EXPECT_EQ(wl_peers_known(a.peers), 0u);
	b = std::make_unique<Daemon>("b");
	a.dial(*b);
	ASSERT_EQ(a.next(), WL_EVENT_PEER_UP);
}

TEST(Peer, SilentLinkIsReplaced)
{
	Daemon a("a");
	Daemon b("b");
	Relay relay("127.0.0.1:0", b.address());
	RelayFaults silent;

	a.dial("b", relay.address());
	ASSERT_EQ(a.next(), WL_EVENT_PEER_UP);
	ASSERT_EQ(b.next(), WL_EVENT_PEER_UP);
	silent.hold_down = true;
	relay.set(silent);
	EXPECT_TRUE(a.send("b", 1));
	ASSERT_EQ(b.next(), WL_EVENT_PEER);
	ASSERT_EQ(a.next(), WL_EVENT_PEER_DOWN);
	relay.set(RelayFaults());
	ASSERT_EQ(a.next(), WL_EVENT_PEER_UP);
	ASSERT_EQ(b.next(), WL_EVENT_PEER_DOWN);
	ASSERT_EQ(b.next(), WL_EVENT_PEER_UP);
}

/* Without tags on frames a modified byte would reach the core as part of a valid message. */
TEST(Peer, ModifiedFrameClosesTheLink)
{
	Daemon a("a");
	Daemon b("b");
	Relay relay("127.0.0.1:0", b.address());

	a.dial("b", relay.address());
	ASSERT_EQ(a.next(), WL_EVENT_PEER_UP);
	ASSERT_EQ(b.next(), WL_EVENT_PEER_UP);
	relay.set_filter([](bool up, std::string &bytes) {
		if (up && bytes.size() > 100)
			bytes.back() ^= 1;
	});
	EXPECT_TRUE(a.send("b", 1, 200));
	EXPECT_EQ(b.next(), WL_EVENT_PEER_DOWN);
	wait_for_refusals(b, 1);
}

TEST(Peer, ReplayedFrameClosesTheLink)
{
	Daemon a("a");
	Daemon b("b");
	Relay relay("127.0.0.1:0", b.address());

	a.dial("b", relay.address());
	ASSERT_EQ(a.next(), WL_EVENT_PEER_UP);
	ASSERT_EQ(b.next(), WL_EVENT_PEER_UP);
	relay.set_filter([](bool up, std::string &bytes) {
		if (up && bytes.size() > 100)
			bytes += bytes;
	});
	EXPECT_TRUE(a.send("b", 1, 200));
	ASSERT_EQ(b.next(), WL_EVENT_PEER);
	EXPECT_EQ(b.next(), WL_EVENT_PEER_DOWN);
	wait_for_refusals(b, 1);
}

TEST(Peer, FullEventRingDelaysMessages)
{
	constexpr uint64_t count = 3000;
	Daemon a("a");
	Daemon b("b", "open sesame", 4);

	a.dial(b);
	ASSERT_EQ(a.next(), WL_EVENT_PEER_UP);
	std::thread sender([&a] {
		for (uint64_t id = 1; id <= count; id++)
			while (!a.send("b", id, 500))
				std::this_thread::yield();
	});
	ASSERT_EQ(b.next(), WL_EVENT_PEER_UP);
	for (uint64_t id = 1; id <= count; id++) {
		int kind = b.next();

		EXPECT_EQ(kind, WL_EVENT_PEER);
		EXPECT_EQ(b.got, id);
		if (kind != WL_EVENT_PEER || b.got != id)
			break;
	}
	sender.join();
}

TEST(Peer, SendToAFullQueueFails)
{
	Daemon a("a", "open sesame", 1024, 100000);
	Daemon b("b");
	Relay relay("127.0.0.1:0", b.address());
	RelayFaults silent;

	a.dial("b", relay.address());
	ASSERT_EQ(a.next(), WL_EVENT_PEER_UP);
	silent.hold_up = true;
	relay.set(silent);
	bool full = false;
	for (int i = 0; i < 100000 && !full; i++)
		full = !a.send("b", 1, 50000);
	EXPECT_TRUE(full);
	EXPECT_FALSE(a.send("b", 1, 2 << 20));
}
} // namespace

/* Routing: choice of an own target or a peer. */

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

extern "C" {
#include <libwlcore/request/route.h>
}

static const uint64_t MS = 1000000;

static wl_str_t str(const std::string &text)
{
	return {text.data(), text.size()};
}

class Route : public ::testing::Test
{
      protected:
	void SetUp() override;
	void TearDown() override;
	void use(const std::string &policy);
	wl_target_t *target(const std::string &name, const std::string &zone, uint64_t slots);
	void member(const std::string &name, uint64_t session);
	void peer(const std::string &name, uint64_t session, const std::string &zone,
		  uint64_t free_requests);
	std::string pick();
	std::map<std::string, int> picks(int count);

	wl_ledger_t ledger = {};
	wl_peer_capacity_t peer_capacity = {};
	wl_view_t view = {};
	wl_router_t router = {};
	wl_route_query_t query = {};
	uint64_t now_ns = 0;
};

void Route::SetUp()
{
	wl_need_t one = {0, 0, 0, 1, 1};

	wl_ledger_init(&ledger, &one);
	wl_peer_capacity_init(&peer_capacity);
	wl_view_init(&view);
	use("");
	query.service = wl_str_from("sort");
	query.latency_ns = 10 * MS;
}

void Route::TearDown()
{
	wl_router_free(&router);
	wl_peer_capacity_free(&peer_capacity);
	wl_view_free(&view);
	wl_ledger_free(&ledger);
}

void Route::use(const std::string &policy)
{
	wl_route_options_t options = {str(policy), wl_str_from("a"), &ledger, &peer_capacity, 5};
	wl_err_t err = {};

	wl_router_free(&router);
	ASSERT_TRUE(wl_router_init(&router, &options, &err)) << err.text;
}

wl_target_t *Route::target(const std::string &name, const std::string &zone, uint64_t slots)
{
	wl_target_t *target = wl_ledger_add(&ledger, str(name), 1);
	wl_need_t capacity = {0, 0, 0, slots, slots};

	wl_buf_set(&target->availability_zone, str(zone));
	wl_strings_add(&target->services, wl_str_from("sort"));
	wl_ledger_set_capacity(&ledger, target, &capacity);
	wl_ledger_set_open(&ledger, target, true);
	return target;
}

void Route::member(const std::string &name, uint64_t session)
{
	auto *found = const_cast<wl_member_t *>(wl_view_member(&view, str(name)));

	if (!found) {
		found = static_cast<wl_member_t *>(wl_list_add(&wl_member_schema, &view.members));
		wl_buf_set(&found->entry, str(name));
	}
	found->session = std::max(found->session, session);
	wl_peer_capacity_apply_view(&peer_capacity, &view);
}

void Route::peer(const std::string &name, uint64_t session, const std::string &zone,
		 uint64_t free_requests)
{
	wl_msg_t msg;

	wl_msg_init(&msg, WL_MSG_CAPACITY);
	msg.u.capacity.session = session;
	auto *row = static_cast<wl_room_row_t *>(
		wl_list_add(&wl_room_row_schema, &msg.u.capacity.capacity_rows));
	wl_buf_set(&row->service, wl_str_from("sort"));
	wl_buf_set(&row->availability_zone, str(zone));
	row->free_requests = free_requests;
	row->targets = 1;
	msg.u.capacity.full = true;
	wl_peer_capacity_apply_report(&peer_capacity, str(name), &msg.u.capacity, now_ns);
	member(name, session);
	wl_msg_free(&msg);
}

std::string Route::pick()
{
	wl_route_choice_t choice;
	const wl_buf_t *name;

	if (!wl_router_pick(&router, &query, now_ns, &choice))
		return "none";
	name = choice.target ? &choice.target->name : &choice.peer->peer->name;
	return std::string(name->at, name->len);
}

std::map<std::string, int> Route::picks(int count)
{
	std::map<std::string, int> seen;

	for (int i = 0; i < count; i++)
		seen[pick()]++;
	return seen;
}

TEST_F(Route, OwnZoneThenOwnTargetThenPeer)
{
	wl_target_t *near = target("near", "a", 1);
	wl_target_t *far = target("far", "b", 1);

	peer("e2", 2, "a", 1);
	EXPECT_GT(picks(100)["near"], 85);
	ASSERT_TRUE(wl_ledger_reserve(&ledger, near, &ledger.request));
	EXPECT_EQ(picks(100)["far"], 100);
	ASSERT_TRUE(wl_ledger_reserve(&ledger, far, &ledger.request));
	EXPECT_EQ(pick(), "e2");
	query.own_only = true;
	EXPECT_EQ(pick(), "none");
}

TEST_F(Route, PrefersTheLeastExpectedLatency)
{
	target("fast", "a", 8)->latency_ns = 5 * MS;
	target("slow", "a", 8)->latency_ns = 50 * MS;
	wl_target_t *slowed = target("beside", "a", 8);
	slowed->latency_ns = 5 * MS;
	slowed->slowdown_permille = 4000;
	EXPECT_GT(picks(1000)["fast"], 700);
	EXPECT_GT(picks(1000)["slow"], 0) << "a slow target is never sampled again";
}

TEST_F(Route, FindsTheOnlyFreeTarget)
{
	for (int i = 0; i < 32; i++) {
		wl_target_t *full = target("w" + std::to_string(i), "a", 1);

		if (i != 17)
			wl_ledger_reserve(&ledger, full, &ledger.request);
	}
	EXPECT_EQ(picks(100)["w17"], 100);
}

TEST_F(Route, AvoidsATargetUnlessNothingElseHasCapacity)
{
	target("w1", "a", 1);
	wl_target_t *other = target("w2", "b", 1);

	query.avoid_target = wl_str_from("w1");
	EXPECT_EQ(picks(100)["w2"], 100);
	wl_ledger_reserve(&ledger, other, &ledger.request);
	EXPECT_EQ(pick(), "w1");
	query.strict = true;
	EXPECT_EQ(pick(), "none");
}

TEST_F(Route, ChoosesPeersByCapacityAndZone)
{
	peer("e2", 2, "a", 10);
	peer("e3", 3, "b", 10);
	auto seen = picks(1000);
	EXPECT_NEAR(seen["e2"], 800, 60);
	EXPECT_NEAR(seen["e3"], 200, 60);
	wl_peer_capacity_update_service(&peer_capacity, wl_str_from("e2"), wl_str_from("sort"), 0);
	EXPECT_EQ(pick(), "e3");
	wl_peer_capacity_update_service(&peer_capacity, wl_str_from("e2"), wl_str_from("sort"), 10);
	EXPECT_GT(picks(100)["e2"], 60);
	now_ns = 1001 * MS;
	EXPECT_EQ(pick(), "none");
	EXPECT_FALSE(wl_router_offers(&router, query.service, now_ns));
}

TEST_F(Route, IgnoresReportsOfAnOlderSession)
{
	peer("e2", 5, "a", 10);
	peer("e2", 4, "a", 0);
	EXPECT_EQ(pick(), "e2");
	peer("e2", 6, "b", 0);
	EXPECT_EQ(pick(), "none");
}

TEST_F(Route, RoundRobinAlternates)
{
	use("round-robin");
	target("w1", "a", 1);
	target("w2", "b", 1);
	auto seen = picks(10);
	EXPECT_EQ(seen["w1"], 5);
	EXPECT_EQ(seen["w2"], 5);
}

TEST_F(Route, UnknownPolicyIsAnError)
{
	wl_route_options_t options = {wl_str_from("random"), wl_str_from("a"), &ledger,
				      &peer_capacity, 5};
	wl_router_t other;
	wl_err_t err = {};

	EXPECT_FALSE(wl_router_init(&other, &options, &err));
	EXPECT_EQ(err.code, WL_E_BAD_INPUT);
}

/* Shares of a plan's limits across the entries of a cell. */

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

extern "C" {
#include <libwlbase/rng.h>
#include <libwlcore/request/admit.h>
}

static const uint64_t MS = 1000000;
static const uint64_t INTERVAL_MS = 100;

static wl_str_t str(const std::string &text)
{
	return {text.data(), text.size()};
}

/* Entries that exchange their usage, each at a different time, with delayed messages. */
class Cell
{
      public:
	Cell(size_t count, uint64_t concurrent, uint64_t rate);
	~Cell();

	/* Advances the time by a millisecond. */
	void advance_ms();
	bool enter(size_t entry, uint64_t run_ms);

	uint64_t now_ms = 0;
	uint64_t running = 0;
	std::vector<uint64_t> admitted; /* by entry */
	std::vector<bool> link_down;	/* entries whose messages are dropped */

      private:
	struct Message {
		uint64_t at_ms;
		size_t from;
		wl_msg_t msg;
	};
	struct Running {
		uint64_t until_ms;
		size_t entry;
	};

	void exchange(size_t entry);
	void deliver(Message *message);

	wl_plan_t plan = {};
	std::vector<wl_admit_t> entries;
	std::deque<Message> sent;
	std::vector<Running> open;
	wl_rng_t rng;
};

Cell::Cell(size_t count, uint64_t concurrent, uint64_t rate)
    : admitted(count), link_down(count), entries(count)
{
	wl_budget_options_t budget = {};

	wl_rng_init(&rng, 3, 3);
	plan.weight = 1;
	plan.max_concurrent = concurrent;
	plan.requests_per_second = rate;
	for (auto &entry : entries) {
		wl_admit_init(&entry, &budget, 0);
		entry.members = count;
		wl_admit_get(&entry, str("c"), &plan, 0);
	}
}

Cell::~Cell()
{
	for (auto &message : sent)
		wl_msg_free(&message.msg);
	for (auto &entry : entries)
		wl_admit_free(&entry);
}

bool Cell::enter(size_t entry, uint64_t run_ms)
{
	wl_err_t err = {};
	wl_admit_customer_t *customer = wl_admit_get(&entries[entry], str("c"), &plan, now_ms * MS);

	if (!wl_admit_enter(customer, now_ms * MS, &err)) {
		EXPECT_EQ(err.code, WL_E_OVER_PLAN);
		EXPECT_EQ(err.verdict, WL_NOT_RUN);
		wl_admit_refuse(customer);
		return false;
	}
	open.push_back({now_ms + run_ms, entry});
	running++;
	admitted[entry]++;
	return true;
}

void Cell::exchange(size_t entry)
{
	Message message = {now_ms + 1 + wl_rng_below(&rng, 5), entry, {}};
	wl_list_t all = {};

	wl_msg_init(&message.msg, WL_MSG_CAPACITY);
	message.msg.u.capacity.session = entry + 1;
	wl_admit_exchange(&entries[entry], now_ms * MS, &message.msg.u.capacity.usage_rows, &all);
	wl_list_free(&wl_use_row_schema, &all);
	if (link_down[entry])
		wl_msg_free(&message.msg);
	else
		sent.push_back(message);
}

void Cell::deliver(Message *message)
{
	for (size_t to = 0; to < entries.size(); to++)
		if (to != message->from && !link_down[to])
			wl_admit_apply_report(&entries[to],
					      str("e" + std::to_string(message->from)),
					      &message->msg.u.capacity, now_ms * MS);
	wl_msg_free(&message->msg);
}

void Cell::advance_ms()
{
	now_ms++;
	for (size_t i = 0; i < open.size();) {
		if (open[i].until_ms > now_ms) {
			i++;
			continue;
		}
		wl_admit_leave(wl_admit_get(&entries[open[i].entry], str("c"), &plan, now_ms * MS));
		running--;
		open[i] = open.back();
		open.pop_back();
	}
	for (size_t i = 0; i < sent.size();) {
		if (sent[i].at_ms > now_ms) {
			i++;
			continue;
		}
		deliver(&sent[i]);
		sent.erase(sent.begin() + static_cast<std::ptrdiff_t>(i));
	}
	for (size_t i = 0; i < entries.size(); i++)
		if ((now_ms + i * INTERVAL_MS / entries.size()) % INTERVAL_MS == 0)
			exchange(i);
}

static uint64_t sum(const std::vector<uint64_t> &values)
{
	uint64_t total = 0;

	for (uint64_t value : values)
		total += value;
	return total;
}

TEST(Admit, ConcurrentLimitHoldsWhileDemandMoves)
{
	const size_t ENTRIES = 7;
	const uint64_t LIMIT = 70;
	Cell cell(ENTRIES, LIMIT, 1000000);
	uint64_t max_running = 0;
	wl_rng_t rng;

	wl_rng_init(&rng, 11, 0);
	for (size_t ms = 0; ms < 60000; ms++) {
		/* the load moves to other entries every 700 ms */
		size_t first = ms / 700 * 3 % ENTRIES;

		for (int i = 0; i < 4; i++)
			cell.enter((first + wl_rng_below(&rng, 2)) % ENTRIES,
				   20 + wl_rng_below(&rng, 400));
		cell.advance_ms();
		max_running = std::max(max_running, cell.running);
	}
	EXPECT_LE(max_running, LIMIT + ENTRIES);
	EXPECT_GE(max_running, LIMIT * 9 / 10) << "less than nine tenths of the limit was used";
}

TEST(Admit, OneEntryGetsMostOfTheLimitWhenOthersAreIdle)
{
	Cell cell(7, 70, 1000);

	for (int ms = 0; ms < 3000; ms++) {
		cell.enter(2, 100000);
		cell.advance_ms();
	}
	EXPECT_GE(cell.running, 60u);
	EXPECT_LE(cell.running, 70u);
}

TEST(Admit, RateHoldsInEveryWindow)
{
	const size_t ENTRIES = 5;
	const uint64_t RATE = 500;
	Cell cell(ENTRIES, 100000, RATE);
	std::vector<uint64_t> seen = {0};
	wl_rng_t rng;

	wl_rng_init(&rng, 12, 0);
	for (size_t ms = 0; ms < 30000; ms++) {
		size_t first = ms / 3000 * 2 % ENTRIES;

		for (int i = 0; i < 3; i++)
			cell.enter((first + wl_rng_below(&rng, 2)) % ENTRIES, 1);
		cell.advance_ms();
		seen.push_back(sum(cell.admitted));
	}
	for (size_t window_ms : {1000u, 5000u, 20000u})
		for (size_t at = window_ms; at < seen.size(); at += 50) {
			uint64_t got = seen[at] - seen[at - window_ms];

			ASSERT_LE(got, RATE * (window_ms + 250) / 1000 + ENTRIES)
				<< window_ms << " ms up to " << at;
		}
	EXPECT_GE(seen.back(), RATE * 30 * 8 / 10) << "less than eight tenths of the rate was used";
}

TEST(Admit, LastReportOfAnUnreachableEntryStillCounts)
{
	Cell cell(3, 30, 1000);

	for (int ms = 0; ms < 1000; ms++) {
		cell.enter(0, 100000);
		cell.advance_ms();
	}
	uint64_t before = cell.running;
	cell.link_down[0] = true;
	for (int ms = 0; ms < 2000; ms++) {
		cell.enter(1, 100000);
		cell.advance_ms();
	}
	EXPECT_GE(before, 20u);
	EXPECT_LE(cell.running, 30u + 3u);
}

TEST(Admit, ALimitBelowTheNumberOfEntriesExcludesNone)
{
	Cell cell(7, 2, 1000);

	for (size_t entry = 0; entry < 7; entry++) {
		EXPECT_TRUE(cell.enter(entry, 10));
		for (int ms = 0; ms < 300; ms++)
			cell.advance_ms();
	}
}

TEST(Admit, RemovesADeletedCustomerAfterItsLastRequest)
{
	wl_budget_options_t budget = {};
	wl_plan_t plan = {};
	wl_admit_t admit;
	wl_view_t view;
	wl_err_t err = {};

	wl_admit_init(&admit, &budget, 0);
	wl_view_init(&view);
	view.lists = wl_lists_new(str(R"({"customers":[]})"), str(R"({"plans":[]})"), &err);
	ASSERT_NE(view.lists, nullptr) << err.text;
	plan.weight = 1;
	plan.max_concurrent = 5;
	plan.requests_per_second = 5;
	wl_admit_customer_t *customer = wl_admit_get(&admit, str("c"), &plan, 0);
	ASSERT_TRUE(wl_admit_enter(customer, 0, &err));
	wl_admit_apply_view(&admit, &view);
	EXPECT_EQ(wl_map_count(&admit.by_name), 1u);
	wl_admit_leave(customer);
	wl_admit_apply_view(&admit, &view);
	EXPECT_EQ(wl_map_count(&admit.by_name), 0u);
	wl_view_free(&view);
	wl_admit_free(&admit);
}

static void report(wl_admit_t *admit, uint64_t session, uint64_t running, bool whole)
{
	wl_msg_t msg;

	wl_msg_init(&msg, WL_MSG_CAPACITY);
	msg.u.capacity.session = session;
	msg.u.capacity.full = whole;
	if (running) {
		auto *row = static_cast<wl_use_row_t *>(
			wl_list_add(&wl_use_row_schema, &msg.u.capacity.usage_rows));

		wl_buf_set(&row->customer, str("c"));
		row->running = row->demand = running;
	}
	wl_admit_apply_report(admit, str("e2"), &msg.u.capacity, 0);
	wl_msg_free(&msg);
}

static void set_member(wl_view_t *view, uint64_t session)
{
	wl_list_free(&wl_member_schema, &view->members);
	auto *member = static_cast<wl_member_t *>(wl_list_add(&wl_member_schema, &view->members));

	wl_buf_set(&member->entry, str("e2"));
	member->session = session;
}

static uint64_t running_on_peers(wl_admit_t *admit)
{
	wl_plan_t plan = {};
	wl_list_t changes = {};
	wl_list_t all = {};

	plan.max_concurrent = 10;
	wl_admit_customer_t *customer = wl_admit_get(admit, str("c"), &plan, 0);
	wl_admit_exchange(admit, 0, &changes, &all);
	wl_list_free(&wl_use_row_schema, &changes);
	wl_list_free(&wl_use_row_schema, &all);
	return customer->running_on_peers;
}

TEST(Admit, ReportsCountUntilTheSessionOfThePeerEnds)
{
	wl_budget_options_t budget = {};
	wl_admit_t admit;
	wl_view_t view;

	wl_admit_init(&admit, &budget, 0);
	wl_view_init(&view);
	/* report received before the view lists the peer */
	report(&admit, 5, 4, true);
	wl_admit_apply_view(&admit, &view);
	EXPECT_EQ(running_on_peers(&admit), 4u);
	set_member(&view, 5);
	wl_admit_apply_view(&admit, &view);
	report(&admit, 5, 0, false);
	EXPECT_EQ(running_on_peers(&admit), 4u);
	/* report of the next session before the view lists it */
	report(&admit, 8, 2, true);
	wl_admit_apply_view(&admit, &view);
	EXPECT_EQ(running_on_peers(&admit), 2u);
	report(&admit, 5, 9, true);
	EXPECT_EQ(running_on_peers(&admit), 2u);
	set_member(&view, 8);
	wl_admit_apply_view(&admit, &view);
	EXPECT_EQ(running_on_peers(&admit), 2u);
	wl_list_free(&wl_member_schema, &view.members);
	wl_admit_apply_view(&admit, &view);
	EXPECT_EQ(running_on_peers(&admit), 0u);
	wl_view_free(&view);
	wl_admit_free(&admit);
}

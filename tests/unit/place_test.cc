extern "C" {
#include <libwlcore/owner/ledger.h>
#include <libwlbase/rng.h>
#include <libwlcore/place/internal.h>
}

#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

static const uint64_t ns_per_ms = 1000000;

static wl_str_t str(const std::string &text)
{
	return {text.data(), text.size()};
}

static wl_place_t *place_new(const std::string &policy, uint64_t long_share = 500)
{
	wl_place_options_t options = {};
	wl_err_t err = {};

	options.policy = str(policy);
	options.long_share_permille = long_share;
	options.seed = 7;
	return wl_place_new(&options, &err);
}

/* Offers a target of 8 slots, of which @free are free, and that runs @kinds: name and count. */
static void offer(wl_place_t *place, const std::string &target, uint64_t free,
		  const std::vector<std::pair<std::string, uint64_t>> &kinds = {},
		  const std::string &rack = "r1", uint64_t now_ns = 1,
		  uint64_t slowdown_permille = 0)
{
	wl_offer_row_t row = {};

	wl_buf_set(&row.target, str(target));
	wl_buf_set(&row.rack, str(rack));
	wl_strings_add(&row.services, WL_STR("tube-sort"));
	row.epoch = 1;
	row.available = true;
	row.slowdown_permille = slowdown_permille;
	row.capacity = {8000, 8000, 0, 8, 0};
	row.free = {free * 1000, free * 1000, 0, free, 0};
	for (const auto &kind : kinds) {
		auto *item = static_cast<wl_offer_kind_t *>(
			wl_list_add(&wl_offer_kind_schema, &row.kinds));
		wl_buf_set(&item->kind, str(kind.first));
		item->running = kind.second;
	}
	wl_place_offer(place, now_ns, &row);
	wl_record_free(&wl_offer_row_schema, &row);
}

static wl_place_request_t request_of(uint64_t cpu_millis = 1000)
{
	wl_place_request_t request = {};

	request.service = WL_STR("tube-sort");
	request.kind = WL_STR("balance");
	request.declared = {cpu_millis, 100, 0, 1, 0};
	request.need = request.declared;
	return request;
}

static std::string chosen(wl_place_t *place, const wl_place_request_t &request)
{
	wl_place_choice_t choice = {};

	if (!wl_place_choose(place, &request, &choice))
		return "";
	return {choice.target->key.at, choice.target->key.len};
}

TEST(Place, FirstFitTakesTheFirstWithRoom)
{
	wl_place_t *place = place_new("first-fit");

	offer(place, "w1", 0);
	offer(place, "w2", 1);
	offer(place, "w3", 8);
	wl_place_begin(place, 1);
	EXPECT_EQ(chosen(place, request_of()), "w2");
	EXPECT_EQ(chosen(place, request_of(2000)), "w3");
	EXPECT_EQ(place_new("no-such"), nullptr);
	wl_place_free(place);
}

/* 2^62 * 1000 is 0 modulo 2^64, by which the speed beside the target's work was divided. */
TEST(Place, SlowdownBeyondAnyMeasureIsOrderedBehindAll)
{
	wl_place_t *place = place_new("interference-fair");

	for (uint64_t slowdown : {UINT64_C(1) << 62, UINT64_MAX, UINT64_C(1) << 63}) {
		offer(place, "w1", 8, {{"sort", 1}}, "r1", 1, slowdown);
		offer(place, "w2", 8, {{"sort", 1}}, "r1", 1, 1000);
		wl_place_begin(place, 1);
		EXPECT_EQ(chosen(place, request_of()), "w2") << slowdown;
	}
	wl_place_free(place);
}

/*
 * Long tasks may hold half of the slots of a rack, so that short work is not
 * blocked behind them.  A task that takes two slots' worth of processors counts
 * as two slots.
 */
TEST(Place, LongWorkIsCountedByItsDominantResource)
{
	wl_place_t *place = place_new("first-fit", 500);
	wl_place_request_t request = request_of(2000);
	wl_place_load_t loads[3] = {};
	int placed = 0;

	offer(place, "w1", 8);
	wl_place_begin(place, 1);
	wl_place_note_short_queued(place, request.service);
	request.is_long = true;
	for (auto &load : loads) {
		wl_place_choice_t choice = {};

		if (!wl_place_choose(place, &request, &choice))
			break;
		load.is_long = true;
		load.need = choice.need;
		wl_place_load_add(choice.target, &load);
		placed++;
	}
	EXPECT_EQ(placed, 2) << "two tasks, each worth two slots, hold half of the eight slots";
	request.is_long = false;
	EXPECT_EQ(chosen(place, request), "w1");
	for (auto &load : loads)
		wl_place_load_remove(&load);
	wl_place_free(place);
}

TEST(Place, LearntNeedIsLimitedToCapacityButDeclaredIsNot)
{
	wl_place_t *place = place_new("");
	wl_place_request_t request = request_of();

	offer(place, "w1", 8);
	request.need.cpu_millis = 99000;
	wl_place_begin(place, 1);
	EXPECT_EQ(chosen(place, request), "w1");
	EXPECT_FALSE(wl_place_too_large(place, &request));
	request.declared.cpu_millis = 9000;
	EXPECT_EQ(chosen(place, request), "");
	EXPECT_TRUE(wl_place_too_large(place, &request));
	request.service = WL_STR("booking");
	EXPECT_FALSE(wl_place_too_large(place, &request)) << "no target of the service is known";
	wl_place_free(place);
}

TEST(Place, FailedTargetsAreAvoidedUnlessThereAreNoOthers)
{
	wl_place_t *place = place_new("");
	wl_place_request_t request = request_of();
	wl_list_t avoid = {};

	offer(place, "w1", 8);
	offer(place, "w2", 1);
	wl_strings_add(&avoid, WL_STR("w1"));
	request.avoid = &avoid;
	wl_place_begin(place, 1);
	EXPECT_EQ(chosen(place, request), "w2");
	offer(place, "w2", 0);
	wl_place_begin(place, 1);
	EXPECT_EQ(chosen(place, request), "");
	wl_strings_add(&avoid, WL_STR("w2"));
	EXPECT_EQ(chosen(place, request), "w1");
	wl_strings_free(&avoid);
	wl_place_free(place);
}

TEST(Place, SuspendedTargetGetsNoWorkUntilItsDeadline)
{
	wl_place_t *place = place_new("");

	offer(place, "w1", 8);
	wl_place_suspend(place, 500 * ns_per_ms, WL_STR("w1"));
	wl_place_begin(place, 499 * ns_per_ms);
	EXPECT_EQ(chosen(place, request_of()), "");
	wl_place_begin(place, 500 * ns_per_ms);
	EXPECT_EQ(chosen(place, request_of()), "w1");
	wl_place_free(place);
}

TEST(Place, OldPairSamplesWeighLess)
{
	wl_place_t *place = place_new("");
	wl_pair_row_t row = {};

	wl_buf_set(&row.kind, WL_STR("scan"));
	wl_buf_set(&row.colocated_kind, WL_STR("balance"));
	row.slowdown_permille = 3000;
	row.weight_milli = 8000;
	wl_place_pair_learn(place, 1, &row);
	EXPECT_EQ(wl_place_slowdown(place, WL_STR("scan"), WL_STR("balance")), 3000u);
	EXPECT_EQ(wl_place_slowdown(place, WL_STR("balance"), WL_STR("scan")), 1000u);
	row.slowdown_permille = 1000;
	wl_place_pair_learn(place, 1 + 3 * 600000 * ns_per_ms, &row);
	EXPECT_LT(wl_place_slowdown(place, WL_STR("scan"), WL_STR("balance")), 1300u);
	wl_buf_free(&row.kind);
	wl_buf_free(&row.colocated_kind);
	wl_place_free(place);
}

struct Load {
	wl_place_load_t load = {};
	~Load()
	{
		wl_place_load_remove(&load);
		wl_buf_free(&load.kind);
	}
};

static void check_counts(const wl_place_t *place)
{
	const wl_place_target_t *target;
	const wl_place_rack_t *rack;

	TAILQ_FOREACH (target, &place->targets, link) {
		const wl_place_load_t *load;
		wl_need_t pending = {};
		TAILQ_FOREACH (load, &target->loads, link)
			if (!load->included)
				wl_need_add(&pending, &load->need);
		ASSERT_EQ(pending.slots, target->pending.slots);
		ASSERT_EQ(pending.cpu_millis, target->pending.cpu_millis);
	}
	TAILQ_FOREACH (rack, &place->racks, link) {
		uint64_t held = 0;
		uint64_t slots = 0;
		TAILQ_FOREACH (target, &place->targets, link) {
			const wl_place_load_t *load;
			if (target->rack != rack)
				continue;
			slots += target->row.available ? target->row.capacity.slots : 0;
			TAILQ_FOREACH (load, &target->loads, link)
				held += load->is_long ? load->slots_milli : 0;
		}
		ASSERT_EQ(rack->long_held_milli, held);
		ASSERT_EQ(rack->slots, slots);
	}
}

/*
 * As in the daemon, owners learn of assignments with a delay, and offer what is
 * left then.  Assignments that an offer does not include yet have to be
 * subtracted from it, or targets are overcommitted.
 */
TEST(Place, RandomOffersAndLoadsNeverOvercommit)
{
	const size_t targets = 12;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		wl_place_t *place = place_new("");
		std::vector<std::vector<std::unique_ptr<Load>>> loads(targets);
		std::vector<size_t> known(targets);
		wl_rng_t rng;

		wl_rng_init(&rng, seed, 9);
		for (int i = 0; i < 1500; i++) {
			size_t t = wl_rng_below(&rng, targets);
			std::string name = "w" + std::to_string(t);
			uint64_t action = wl_rng_below(&rng, 10);
			wl_place_choice_t choice = {};

			wl_place_begin(place, i);
			if (action < 3) {
				/* the owner has received more of the assignments */
				known[t] += wl_rng_below(&rng, loads[t].size() - known[t] + 1);
				offer(place, name, 8 - known[t], {{"balance", known[t]}},
				      "r" + std::to_string(t % 3 + wl_rng_below(&rng, 2)));
			} else if (action == 3 && known[t] > 0) {
				loads[t].erase(loads[t].begin() +
					       static_cast<long>(wl_rng_below(&rng, known[t])));
				known[t]--;
			} else if (action == 4) {
				wl_place_close(place, i, str(name));
			} else {
				wl_place_request_t request = request_of();
				request.is_long = wl_rng_below(&rng, 2) == 0;
				wl_place_note_short_queued(place, request.service);
				if (!wl_place_choose(place, &request, &choice))
					continue;
				auto load = std::make_unique<Load>();
				wl_buf_set(&load->load.kind, WL_STR("balance"));
				load->load.need = choice.need;
				load->load.is_long = request.is_long;
				wl_place_load_add(choice.target, &load->load);
				t = std::stoul(std::string(choice.target->key.at + 1));
				loads[t].push_back(std::move(load));
				ASSERT_LE(loads[t].size(), 8u) << "seed " << seed << " step " << i;
			}
			check_counts(place);
		}
		loads.clear();
		wl_place_free(place);
	}
}

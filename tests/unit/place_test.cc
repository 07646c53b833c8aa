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

/* An offer of 8 slots, of which some are free; kinds "kind:count,...". */
static void offer(wl_place_t *place, const std::string &target, uint64_t free,
		  const std::vector<std::pair<std::string, uint64_t>> &kinds = {},
		  const std::string &rack = "r1", uint64_t now_ns = 1)
{
	wl_offer_row_t row = {};

	wl_buf_set(&row.target, str(target));
	wl_buf_set(&row.rack, str(rack));
	wl_strings_add(&row.services, WL_STR("tube-sort"));
	row.epoch = 1;
	row.available = true;
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

static wl_place_ask_t ask_of(uint64_t cpu_millis = 1000)
{
	wl_place_ask_t ask = {};

	ask.service = WL_STR("tube-sort");
	ask.kind = WL_STR("balance");
	ask.declared = {cpu_millis, 100, 0, 1, 0};
	ask.need = ask.declared;
	return ask;
}

static std::string chosen(wl_place_t *place, const wl_place_ask_t &ask)
{
	wl_place_choice_t choice = {};

	if (!wl_place_choose(place, &ask, &choice))
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
	EXPECT_EQ(chosen(place, ask_of()), "w2");
	EXPECT_EQ(chosen(place, ask_of(2000)), "w3");
	EXPECT_EQ(place_new("no-such"), nullptr);
	wl_place_free(place);
}

/* Head-of-line blocking of short work behind long work: by processors as well as by slots. */
TEST(Place, LongWorkIsCountedByWhatItTakesMostOf)
{
	wl_place_t *place = place_new("first-fit", 500);
	wl_place_ask_t ask = ask_of(2000);
	wl_place_load_t loads[3] = {};
	int placed = 0;

	offer(place, "w1", 8);
	wl_place_begin(place, 1);
	wl_place_short_waits(place, ask.service);
	ask.is_long = true;
	for (auto &load : loads) {
		wl_place_choice_t choice = {};

		if (!wl_place_choose(place, &ask, &choice))
			break;
		load.is_long = true;
		load.need = choice.need;
		wl_place_load_add(choice.target, &load);
		placed++;
	}
	EXPECT_EQ(placed, 2) << "two tasks of two slots' worth hold half of eight";
	ask.is_long = false;
	EXPECT_EQ(chosen(place, ask), "w1");
	for (auto &load : loads)
		wl_place_load_remove(&load);
	wl_place_free(place);
}

TEST(Place, LearntNeedNeverExceedsATargetButDeclaredMay)
{
	wl_place_t *place = place_new("");
	wl_place_ask_t ask = ask_of();

	offer(place, "w1", 8);
	ask.need.cpu_millis = 99000;
	wl_place_begin(place, 1);
	EXPECT_EQ(chosen(place, ask), "w1");
	EXPECT_FALSE(wl_place_too_large(place, &ask));
	ask.declared.cpu_millis = 9000;
	EXPECT_EQ(chosen(place, ask), "");
	EXPECT_TRUE(wl_place_too_large(place, &ask));
	ask.service = WL_STR("booking");
	EXPECT_FALSE(wl_place_too_large(place, &ask)) << "no target of the service is known";
	wl_place_free(place);
}

TEST(Place, FailedTargetsAreAvoidedUnlessThereAreNoOthers)
{
	wl_place_t *place = place_new("");
	wl_place_ask_t ask = ask_of();
	wl_list_t avoid = {};

	offer(place, "w1", 8);
	offer(place, "w2", 1);
	wl_strings_add(&avoid, WL_STR("w1"));
	ask.avoid = &avoid;
	wl_place_begin(place, 1);
	EXPECT_EQ(chosen(place, ask), "w2");
	offer(place, "w2", 0);
	wl_place_begin(place, 1);
	EXPECT_EQ(chosen(place, ask), "");
	wl_strings_add(&avoid, WL_STR("w2"));
	EXPECT_EQ(chosen(place, ask), "w1");
	wl_strings_free(&avoid);
	wl_place_free(place);
}

TEST(Place, HeldTargetGetsNoWorkUntilThen)
{
	wl_place_t *place = place_new("");

	offer(place, "w1", 8);
	wl_place_hold(place, 500 * ns_per_ms, WL_STR("w1"));
	wl_place_begin(place, 499 * ns_per_ms);
	EXPECT_EQ(chosen(place, ask_of()), "");
	wl_place_begin(place, 500 * ns_per_ms);
	EXPECT_EQ(chosen(place, ask_of()), "w1");
	wl_place_free(place);
}

TEST(Place, OldPairsWeighLess)
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

/* Owners that reserve what is chosen and offer the rest, at any later time, as in the daemon. */
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
			uint64_t pick = wl_rng_below(&rng, 10);
			wl_place_choice_t choice = {};

			wl_place_begin(place, i);
			if (pick < 3) {
				/* the owner took in some of what it was told since */
				known[t] += wl_rng_below(&rng, loads[t].size() - known[t] + 1);
				offer(place, name, 8 - known[t], {{"balance", known[t]}},
				      "r" + std::to_string(t % 3 + wl_rng_below(&rng, 2)));
			} else if (pick == 3 && known[t] > 0) {
				loads[t].erase(loads[t].begin() +
					       static_cast<long>(wl_rng_below(&rng, known[t])));
				known[t]--;
			} else if (pick == 4) {
				wl_place_close(place, i, str(name));
			} else {
				wl_place_ask_t ask = ask_of();
				ask.is_long = wl_rng_below(&rng, 2) == 0;
				wl_place_short_waits(place, ask.service);
				if (!wl_place_choose(place, &ask, &choice))
					continue;
				auto load = std::make_unique<Load>();
				wl_buf_set(&load->load.kind, WL_STR("balance"));
				load->load.need = choice.need;
				load->load.is_long = ask.is_long;
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

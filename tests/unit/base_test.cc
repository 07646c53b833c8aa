extern "C" {
#include <libwlbase/named.h>
#include <libwlbase/counter.h>
#include <libwlbase/digest.h>
#include <libwlbase/hist.h>
#include <libwlbase/log.h>
#include <libwlbase/map.h>
#include <libwlbase/ring.h>
#include <libwlbase/rng.h>
}

#include <fcntl.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

TEST(Str, ParsesDecimalNumbersAndRejectsOtherText)
{
	uint64_t value = 7;

	EXPECT_TRUE(wl_str_u64(wl_str_from("18446744073709551615"), &value));
	EXPECT_EQ(value, UINT64_MAX);
	for (const char *bad : {"", "-1", "1 ", "0x1", "18446744073709551616"})
		EXPECT_FALSE(wl_str_u64(wl_str_from(bad), &value)) << bad;
}

TEST(Hist, QuantilesAreWithinAnEighth)
{
	wl_hist_t hist;

	wl_hist_init(&hist);
	for (uint64_t i = 1; i <= 10000; i++)
		wl_hist_add(&hist, i * 1000);
	for (uint32_t share : {5000u, 9900u, 9990u}) {
		double exact = share * 1000.0;
		double got = static_cast<double>(wl_hist_quantile(&hist, share));

		EXPECT_GE(got, exact);
		EXPECT_LE(got, exact * 1.125);
	}
	EXPECT_EQ(wl_hist_quantile(&hist, 10000), 10000000u);
}

TEST(Rng, SameSeedAndStreamGiveTheSameNumbers)
{
	wl_rng_t a;
	wl_rng_t b;
	wl_rng_t other;

	wl_rng_init(&a, 1, 2);
	wl_rng_init(&b, 1, 2);
	wl_rng_init(&other, 1, 3);
	for (int i = 0; i < 100; i++) {
		uint64_t value = wl_rng_next(&a);

		EXPECT_EQ(value, wl_rng_next(&b));
		EXPECT_NE(value, wl_rng_next(&other));
		EXPECT_LT(wl_rng_below(&a, 10), 10u);
		wl_rng_below(&b, 10);
	}
}

TEST(Map, HoldsManyThroughRemovals)
{
	struct Item {
		wl_str_t key;
		std::string name;
	};
	std::vector<Item> items(5000);
	wl_map_t map;

	wl_map_init(&map);
	for (size_t i = 0; i < items.size(); i++) {
		items[i].name = "item" + std::to_string(i);
		items[i].key = {items[i].name.data(), items[i].name.size()};
		EXPECT_TRUE(wl_map_put(&map, &items[i]));
	}
	EXPECT_FALSE(wl_map_put(&map, &items[7]));
	for (size_t i = 0; i < items.size(); i += 2)
		EXPECT_EQ(wl_map_remove(&map, items[i].key), &items[i]);
	for (size_t i = 0; i < items.size(); i++)
		EXPECT_EQ(wl_map_get(&map, items[i].key), i % 2 ? &items[i] : nullptr);
	EXPECT_EQ(wl_map_count(&map), items.size() / 2);
	wl_map_free(&map);
}

TEST(Map, HoldsWhatWasPutThroughAnyOrderOfRemovals)
{
	struct Item {
		wl_str_t key;
		std::string name;
		bool present;
	};
	std::vector<Item> items(300);
	size_t present = 0;
	wl_rng_t rng;
	wl_map_t map;

	wl_map_init(&map);
	wl_rng_init(&rng, 1, 1);
	for (size_t i = 0; i < items.size(); i++) {
		items[i].name = "item" + std::to_string(i);
		items[i].key = {items[i].name.data(), items[i].name.size()};
		items[i].present = false;
	}
	for (int round = 0; round < 100000; round++) {
		Item &item = items[wl_rng_below(&rng, items.size())];
		Item &other = items[wl_rng_below(&rng, items.size())];

		if (wl_rng_below(&rng, 2) == 0) {
			EXPECT_EQ(wl_map_put(&map, &item), !item.present);
			present += !item.present;
			item.present = true;
		} else {
			EXPECT_EQ(wl_map_remove(&map, item.key), item.present ? &item : nullptr);
			present -= item.present;
			item.present = false;
		}
		ASSERT_EQ(wl_map_get(&map, other.key), other.present ? &other : nullptr);
		ASSERT_EQ(wl_map_count(&map), present);
	}
	for (Item &item : items)
		EXPECT_EQ(wl_map_get(&map, item.key), item.present ? &item : nullptr);
	wl_map_free(&map);
}

TEST(Ring, NoItemOfManySendersIsLost)
{
	const uintptr_t each = 20000;
	wl_err_t err = {};
	wl_ring_t *ring = wl_ring_new(64, &err);
	std::vector<std::thread> senders;
	uintptr_t sum = 0;

	for (uintptr_t s = 0; s < 4; s++)
		senders.emplace_back([ring, each] {
			for (uintptr_t i = 1; i <= each; i++)
				while (!wl_ring_push(ring, reinterpret_cast<void *>(i)))
					std::this_thread::yield();
		});
	for (uintptr_t got = 0; got < 4 * each;) {
		void *item = wl_ring_wait(ring, 1000);

		if (!item)
			continue;
		sum += reinterpret_cast<uintptr_t>(item);
		got++;
	}
	for (auto &sender : senders)
		sender.join();
	EXPECT_EQ(sum, 4 * each * (each + 1) / 2);
	EXPECT_EQ(wl_ring_pop(ring), nullptr);
	wl_ring_free(ring);
}

TEST(Ring, PushToAFullRingFails)
{
	wl_err_t err = {};
	wl_ring_t *ring = wl_ring_new(4, &err);
	int item;

	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(wl_ring_push(ring, &item));
	EXPECT_FALSE(wl_ring_push(ring, &item));
	EXPECT_EQ(wl_ring_room(ring), 0u);
	wl_ring_free(ring);
	EXPECT_EQ(wl_ring_new(5, &err), nullptr);
}

TEST(Digest, KnownAnswers)
{
	char hex[WL_SHA256_HEX + 1];

	wl_sha256_hex(wl_str_from("abc"), hex);
	EXPECT_STREQ(hex, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(Buf, NumbersAreAppendedAsPrintfWritesThem)
{
	const uint64_t numbers[] = {
		0, 9, 10, 99, 100, 4096, UINT32_MAX, 1ULL << 63, UINT64_MAX - 1, UINT64_MAX};

	for (uint64_t number : numbers) {
		wl_buf_t buf = {};

		wl_buf_append(&buf, WL_STR("n="));
		wl_buf_append_u64(&buf, number);
		EXPECT_STREQ(buf.at, ("n=" + std::to_string(number)).c_str());
		wl_buf_free(&buf);
	}
}

TEST(Buf, FormattedTextOfAnyLengthIsComplete)
{
	for (size_t before : {0, 1, 30, 31, 32, 33, 200})
		for (size_t len : {0, 1, 2, 30, 31, 32, 33, 63, 64, 65, 5000}) {
			std::string text(len, 'x');
			std::string whole = std::string(before, 'a') + text + "7";
			wl_buf_t buf = {};

			wl_buf_append(&buf, wl_str_from(std::string(before, 'a').c_str()));
			wl_buf_printf(&buf, "%s%d", text.c_str(), 7);
			EXPECT_EQ(std::string(buf.at, buf.len), whole) << before << " " << len;
			EXPECT_EQ(buf.at[buf.len], '\0');
			wl_buf_free(&buf);
		}
}

TEST(Metrics, LinesOfOneNameStayTogether)
{
	wl_metrics_t metrics;
	wl_buf_t out = {};

	wl_metrics_init(&metrics);
	wl_metrics_add(&metrics, "a_total", "x=\"1\"", 1);
	wl_metrics_add(&metrics, "b_total", "", 2);
	wl_metrics_add(&metrics, "a_total", "x=\"2\"", 3);
	wl_metrics_print(&metrics, &out);
	EXPECT_STREQ(out.at, "a_total{x=\"1\"} 1\na_total{x=\"2\"} 3\nb_total{} 2\n");
	wl_buf_free(&out);
	wl_metrics_free(&metrics);
}

TEST(Metrics, MetricFromFindSharesItsValueWithTheName)
{
	wl_metrics_t metrics;
	wl_buf_t out = {};

	wl_metrics_init(&metrics);
	wl_metric_t *metric = wl_metrics_find(&metrics, "wait_seconds", "kind=\"a\"");
	EXPECT_EQ(wl_metrics_find(&metrics, "wait_seconds", "kind=\"a\""), metric);
	EXPECT_NE(wl_metrics_find(&metrics, "wait_seconds", "kind=\"b\""), metric);
	wl_metric_observe(metric, 2000000000);
	wl_metrics_observe(&metrics, "wait_seconds", "kind=\"a\"", 1000000000);
	wl_metrics_print(&metrics, &out);
	EXPECT_NE(std::string(out.at).find("wait_seconds_sum{kind=\"a\"} 3.000000000\n"
					   "wait_seconds_count{kind=\"a\"} 2\n"),
		  std::string::npos)
		<< out.at;
	wl_buf_free(&out);
	wl_metrics_free(&metrics);
}

TEST(Ring, CountsQueuedItems)
{
	wl_err_t err = {};
	wl_ring_t *ring = wl_ring_new(4, &err);
	int item;

	EXPECT_EQ(wl_ring_count(ring), 0u);
	wl_ring_push(ring, &item);
	wl_ring_push(ring, &item);
	EXPECT_EQ(wl_ring_count(ring), 2u);
	wl_ring_pop(ring);
	EXPECT_EQ(wl_ring_count(ring), 1u);
	wl_ring_free(ring);
}

TEST(Log, WritesOneLinePerEventAndQuotesValues)
{
	int ends[2];
	char text[1024] = "";
	wl_err_t err = {};
	wl_buf_t quoted = {};

	ASSERT_EQ(pipe(ends), 0);
	ASSERT_TRUE(wl_log_start(ends[1], WL_INFO, wl_str_from("e1"), &err));
	wl_log_event(WL_DEBUG, "hidden", "%s", "");
	wl_log_event(WL_WARN, "shown", "count=%d", 3);
	wl_log_stop();
	close(ends[1]);
	ASSERT_GT(read(ends[0], text, sizeof(text) - 1), 0);
	close(ends[0]);
	EXPECT_EQ(std::string(text).find("hidden"), std::string::npos);
	EXPECT_NE(std::string(text).find(" level=warn source=e1 event=shown count=3\n"),
		  std::string::npos);

	wl_log_quote(&quoted, wl_str_from("a \"b\"\n"));
	EXPECT_STREQ(quoted.at, "\"a \\\"b\\\"\\x0a\"");
	wl_buf_free(&quoted);
}

/* Guards against lines that are lost, or cut off, since the reader is slow and writes don't block.
 */
TEST(Log, WritesAllLinesToAPipeThatDoesNotBlock)
{
	constexpr int LINES = 2000;
	int ends[2];
	std::string text;
	wl_err_t err = {};
	uint64_t dropped = wl_log_dropped();

	ASSERT_EQ(pipe(ends), 0);
	ASSERT_EQ(fcntl(ends[1], F_SETFL, O_NONBLOCK), 0);
	ASSERT_GT(fcntl(ends[1], F_SETPIPE_SZ, 4096), 0);
	ASSERT_TRUE(wl_log_start(ends[1], WL_INFO, wl_str_from("e1"), &err));
	for (int i = 0; i < LINES; i++)
		wl_log_event(WL_ERROR, "counted", "i=%d", i);
	std::thread reader([&text, &ends] {
		char bytes[1024];

		for (ssize_t n; (n = read(ends[0], bytes, sizeof(bytes))) > 0;)
			text.append(bytes, static_cast<size_t>(n));
	});
	wl_log_stop();
	close(ends[1]);
	reader.join();
	close(ends[0]);
	EXPECT_EQ(wl_log_dropped(), dropped);
	EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), LINES);
	for (int i = 0; i < LINES; i++)
		EXPECT_NE(text.find(" event=counted i=" + std::to_string(i) + "\n"),
			  std::string::npos);
}

/* Waits until a condition holds, at most 10 s. */
template <typename Condition> static void wait_until(Condition condition)
{
	for (int i = 0; i < 1000 && !condition(); i++)
		std::this_thread::sleep_for(std::chrono::milliseconds(10));
}

/* Guards against a reader that stood still once, and costs lines for as long as it is slow. */
TEST(Log, WritesAllLinesOnceAReaderThatStoodStillReadsAgain)
{
	constexpr int LINES = 2000;
	int ends[2];
	std::string text;
	std::atomic<size_t> received{0};
	wl_err_t err = {};
	uint64_t dropped = wl_log_dropped();

	ASSERT_EQ(pipe(ends), 0);
	ASSERT_EQ(fcntl(ends[1], F_SETFL, O_NONBLOCK), 0);
	ASSERT_GT(fcntl(ends[1], F_SETPIPE_SZ, 4096), 0);
	ASSERT_TRUE(wl_log_start(ends[1], WL_INFO, wl_str_from("e1"), &err));
	for (int i = 0; i < 200; i++)
		wl_log_event(WL_ERROR, "lost", "i=%d", i);
	wait_until([dropped] { return wl_log_dropped() > dropped; });
	ASSERT_GT(wl_log_dropped(), dropped);
	std::thread reader([&text, &ends, &received] {
		char bytes[1024];

		for (ssize_t n; (n = read(ends[0], bytes, sizeof(bytes))) > 0;) {
			text.append(bytes, static_cast<size_t>(n));
			received += static_cast<size_t>(n);
		}
	});
	wait_until([&ends] {
		int unread = 0;

		return ioctl(ends[0], FIONREAD, &unread) == 0 && unread == 0;
	});
	size_t before = received;
	wl_log_event(WL_ERROR, "again", "i=%d", 0);
	wait_until([&received, before] { return received > before; });
	dropped = wl_log_dropped();
	for (int i = 0; i < LINES; i++)
		wl_log_event(WL_ERROR, "counted", "i=%d", i);
	wl_log_stop();
	close(ends[1]);
	reader.join();
	close(ends[0]);
	EXPECT_NE(text.find(" event=again i=0\n"), std::string::npos);
	EXPECT_EQ(wl_log_dropped(), dropped);
	EXPECT_NE(text.find(" event=counted i=" + std::to_string(LINES - 1) + "\n"),
		  std::string::npos);
}

TEST(Str, SplitsAtTheLastOccurrence)
{
	wl_str_t head;
	wl_str_t tail;

	EXPECT_TRUE(wl_str_split_last(WL_STR("[2001:db8::1]:80"), ':', &head, &tail));
	EXPECT_TRUE(wl_str_equal(head, WL_STR("[2001:db8::1]")));
	EXPECT_TRUE(wl_str_equal(tail, WL_STR("80")));
	EXPECT_TRUE(wl_str_split_last(WL_STR(":"), ':', &head, &tail));
	EXPECT_EQ(head.len, 0u);
	EXPECT_EQ(tail.len, 0u);
	EXPECT_FALSE(wl_str_split_last(WL_STR("none"), ':', &head, &tail));
	EXPECT_TRUE(wl_str_equal(head, WL_STR("none")));
	EXPECT_FALSE(wl_str_split_last({nullptr, 0}, ':', &head, &tail));
}

TEST(Named, FindsARowByItsName)
{
	static const struct {
		const char *name;
		int value;
	} rows[] = {{"first", 1}, {"second", 2}};

	EXPECT_EQ(WL_NAMED_FIND(rows, WL_STR("first")), &rows[0]);
	EXPECT_EQ(WL_NAMED_FIND(rows, WL_STR("second")), &rows[1]);
	EXPECT_EQ(WL_NAMED_FIND(rows, WL_STR("third")), nullptr);
	EXPECT_EQ(WL_NAMED_FIND(rows, WL_STR("")), nullptr);
}

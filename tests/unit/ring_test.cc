/* Rings whose senders share one processor, as under a small processor quota. */
extern "C" {
#include <libwlbase/ring.h>
}

#include <pthread.h>
#include <sched.h>
#include <time.h>

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace
{
constexpr uint32_t kSlots = 1 << 22;
constexpr uintptr_t kSenders = 8;
constexpr uintptr_t kItems = 500000; /* of each sender; all fit into the ring */
constexpr int kRounds = 4; /* whether one is preempted within a push differs from run to run */
constexpr uint64_t kNsPerItemMax = 4 * 1000; /* of processor time; a push takes under 1 us */

void bind_to_one_processor()
{
	cpu_set_t all, one;

	CPU_ZERO(&one);
	ASSERT_EQ(pthread_getaffinity_np(pthread_self(), sizeof(all), &all), 0);
	for (int cpu = 0; cpu < CPU_SETSIZE; cpu++)
		if (CPU_ISSET(cpu, &all)) {
			CPU_SET(cpu, &one);
			break;
		}
	ASSERT_EQ(pthread_setaffinity_np(pthread_self(), sizeof(one), &one), 0);
}

uint64_t thread_time_ns()
{
	timespec at;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
	return static_cast<uint64_t>(at.tv_sec) * 1000000000 + static_cast<uint64_t>(at.tv_nsec);
}

/* Takes the processor from the senders again and again, at any place of a push. */
void interrupt_senders(const std::atomic<bool> &over)
{
	const timespec pause = {0, 50 * 1000};

	bind_to_one_processor();
	while (!over)
		nanosleep(&pause, nullptr);
}

/* Return: how many items the senders have pushed before they ran out of processor time. */
uintptr_t push_all(wl_ring_t *ring)
{
	std::atomic<uintptr_t> pushed{0};
	std::atomic<bool> over{false};
	std::thread interrupter([&] { interrupt_senders(over); });
	std::vector<std::thread> senders;

	for (uintptr_t s = 0; s < kSenders; s++)
		senders.emplace_back([&, s] {
			bind_to_one_processor();
			uint64_t end_ns = thread_time_ns() + kItems * kNsPerItemMax;
			uintptr_t i = 0;

			while (i < kItems && (i % 64 || thread_time_ns() < end_ns)) {
				auto number = i * kSenders + s + 1;

				if (!wl_ring_push(ring, reinterpret_cast<void *>(number)))
					break;
				i++;
			}
			pushed += i;
		});
	for (auto &sender : senders)
		sender.join();
	over = true;
	interrupter.join();
	return pushed;
}

void expect_in_order(wl_ring_t *ring, uintptr_t count)
{
	std::vector<uintptr_t> next(kSenders);

	for (uintptr_t i = 0; i < count; i++) {
		uintptr_t number = reinterpret_cast<uintptr_t>(wl_ring_pop(ring)) - 1;

		ASSERT_EQ(number / kSenders, next[number % kSenders]++) << "of one sender";
	}
	EXPECT_EQ(wl_ring_pop(ring), nullptr);
}
} // namespace

/* Regression: senders that were preempted within a push made all others spin, each a time slice. */
TEST(Ring, SendersThatArePreemptedDoNotHoldUpOthers)
{
	wl_err_t err = {};
	wl_ring_t *ring = wl_ring_new(kSlots, &err);

	for (int round = 0; round < kRounds && !HasFailure(); round++) {
		uintptr_t pushed = push_all(ring);

		EXPECT_EQ(pushed, kSenders * kItems) << "in the processor time, round " << round;
		expect_in_order(ring, pushed);
	}
	wl_ring_free(ring);
}

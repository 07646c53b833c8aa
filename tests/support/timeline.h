#ifndef TESTS_TIMELINE_H
#define TESTS_TIMELINE_H

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

/* Simulated time. Callbacks that are due at the same time run in the order of scheduling. */
class Timeline
{
      public:
	void at(uint64_t due_ns, std::function<void()> what)
	{
		due.push({due_ns > now_ns ? due_ns : now_ns, order++, std::move(what)});
	}

	void after(uint64_t delay_ns, std::function<void()> what)
	{
		at(now_ns + delay_ns, std::move(what));
	}

	void run(uint64_t until_ns)
	{
		while (!due.empty() && due.top().due_ns <= until_ns) {
			auto what = std::move(const_cast<Item &>(due.top()).what);

			now_ns = due.top().due_ns;
			due.pop();
			what();
		}
		now_ns = until_ns;
	}

	uint64_t now_ns = 0;

      private:
	struct Item {
		uint64_t due_ns;
		uint64_t order;
		std::function<void()> what;

		bool operator<(const Item &other) const
		{
			return due_ns != other.due_ns ? due_ns > other.due_ns : order > other.order;
		}
	};

	std::priority_queue<Item> due;
	uint64_t order = 0;
};

#endif

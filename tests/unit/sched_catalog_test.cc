#include "../support/sched_rig.h"

#include <gtest/gtest.h>

/* Versions of the configuration, each sent after the commit of the one before or beside it. */

namespace
{
class CatalogVersions : public ::testing::TestWithParam<bool>
{
      protected:
	CatalogVersions()
	{
		put(5, "first");
		rig.commit();
		rig.hold_commits = GetParam();
	}

	/* Sends a version with one queue, whose name is also the text that is kept. */
	uint64_t put(uint64_t version, const std::string &name)
	{
		wl_cmd_t cmd = {};
		wl_cmd_catalog_put_t &put = cmd.u.catalog_put;
		auto *queue = static_cast<wl_queue_t *>(
			wl_list_add(&wl_queue_schema, &put.catalog.queues));
		std::string prefix = "/" + name + "/";

		cmd.kind = WL_CMD_CATALOG_PUT;
		put.catalog.version = version;
		wl_buf_set(&queue->name, {name.data(), name.size()});
		wl_buf_set(&queue->prefix, {prefix.data(), prefix.size()});
		wl_buf_set(&put.text, {name.data(), name.size()});
		return rig.run_command(&cmd);
	}

	void expect_in_force(const std::string &name)
	{
		wl_str_t kept = wl_buf_str(&rig.jobs->catalog_text);

		EXPECT_EQ(std::string(kept.at, kept.len), name);
		for (const std::string other : {"first", "second", "third"})
			EXPECT_EQ(rig.query("/" + other + "/").code == WL_OK, other == name)
				<< other;
	}

	/* Expects that all calls were answered with success. */
	void expect_acknowledged(const std::vector<uint64_t> &calls)
	{
		for (uint64_t call : calls) {
			ASSERT_TRUE(rig.codes.count(call)) << "no answer";
			EXPECT_EQ(rig.codes[call], static_cast<uint64_t>(WL_OK));
		}
	}

	SchedRig rig;
};
} // namespace

/* Guards against a configuration that goes back. */
TEST_P(CatalogVersions, ALowerOneIsAcknowledgedAndNotInForce)
{
	uint64_t newer = put(7, "second");
	uint64_t older = put(6, "third");

	rig.commit();
	expect_acknowledged({newer, older});
	expect_in_force("second");
}

/* Guards against other content under a version that was acknowledged. */
TEST_P(CatalogVersions, OtherContentOfTheVersionHeldIsNotInForce)
{
	uint64_t kept = put(6, "second");
	uint64_t other = put(6, "third");

	rig.commit();
	expect_acknowledged({kept, other});
	expect_in_force("second");
}

/* Guards against a change that is refused when its answer was lost and it is sent again. */
TEST_P(CatalogVersions, TheSameOneSentAgainIsAcknowledged)
{
	uint64_t sent = put(6, "second");
	uint64_t again = put(6, "second");

	rig.commit();
	expect_acknowledged({sent, again});
	expect_in_force("second");
}

INSTANTIATE_TEST_SUITE_P(Pending, CatalogVersions, ::testing::Bool());

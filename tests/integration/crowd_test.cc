#include "../support/cluster.h"
#include "../support/crowd.h"

#include <cstdlib>

#include <gtest/gtest.h>

/*
 * Crowds of callers that nobody controls, at a daemon with low limits.  It lives, its memory and
 * its descriptors stay under a bound, and an ordinary request is answered while the crowd is there.
 */
namespace
{
constexpr size_t CROWD = 400;
constexpr size_t BODY_BYTES = 256 << 10; /* the longest legal one */
constexpr size_t INTAKE_MIB = 8;
/* What is read is copied on its way to a target, and its memory is not returned at once. */
constexpr uint64_t GROWTH_KIB = (4 * INTAKE_MIB + 8) << 10;
constexpr size_t CONNECTIONS = 512;
constexpr size_t OTHER_DESCRIPTORS = 64;

class Crowds : public testing::Test
{
      protected:
	void SetUp() override
	{
		setenv("WISTERIALEAD_INTAKE_MIB", std::to_string(INTAKE_MIB).c_str(), 1);
		ClusterOptions options;
		options.stores = 1;
		options.entries = 0;
		options.targets = 1;
		options.daemon_args = {"--max-body-bytes", std::to_string(BODY_BYTES),
				       "--max-connections", std::to_string(CONNECTIONS)};
		cluster = std::make_unique<Cluster>(options);
		ASSERT_NO_FATAL_FAILURE(cluster->begin());
		ASSERT_EQ(cluster->request(member(), "before").status, 200u);
		pid = member().process.pid;
		before_kib = process_kib(pid, "VmRSS");
		descriptors = process_descriptors(pid);
		process_peak_reset(pid);
	}

	void TearDown() override
	{
		unsetenv("WISTERIALEAD_INTAKE_MIB");
	}

	Member &member()
	{
		return *cluster->members[0];
	}

	static std::string head(const std::string &path, const std::string &framing)
	{
		return "POST " + path +
		       " HTTP/1.1\r\nHost: localhost\r\nWisterialead-Customer: norrlamp\r\n" +
		       framing + "\r\n\r\n";
	}

	static std::string announced(size_t length, size_t sent, const std::string &path = PATH)
	{
		return head(path, "Content-Length: " + std::to_string(length)) +
		       std::string(sent, 'x');
	}

	static std::string chunked(size_t chunk, size_t bytes)
	{
		std::string text = head(PATH, "Transfer-Encoding: chunked");
		char size[32];

		snprintf(size, sizeof(size), "%zx\r\n", chunk);
		for (size_t i = 0; i < bytes; i += chunk)
			text += size + std::string(chunk, 'x') + "\r\n";
		return text;
	}

	void check(size_t crowd_max = CROWD)
	{
		Answer answer = cluster->request(member(), "ordinary");
		uint64_t peak_kib = process_kib(pid, "VmHWM");

		EXPECT_EQ(answer.status, 200u) << answer.body << answer.error;
		EXPECT_TRUE(member().process.running());
		EXPECT_LE(process_descriptors(pid), descriptors + crowd_max + OTHER_DESCRIPTORS);
		printf("memory %llu KiB before, %llu at most\n", (unsigned long long)before_kib,
		       (unsigned long long)peak_kib);
#ifndef WL_TEST_SANITIZED
		/* Sanitizers keep freed memory. */
		EXPECT_LE(peak_kib, before_kib + GROWTH_KIB);
#endif
		if (HasFailure())
			fprintf(stderr, "%s\n", cluster->logs().c_str());
	}

	static constexpr const char *PATH = "/s/tube-sort/crowd";

	std::unique_ptr<Cluster> cluster;
	int pid = 0;
	uint64_t before_kib = 0;
	size_t descriptors = 0;
};

TEST_F(Crowds, LegalBodiesShortOfTheirEnd)
{
	Crowd crowd(member().caller, CROWD);

	crowd.send(announced(BODY_BYTES, BODY_BYTES - 1));
	check();
}

TEST_F(Crowds, LegalBodiesPieceByPiece)
{
	Crowd crowd(member().caller, CROWD);

	crowd.send(announced(BODY_BYTES, BODY_BYTES - 1), 4096);
	check();
}

TEST_F(Crowds, WholeLegalBodies)
{
	Crowd crowd(member().caller, CROWD);

	crowd.send(announced(BODY_BYTES, BODY_BYTES));
	check();
}

TEST_F(Crowds, LargeChunksShortOfTheirEnd)
{
	Crowd crowd(member().caller, CROWD);

	crowd.send(chunked(BODY_BYTES / 2, BODY_BYTES));
	check();
}

TEST_F(Crowds, ChunksOfOneByteShortOfTheirEnd)
{
	Crowd crowd(member().caller, CROWD);

	crowd.send(chunked(1, BODY_BYTES / 2));
	check();
}

TEST_F(Crowds, BodiesOverTheLimitAnnounced)
{
	Crowd crowd(member().caller, CROWD);

	crowd.send(announced(64 << 20, 1 << 20));
	check();
}

TEST_F(Crowds, BodiesOverTheLimitSent)
{
	Crowd crowd(member().caller, CROWD);

	crowd.send(chunked(BODY_BYTES / 2, 2 * BODY_BYTES));
	check();
}

TEST_F(Crowds, ConnectionsThatNeverSendTheirHeaders)
{
	Crowd crowd(member().caller, CONNECTIONS + CROWD);

	crowd.send("POST /s/tube-sort/crowd HTTP/1.1\r\nHost: local");
	check(CONNECTIONS);
}

TEST_F(Crowds, ReportsShortOfTheirEnd)
{
	Crowd crowd(member().control, CROWD);

	crowd.send(announced(BODY_BYTES, BODY_BYTES - 1, "/v1/targets/announce"));
	EXPECT_EQ(cluster->operator_call(member(), "GET", "/v1/status").status, 200u);
	check();
}
} // namespace

#include "../support/cluster.h"
#include "../support/tcp.h"

#include <gtest/gtest.h>

namespace
{
/* wl-fault-proxy injects and clears faults on command over HTTP. */
TEST(Proxy, FaultsAreSetAndHealed)
{
	std::string folder = folder_make();
	TcpListener upstream;
	Process proxy;
	std::string log;

	proxy.start({BUILD_DIR "/tests/proxy/wl-fault-proxy", "--routes",
		     "one=127.0.0.1:0>" + upstream.address()},
		    folder + "/log");
	ASSERT_TRUE(eventually([&] {
		log = file_read(folder + "/log");
		return log.find("ready control=") != std::string::npos;
	})) << log;
	size_t at = log.find("ready control=") + 14;
	std::string control = "127.0.0.1:" + log.substr(at, log.find('\n', at) - at);
	Answer routes = http(control, "GET", "/routes");
	std::string address = routes.at("routes.0.address");
	auto port = static_cast<uint16_t>(std::stoul(address.substr(address.find(':') + 1)));

	Tcp caller = Tcp::connect(port);
	Tcp server = upstream.accept();
	caller.send("ping");
	EXPECT_EQ(server.read_bytes(4), "ping");

	EXPECT_EQ(http(control, "POST", "/routes/one/hold-down").status, 200u);
	server.send("pong");
	EXPECT_EQ(caller.read_bytes(4, 100), "");
	caller.send("more");
	EXPECT_EQ(server.read_bytes(4), "more");
	EXPECT_EQ(http(control, "POST", "/routes/one/heal").status, 200u);
	EXPECT_EQ(caller.read_bytes(4), "pong");

	EXPECT_EQ(http(control, "POST", "/routes/one/cut-after?6").status, 200u);
	server.send("1234");
	EXPECT_EQ(caller.read_bytes(4), "12");
	EXPECT_TRUE(caller.wait_closed());
	EXPECT_EQ(http(control, "POST", "/routes/one/refuse").status, 200u);
	EXPECT_TRUE(Tcp::connect(port).wait_closed());
	EXPECT_EQ(http(control, "POST", "/routes/two/hold").status, 404u);
	EXPECT_EQ(http(control, "POST", "/routes/one/delay?x").status, 400u);
}
} // namespace

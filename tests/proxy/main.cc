/*
 * wl-fault-proxy: TCP relays with injected faults, controlled over HTTP.
 *
 *   wl-fault-proxy --control-listen IP:port --routes NAME=LISTEN>UPSTREAM,...
 *
 *   GET  /routes                 names, addresses, open connections
 *   POST /routes/NAME/FAULT?V    FAULT: refuse, hold-up, hold-down, hold, delay?MS, jitter?MS,
 *                                cut-after?BYTES, reset, upstream?IP:port, heal;
 *                                support/relay.h describes them
 */

#include "../support/events.h"
#include "../support/relay.h"

extern "C" {
#include <libwlbase/option.h>
#include <libwlnet/http_server.h>
}

#include <csignal>
#include <cstddef>
#include <cstdio>
#include <functional>
#include <map>

namespace
{
struct Settings {
	wl_buf_t control_listen;
	wl_buf_t routes;
};

const wl_option_t options[] = {
	{"control-listen", WL_OPTION_ADDRESS, offsetof(Settings, control_listen), "127.0.0.1:0",
	 "IP:port", "listener of the control interface", 0, 0, nullptr},
	{"routes", WL_OPTION_TEXT, offsetof(Settings, routes), nullptr, "NAME=IP:port>IP:port,...",
	 "listening and upstream address of each route", 0, 0, nullptr},
};

struct Route {
	std::string name;
	std::unique_ptr<Relay> relay;
	RelayFaults faults;
};

using Fault = std::function<void(Route &, const std::string &)>;

const std::map<std::string, Fault> faults = {
	{"refuse", [](Route &route, const std::string &) { route.faults.refuse = true; }},
	{"hold-up", [](Route &route, const std::string &) { route.faults.hold_up = true; }},
	{"hold-down", [](Route &route, const std::string &) { route.faults.hold_down = true; }},
	{"hold", [](Route &route,
		    const std::string &) { route.faults.hold_up = route.faults.hold_down = true; }},
	{"delay", [](Route &route,
		     const std::string &value) { route.faults.delay_ms = std::stoull(value); }},
	{"jitter", [](Route &route,
		      const std::string &value) { route.faults.jitter_ms = std::stoull(value); }},
	{"cut-after",
	 [](Route &route, const std::string &value) {
		 route.faults.reset_after_bytes = std::stoll(value);
	 }},
	{"reset", [](Route &route, const std::string &) { route.relay->reset(); }},
	{"upstream",
	 [](Route &route, const std::string &value) { route.relay->set_upstream(value); }},
	{"heal", [](Route &route, const std::string &) { route.faults = RelayFaults(); }},
};

volatile std::sig_atomic_t stopping;

void on_signal(int)
{
	stopping = 1;
}

std::vector<Route> routes_parse(const std::string &text)
{
	std::vector<Route> routes;

	for (size_t at = 0; at < text.size();) {
		size_t end = std::min(text.find(',', at), text.size());
		std::string item = text.substr(at, end - at);
		size_t name = item.find('=');
		size_t upstream = item.find('>');

		at = end + 1;
		if (name == std::string::npos || upstream == std::string::npos || upstream < name) {
			fprintf(stderr, "--routes: must be NAME=IP:port>IP:port,..., not \"%s\"\n",
				item.c_str());
			exit(2);
		}
		Route route;
		route.name = item.substr(0, name);
		route.relay = std::make_unique<Relay>(item.substr(name + 1, upstream - name - 1),
						      item.substr(upstream + 1));
		printf("route name=%s address=%s\n", route.name.c_str(),
		       route.relay->address().c_str());
		routes.push_back(std::move(route));
	}
	return routes;
}

std::string routes_list(std::vector<Route> &routes)
{
	std::string body = "{\"routes\":[";

	for (Route &route : routes)
		body += std::string(body.back() == '[' ? "" : ",") + "{\"name\":\"" + route.name +
			"\",\"address\":\"" + route.relay->address() +
			"\",\"connections\":" + std::to_string(route.relay->connections()) + "}";
	return body + "]}\n";
}

/* Applies a fault; returns the HTTP status of the response. */
unsigned int fault_set(std::vector<Route> &routes, const std::string &path,
		       const std::string &value)
{
	const std::string head = "/routes/";
	size_t slash = path.rfind('/');

	if (path.rfind(head, 0) != 0 || slash < head.size())
		return 404;
	auto fault = faults.find(path.substr(slash + 1));
	std::string name = path.substr(head.size(), slash - head.size());
	for (Route &route : routes) {
		if (route.name != name || fault == faults.end())
			continue;
		try {
			fault->second(route, value);
		} catch (const std::exception &) {
			return 400;
		}
		route.relay->set(route.faults);
		return 200;
	}
	return 404;
}

void handle_call(wl_http_server_t *server, std::vector<Route> &routes, const wl_call_t &call)
{
	wl_reply_t reply = {};
	std::string body = "{}\n";

	reply.call = call.id;
	reply.status = 200;
	if (text(call.method) == "GET" && text(call.path) == "/routes")
		body = routes_list(routes);
	else
		reply.status = fault_set(routes, text(call.path), text(call.query));
	wl_headers_add(&reply.headers, str("Content-Type"), str("application/json"));
	wl_buf_set(&reply.body, str(body));
	wl_http_server_reply(server, &reply);
}
} // namespace

int main(int argc, char **argv)
{
	constexpr int WAIT_MS = 100;
	Settings settings = {};
	wl_http_server_options_t control = {};
	Events events;
	wl_err_t err = {};

	setvbuf(stdout, nullptr, _IOLBF, 0);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	if (!wl_options_read(options, 2, argc, argv, &settings, nullptr, 0, nullptr, &err)) {
		fprintf(stderr, "wl-fault-proxy: %s\n", err.text);
		return 2;
	}
	std::vector<Route> routes = routes_parse(text(settings.routes));
	control.listen = wl_buf_str(&settings.control_listen);
	control.listener = WL_LISTENER_CONTROL;
	control.max_body_bytes = 65536;
	control.max_header_bytes = 8192;
	control.max_connections = 64;
	control.idle_ms = 60000;
	control.events = events.ring;
	control.first_call = control.call_step = 1;
	wl_http_server_t *server = wl_http_server_start(&control, &err);
	if (!server) {
		fprintf(stderr, "wl-fault-proxy: %s\n", err.text);
		return 1;
	}
	printf("ready control=%u\n", wl_http_server_port(server));
	while (!stopping) {
		Event event = events.next(WAIT_MS);

		if (event && event->kind == WL_EVENT_CALL)
			handle_call(server, routes, event->call);
	}
	wl_http_server_stop(server);
	wl_options_free(options, 2, &settings);
	return 0;
}

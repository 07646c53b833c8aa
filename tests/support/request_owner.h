#ifndef TESTS_REQUEST_OWNER_H
#define TESTS_REQUEST_OWNER_H

#include "request_run.h"

/*
 * Replaces the owner part in a test program: the run records the calls to it.  Include
 * this header in exactly one source file.
 */
extern "C" void wl_owner_relieve_pressure(wl_owner_t *owner, wl_str_t service, uint64_t, wl_out_t *)
{
	reinterpret_cast<RequestRun *>(owner)->owner_calls.push_back(
		"press " + std::string(service.at, service.len));
}

extern "C" void wl_owner_record_request(wl_owner_t *owner, wl_target_t *target, wl_str_t, bool ok,
					uint64_t took_ns, uint64_t, wl_out_t *)
{
	reinterpret_cast<RequestRun *>(owner)->owner_calls.push_back(
		"observe " + std::string(target->name.at, target->name.len) +
		(ok ? " ok" : " failed"));
	if (!ok)
		return;
	/* a moving average, as in the owner part */
	target->latency_ns = target->latency_ns
				     ? target->latency_ns - target->latency_ns / 8 + took_ns / 8
				     : took_ns;
}

#endif

/*
 * Makes one HTTP call, as a client or an operator does, and prints the status and the body.
 *
 * Usage: call METHOD ADDRESS PATH HOST TIMEOUT_MS [BODY]
 *
 * Prints "0" where no complete answer came in time.
 */

#include "http.h"

#include <stdio.h>
#include <stdlib.h>

enum {
	ARG_METHOD = 1,
	ARG_ADDRESS,
	ARG_PATH,
	ARG_HOST,
	ARG_TIMEOUT,
	ARG_BODY
};

int main(int argc, char **argv)
{
	http_call_t call;
	http_reply_t reply;

	if (argc <= ARG_TIMEOUT) {
		fprintf(stderr, "usage: call METHOD ADDRESS PATH HOST TIMEOUT_MS [BODY]\n");
		return 2;
	}
	call = (http_call_t){
		.method = argv[ARG_METHOD],
		.address = argv[ARG_ADDRESS],
		.path = argv[ARG_PATH],
		.host = argv[ARG_HOST],
		.timeout_ms = (int)strtol(argv[ARG_TIMEOUT], NULL, 10),
		.body = argc > ARG_BODY ? argv[ARG_BODY] : NULL,
	};
	http_send(&call, &reply);
	printf("%d %s\n", reply.status, reply.body ? reply.body : "");
	free(reply.body);
	return 0;
}

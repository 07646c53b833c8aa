#ifndef WL_ADDRESS_H
#define WL_ADDRESS_H

#include <netinet/in.h>
#include <sys/socket.h>

#include <libwlbase/err.h>

/* A socket address parsed from IP:port text. */
typedef struct wl_address {
	struct sockaddr_storage at;
	socklen_t len;
} wl_address_t;

bool wl_address_parse(wl_str_t text, wl_address_t *address, wl_err_t *err);
int wl_address_listen(wl_str_t text, uint16_t *port, wl_err_t *err);

#endif

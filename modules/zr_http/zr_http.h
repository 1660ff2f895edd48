#pragma once

/**
 * zr_http: adapters to RESTinio (server) and libcurl (client) on one Asio
 * io_context. Policies such as routing and retries are left to their users.
 *
 * Dependencies: zr_base, RESTinio, libcurl, standalone Asio.
 * Threads: handlers and listeners run on the io_context's threads and must not
 * block; each class documents the order of its calls.
 */

#include "zr_http/client/http_client.h"
#include "zr_http/run_handlers.h"
#include "zr_http/server/http_server.h"

#pragma once

/**
 * zr_gateway_host: a process that forwards requests on configured routes.
 * Carries out the decisions of zr_gateway over HTTP; a model of GatewayFormat
 * supplies the platform's wire format.
 *
 * Dependencies: zr_base, zr_gateway, zr_request (retry budget, crash
 * attribution), zr_http,
 * zr_platform (object store client), zr_peer (links between entry VMs),
 * zr_telemetry.
 * Threads: one thread runs the io_context and everything on it.
 */

#include "zr_gateway_host/gateway_node.h"

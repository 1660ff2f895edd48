#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_config/address.h"
#include "zr_config/problem.h"

namespace zr {

/** How VMs choose endpoints. */
enum class RoutingPolicy : uint8_t {
  kGrants,    // the endpoint's owner grants each request
  kBaseline,  // each VM takes the better of two random ones by reported load
};

/** The settings of one daemon, parsed from INI text and immutable afterwards.
 */
struct Settings {
  VmId vm;                    // unique in the environment
  DomainId domain;            // failure domain of the VM
  std::string region;         // region of the failure domain
  Address caller_listener;    // listener for callers
  Address operator_listener;  // listener for operators
  Address peer_listener;      // listener for other VMs, as they connect to it
  std::string peer_key;       // shared by all VMs, at least 16 bytes
  std::vector<Address> peer_seeds;
  std::string operator_token;  // at least 16 bytes
  Address platform_address;    // object API
  Duration platform_request_timeout;
  int64_t platform_reads_per_second = 0;
  int64_t platform_writes_per_second = 0;
  RoutingPolicy routing_policy = RoutingPolicy::kGrants;
  int64_t max_body_bytes = 0;               // of a caller's request
  int64_t max_header_bytes = 0;             // of a caller's request
  int64_t memory_mb = 0;                    // of the VM, for this process
  int64_t max_connections = 0;              // of callers
  int64_t max_connections_per_address = 0;  // of one caller's address
  Duration header_timeout;          // from the first byte of a head to its end
  Duration body_timeout;            // longest pause of a body's sender
  int64_t stream_buffer_bytes = 0;  // answer bytes buffered for a slow caller
  int64_t worker_threads = 0;
  Duration
      drain_timeout;  // a graceful stop waits this long for streams in progress
  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;

  /**
   * Parses a settings file.
   *
   * @param file_name  used in messages; the file is not opened
   * @return kInvalidArgument with all problems, one per line of the message
   */
  static Result<Settings> Parse(std::string_view text, std::string file_name);

  /** All problems of a settings file; empty if Parse() would succeed. */
  static std::vector<SettingsProblem> Check(std::string_view text,
                                            const std::string& file_name);

  /** The reference of all sections and keys in Markdown, from the table that
   * Parse() uses. */
  static std::string Reference();

  friend bool operator==(const Settings&, const Settings&) = default;
};

}  // namespace zr

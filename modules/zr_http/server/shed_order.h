#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "zr_base/time.h"

namespace zr {

/** A connection, as far as it matters for which one gives way. */
struct ClientLoad {
  enum class State {
    kIdle,     // between two requests
    kReading,  // a request has begun and its bytes are awaited
    kWaiting,  // bytes of a request wait for memory
    kRunning,  // a complete request has no answer yet
    kRefused,  // refused, about to be closed
  };
  State state = State::kIdle;
  bool served = false;      // has had an answer
  TimePoint last_progress;  // received a noticeable part of a request
  size_t held = 0;          // bytes for requests that are not complete
  size_t wanted = 0;        // the same with the bytes that it waits for
  friend auto operator<=>(const ClientLoad&, const ClientLoad&) = default;
};

/**
 * Decides which clients give way when connections or memory are short: first
 * those that were refused, then those whose request has made no progress for
 * the longest time, then those that hold the most. A request that may have run
 * is never chosen. Guards against clients that stop just short of the end of
 * their request and stay connected.
 */
class ShedOrder {
 public:
  /** Without progress for this long, a client gives way to others. Clients on
   * the slowest links make progress several times within it. */
  static constexpr Duration kStalled = Duration::Seconds(1);
  /** If memory was not released for this long, the requests that are being read
   * block each other, and the one that holds the most gives way. */
  static constexpr Duration kBlocked = Duration::Seconds(3);

  using Loads = std::vector<ClientLoad>;

  /** @param last_release  when memory was last released by a client
   * @returns the index of the client whose memory is freed, if any */
  static std::optional<size_t> ForMemory(const Loads& loads, TimePoint now,
                                         TimePoint last_release);
  /** Which of too many that wait for memory is refused: they hold bytes that
   * were received and not read. The one that wants the most, of several the
   * last.
   * @param waiting  in the order of arrival */
  static std::optional<size_t> ForWaiting(const Loads& waiting);
  /** @returns the index of the connection that makes room for a new one */
  static std::optional<size_t> ForConnection(const Loads& loads, TimePoint now);
};

}  // namespace zr

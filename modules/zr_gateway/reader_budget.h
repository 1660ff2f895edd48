#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Bounds the bytes of streamed answers that a VM holds for callers that read
 * slowly. Handles many callers that open streams and take little or nothing of
 * them: decides which streams stop reading from their endpoints, and which are
 * ended because they hold an endpoint's slot or the VM's memory.
 */
class ReaderBudget {
 public:
  using StreamId = uint64_t;

  struct Limits {
    size_t stream = size_t{64} << 10;  // bytes held for one stream
    size_t caller = size_t{2} << 20;   // bytes held for one client address
    size_t total = size_t{8} << 20;    // bytes held by the VM
    /** Longest time for which a paused stream's caller may take nothing.
     * Endpoints cut off answers that are unread for some seconds. */
    Duration max_stall = Duration::Milliseconds(1500);
    friend bool operator==(const Limits&, const Limits&) = default;
  };

  /** Limits of a VM.
   * @param memory  of the VM in bytes; 0 if it is not known */
  static Limits LimitsFor(size_t memory);

  explicit ReaderBudget(Limits limits) : limits_(limits) {}

  /** Adds a stream that holds nothing yet.
   * @param caller  address of the client */
  StreamId Add(TimePoint now, std::string caller);
  /** The stream has ended; bytes that were not sent still count. */
  void Remove(StreamId id);

  /**
   * Asks whether the stream may read further bytes from its endpoint. If not,
   * the stream is paused until OnSent() returns true.
   * A stream that holds nothing always may, so a caller that reads is never
   * stopped by those that don't.
   */
  [[nodiscard]] bool TryRead(StreamId id, size_t bytes);
  /** Bytes were handed to the caller's connection. */
  void OnWritten(TimePoint now, StreamId id, size_t bytes);
  /** The caller's connection took the bytes, or failed.
   * @returns whether the stream was paused and has to be resumed */
  [[nodiscard]] bool OnSent(TimePoint now, StreamId id, size_t bytes);

  /** Streams that have to be ended now; each is named once. A paused stream is
   * ended when its caller took nothing for max_stall. If the VM's limit is
   * exceeded, the streams whose callers took nothing for the longest time are
   * ended first. */
  std::vector<StreamId> TakeOverdue(TimePoint now);

  /** Time since the stream's caller took bytes; 0 if it holds nothing. */
  Duration StalledFor(TimePoint now, StreamId id) const;
  /** Bytes held for a stream. */
  size_t HeldBy(StreamId id) const;
  /** Bytes held for all streams. */
  size_t held() const { return held_; }
  size_t streams() const { return streams_.size(); }

 private:
  struct Stream {
    std::string caller;
    size_t held = 0;
    TimePoint taken_at;  // bytes were taken, or began to wait
    bool paused = false;
    bool ended = false;
  };

  void EraseIfDone(std::map<StreamId, Stream>::iterator it);
  size_t HeldByLive() const;

  Limits limits_;
  StreamId last_id_ = 0;
  std::map<StreamId, Stream> streams_;
  std::map<std::string, size_t> held_by_caller_;
  size_t held_ = 0;
};

}  // namespace zr

#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <vector>

namespace zr {

/**
 * Follows the framing of the requests on a connection, so that what each costs
 * in memory is known before it is passed on to the server. Merges chunks, whose
 * records otherwise take more than their bytes, and leaves out trailers.
 */
class RequestReader {
 public:
  struct Limits {
    size_t max_header_bytes = 0;  // sum of names and values
    size_t max_body_bytes = 0;
    size_t body_copies = 1;  // that the program makes of a body
    friend auto operator<=>(const Limits&, const Limits&) = default;
  };
  enum class Verdict { kNone, kHeadTooLarge, kBodyTooLarge };
  /** What a call of Read() left in the buffer. */
  struct Output {
    size_t size = 0;                   // bytes to pass on; 0: read more first
    size_t completed = 0;              // requests that end within them
    Verdict verdict = Verdict::kNone;  // if set, nothing is passed on
    bool malformed = false;            // the server rejects what is passed on
  };
  enum class Phase { kIdle, kHead, kBody };

  /** Bytes at the end of a buffer that must stay free for framing. */
  static constexpr size_t kOverhead = 32;
  static constexpr size_t kMaxFields = 200;

  /** Limit of an account that has room for a request of the largest size, in
   * any form, beside small ones. */
  static size_t MemoryFor(const Limits& limits);

  RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /**
   * Reads the bytes that follow the held ones at the start of the buffer.
   *
   * @param size  number of new bytes; held() + size + kOverhead must not exceed
   *              the capacity
   */
  Output Read(char* buffer, size_t capacity, size_t size, const Limits& limits);

  /** Bytes at the start of the buffer that wait for more. */
  size_t held() const { return held_; }
  Phase phase() const { return phase_; }
  /** Memory that the server needs for the unfinished request, in bytes. */
  size_t Cost() const { return phase_ == Phase::kIdle ? 0 : CostOfMessage(); }
  /** The same for the requests that ended in the last call, in their order. */
  const std::vector<size_t>& completed_costs() const { return completed_; }
  /** Value of x-request-id of the current request; empty if none was read. */
  const std::string& request_id() const { return request_id_; }

 private:
  struct Callbacks;
  class Builder;

  size_t CostOfMessage() const;
  void BeginMessage();

  http_parser parser_;
  Limits limits_;
  Builder* builder_ = nullptr;  // during Read()
  Phase phase_ = Phase::kIdle;
  Verdict verdict_ = Verdict::kNone;
  size_t held_ = 0;
  size_t head_bytes_ = 0;    // names, values and target
  size_t header_bytes_ = 0;  // names and values
  size_t fields_ = 0;
  size_t length_ = 0;  // announced
  size_t body_bytes_ = 0;
  size_t chunks_ = 0;  // passed on
  bool chunked_ = false;
  bool in_value_ = true;
  bool trailers_ = false;
  std::string name_;  // of the current field, as far as it may be x-request-id
  std::string request_id_;
  std::vector<size_t> completed_;
};

}  // namespace zr

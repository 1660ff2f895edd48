#include "zr_http/server/request_reader.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <cstring>
#include <string_view>

#include "zr_base/assert.h"

namespace zr {
namespace {

// Objects and small allocations of one request.
constexpr size_t kRequestBytes = 4096;
// A head is held by the server, as parsed headers and by the forwarded call.
constexpr size_t kHeadCopies = 3;
// The buffer of a body of unknown length doubles; that of a known one doesn't.
constexpr size_t kChunkedCopies = 2;
// Record of a chunk in a vector that doubles.
constexpr size_t kChunkRecordBytes = 2 * 48;
// Costs of unfinished bodies rise in steps, so that few reads need the account.
constexpr size_t kCostStep = size_t{16} << 10;
// Longest request id that a refusal names.
constexpr size_t kMaxIdBytes = 128;
constexpr std::string_view kRequestId = "x-request-id";
// Above the receive buffer of a connection.
constexpr size_t kMaxBuffer = size_t{16} << 10;
// A chunk of merged data begins with its size in up to four digits and CRLF.
constexpr size_t kChunkHead = 6;

}  // namespace

/** Assembles what is passed on. */
class RequestReader::Builder {
 public:
  explicit Builder(char* bytes) : bytes_(bytes) {}

  void Append(const char* data, size_t size) {
    CloseChunk();
    Put(data, size);
  }
  void AppendChunkData(const char* data, size_t size) {
    if (!open_) {
      open_ = true;
      chunk_ = size_;
      size_ += kChunkHead;
    }
    Put(data, size);
  }
  /** @returns whether there was data */
  bool CloseChunk() {
    if (!open_) return false;
    open_ = false;
    const size_t data = size_ - chunk_ - kChunkHead;
    std::array<char, kChunkHead + 1> head{};
    const auto length = static_cast<size_t>(
        std::snprintf(head.data(), head.size(), "%zx\r\n", data));
    std::memcpy(bytes_ + chunk_, head.data(), length);
    std::memmove(bytes_ + chunk_ + length, bytes_ + chunk_ + kChunkHead, data);
    size_ = chunk_ + length + data;
    Put("\r\n", 2);
    return true;
  }
  /** Bytes of the open chunk if nothing is in front of it, otherwise 0. */
  size_t OnlyChunkData() const {
    return open_ && chunk_ == 0 ? size_ - kChunkHead : 0;
  }
  const char* only_chunk() const { return bytes_ + kChunkHead; }
  size_t size() const { return size_; }

 private:
  void Put(const char* data, size_t size) {
    ZR_ASSERT(size_ + size <= 2 * kMaxBuffer, "more output than input");
    std::memcpy(bytes_ + size_, data, size);
    size_ += size;
  }

  char* bytes_;
  size_t size_ = 0;
  size_t chunk_ = 0;  // where the open chunk begins
  bool open_ = false;
};

struct RequestReader::Callbacks {
  static RequestReader& Of(http_parser* parser) {
    return *static_cast<RequestReader*>(parser->data);
  }
  static int Stop(RequestReader& reader, Verdict verdict) {
    reader.verdict_ = verdict;
    return 1;
  }
  static int OnBegin(http_parser* parser) {
    Of(parser).phase_ = Phase::kHead;
    return 0;
  }
  static int OnTarget(http_parser* parser, const char* /*at*/, size_t size) {
    Of(parser).head_bytes_ += size;
    return 0;
  }
  static int OnName(http_parser* parser, const char* at, size_t size) {
    RequestReader& reader = Of(parser);
    if (reader.in_value_) {
      reader.in_value_ = false;
      reader.name_.clear();
      if (++reader.fields_ > kMaxFields) {
        return Stop(reader, Verdict::kHeadTooLarge);
      }
    }
    for (size_t i = 0; i < size && reader.name_.size() <= kRequestId.size();
         ++i) {
      reader.name_ +=
          static_cast<char>(std::tolower(static_cast<unsigned char>(at[i])));
    }
    return Count(reader, size);
  }
  static int OnValue(http_parser* parser, const char* at, size_t size) {
    RequestReader& reader = Of(parser);
    if (!reader.in_value_ && reader.name_ == kRequestId) {
      reader.request_id_.clear();
    }
    reader.in_value_ = true;
    if (!reader.trailers_ && reader.name_ == kRequestId) {
      reader.request_id_.append(
          at,
          std::min(size, kMaxIdBytes -
                             std::min(kMaxIdBytes, reader.request_id_.size())));
    }
    return Count(reader, size);
  }
  static int Count(RequestReader& reader, size_t size) {
    reader.head_bytes_ += size;
    reader.header_bytes_ += size;
    return reader.header_bytes_ > reader.limits_.max_header_bytes
               ? Stop(reader, Verdict::kHeadTooLarge)
               : 0;
  }
  static int OnHead(http_parser* parser) {
    RequestReader& reader = Of(parser);
    reader.phase_ = Phase::kBody;
    reader.trailers_ = true;
    reader.chunked_ = (parser->flags & F_CHUNKED) != 0;
    if (!reader.chunked_ && parser->content_length != UINT64_MAX) {
      if (parser->content_length > reader.limits_.max_body_bytes) {
        return Stop(reader, Verdict::kBodyTooLarge);
      }
      reader.length_ = static_cast<size_t>(parser->content_length);
    }
    // What follows is read differently; the parser goes on at the same byte.
    http_parser_pause(parser, 1);
    return 0;
  }
  static int OnChunk(http_parser* parser) {
    RequestReader& reader = Of(parser);
    const size_t left =
        reader.limits_.max_body_bytes -
        std::min(reader.limits_.max_body_bytes, reader.body_bytes_);
    return parser->content_length > left ? Stop(reader, Verdict::kBodyTooLarge)
                                         : 0;
  }
  static int OnBody(http_parser* parser, const char* at, size_t size) {
    RequestReader& reader = Of(parser);
    reader.body_bytes_ += size;
    if (reader.chunked_) reader.builder_->AppendChunkData(at, size);
    return 0;
  }
  static int OnEnd(http_parser* parser) {
    Of(parser).phase_ = Phase::kIdle;
    http_parser_pause(parser, 1);
    return 0;
  }
  static http_parser_settings Settings() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = &OnBegin;
    settings.on_url = &OnTarget;
    settings.on_header_field = &OnName;
    settings.on_header_value = &OnValue;
    settings.on_headers_complete = &OnHead;
    settings.on_chunk_header = &OnChunk;
    settings.on_body = &OnBody;
    settings.on_message_complete = &OnEnd;
    return settings;
  }
};

size_t RequestReader::MemoryFor(const Limits& limits) {
  const size_t body =
      (limits.body_copies + kChunkedCopies - 1) * limits.max_body_bytes;
  // Chunks are merged to more than 1 KiB.
  const size_t records = limits.max_body_bytes / 1024 * kChunkRecordBytes;
  const size_t cost = kRequestBytes + kHeadCopies * limits.max_header_bytes +
                      body + records + kCostStep;
  return cost + cost / 4;  // the soft bound is 7/8
}

RequestReader::RequestReader() { BeginMessage(); }

void RequestReader::BeginMessage() {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  phase_ = Phase::kIdle;
  head_bytes_ = header_bytes_ = fields_ = 0;
  length_ = body_bytes_ = chunks_ = 0;
  chunked_ = trailers_ = false;
  in_value_ = true;
  request_id_.clear();
}

size_t RequestReader::CostOfMessage() const {
  const size_t head = kRequestBytes + kHeadCopies * head_bytes_;
  if (!chunked_) return head + limits_.body_copies * length_;
  const size_t body = (limits_.body_copies + kChunkedCopies - 1) * body_bytes_ +
                      kChunkRecordBytes * chunks_;
  return head + (body + kCostStep - 1) / kCostStep * kCostStep;
}

RequestReader::Output RequestReader::Read(char* buffer, size_t capacity,
                                          size_t size, const Limits& limits) {
  ZR_ASSERT(capacity <= kMaxBuffer && held_ + size + kOverhead <= capacity,
            "buffer of a connection is too small or too large");
  static const http_parser_settings kSettings = Callbacks::Settings();
  thread_local std::array<char, 2 * kMaxBuffer> scratch;
  Builder out(scratch.data());
  builder_ = &out;
  limits_ = limits;
  completed_.clear();
  if (held_ > 0) out.AppendChunkData(buffer, held_);
  const char* raw = buffer + held_;
  held_ = 0;
  Output output;
  size_t position = 0;  // of the parser
  size_t passed = 0;    // of what was passed on
  size_t complete = 0;  // bytes of output up to the last request that ended
  while (position < size && verdict_ == Verdict::kNone && !output.malformed) {
    const bool merge = phase_ == Phase::kBody && chunked_;
    position += http_parser_execute(&parser_, &kSettings, raw + position,
                                    size - position);
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    const bool head_ended = error == HPE_PAUSED && phase_ == Phase::kBody;
    const bool ended = error == HPE_PAUSED && phase_ == Phase::kIdle;
    if (error == HPE_HEADER_OVERFLOW && phase_ == Phase::kHead) {
      verdict_ = Verdict::kHeadTooLarge;
    }
    if (verdict_ != Verdict::kNone) break;
    output.malformed = error != HPE_OK && error != HPE_PAUSED;
    if (merge && output.malformed) {
      out.Append("!", 1);  // no size of a chunk, whatever the server expects
    } else if (!merge) {
      const size_t end = output.malformed ? size : position + head_ended;
      out.Append(raw + passed, end - passed);
      passed = end;
    } else {
      passed = position;
    }
    if (head_ended) http_parser_pause(&parser_, 0);
    if (!ended) continue;
    if (merge) {
      if (out.CloseChunk()) ++chunks_;
      out.Append("0\r\n\r\n", 5);
    }
    completed_.push_back(CostOfMessage());
    BeginMessage();
    complete = out.size();
  }
  output.verdict = verdict_;
  output.completed = completed_.size();
  output.size = complete;
  if (verdict_ == Verdict::kNone) {
    if (const size_t data = out.OnlyChunkData();
        data > 0 && data + kChunkHead + kOverhead < capacity / 2) {
      std::memcpy(buffer, out.only_chunk(), data);
      held_ = data;
      builder_ = nullptr;
      return output;
    }
    if (out.CloseChunk()) ++chunks_;
    output.size = out.size();
  }
  builder_ = nullptr;
  ZR_ASSERT(output.size <= capacity, "more output than the buffer takes");
  std::memcpy(buffer, scratch.data(), output.size);
  return output;
}

}  // namespace zr

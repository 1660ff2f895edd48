#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "zr_records/operation_record.h"

namespace zr {

/** Converts records to and from the JSON text that the object API stores. */
class RecordCodec {
 public:
  /** Largest text that Decode accepts, in bytes. The largest valid record is
   * smaller. */
  static constexpr size_t kMaxBytes = size_t{512} << 10;
  /** Format number that Encode writes and Decode requires. */
  static constexpr int kFormat = 1;

  /**
   * Encodes a record as one JSON object. The body of the outcome is stored as
   * base64, because it may be binary. A body above kMaxInlineBody is omitted.
   */
  static std::string Encode(const OperationRecord& record);

  /**
   * Decodes a record.
   *
   * @returns kTooLarge for a text above kMaxBytes, kInvalidArgument for
   *          malformed JSON, excessive nesting, another format number, a
   *          missing field, or a field of the wrong type or range
   */
  static Result<OperationRecord> Decode(std::string_view text);
};

}  // namespace zr

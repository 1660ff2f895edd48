#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "zr_records/operation_record.h"

namespace zr {

/** Converts records to and from the JSON text that the object API stores. */
class RecordCodec {
 public:
  /** Largest text that Decode accepts, in bytes; the largest valid record is
   * smaller. */
  static constexpr size_t kMaxBytes = size_t{512} << 10;
  /** Format number that Encode writes and Decode expects. */
  static constexpr int kFormat = 1;

  /**
   * Encodes a record as one JSON object. An outcome body is stored as base64,
   * because it need not be text. A body above kMaxInlineBody is left out.
   */
  static std::string Encode(const OperationRecord& record);

  /**
   * Decodes a record.
   *
   * @returns kTooLarge for a text above kMaxBytes, kInvalidArgument for
   *          malformed JSON, excess depth, another format number, a missing
   *          field or a field of the wrong type or range
   */
  static Result<OperationRecord> Decode(std::string_view text);
};

}  // namespace zr

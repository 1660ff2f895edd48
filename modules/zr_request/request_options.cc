#include "zr_request/request_options.h"

namespace zr {
namespace {

// Separates the request id from the grant's identity; the last one counts, so
// that a caller's id may contain it.
constexpr char kSeparator = '~';

void AppendHex(std::string& out, uint64_t value) {
  static constexpr char kDigits[] = "0123456789abcdef";
  int shift = 60;
  while (shift > 0 && (value >> shift) == 0) shift -= 4;
  for (; shift >= 0; shift -= 4) out += kDigits[(value >> shift) & 15];
}

}  // namespace

std::string MakeStreamId(const RequestId& request, const VmId& owner, Incarnation owner_incarnation,
                         GrantNumber number) {
  std::string id = request.value();
  id += kSeparator;
  AppendHex(id, Hash64(owner.value()));
  id += '.';
  AppendHex(id, owner_incarnation.value());
  id += '.';
  AppendHex(id, number.value());
  return id;
}

std::string MakeStreamId(const Grant& grant) {
  return MakeStreamId(grant.request, grant.owner, grant.owner_incarnation, grant.number);
}

std::string MakeStreamId(const HeldGrant& grant) {
  return MakeStreamId(grant.request, grant.owner, grant.owner_incarnation, grant.number);
}

RequestId RequestOfStreamId(const std::string& stream_id) {
  const size_t end = stream_id.rfind(kSeparator);
  return end == std::string::npos ? RequestId() : RequestId(stream_id.substr(0, end));
}

}  // namespace zr

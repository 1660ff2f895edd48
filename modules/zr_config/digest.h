#pragma once

#include <string>
#include <string_view>

namespace zr {

/** SHA-256 of the bytes as 64 lower-case hex digits. */
std::string Sha256Hex(std::string_view bytes);

/** Digest by which a document is named in trial, promotion and heartbeats. */
inline std::string DocumentDigest(std::string_view text) { return Sha256Hex(text); }

/** Digest under which a team's bearer key is listed in the document. */
inline std::string KeyDigest(std::string_view bearer_key) { return Sha256Hex(bearer_key); }

}  // namespace zr

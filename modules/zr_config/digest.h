#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace zr {

/** SHA-256 of the bytes as 64 lower-case hex digits. */
std::string Sha256Hex(std::string_view bytes);

/** Incremental SHA-256. */
class Sha256 {
 public:
  Sha256();
  ~Sha256();
  Sha256(const Sha256&) = delete;
  Sha256& operator=(const Sha256&) = delete;

  void Add(std::string_view bytes);
  /** The digest as 64 lower-case hex digits. Must be called once, after the
   * last Add(). */
  std::string Hex();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/** Digest that identifies a document in trials, promotions and heartbeats. */
inline std::string DocumentDigest(std::string_view text) {
  return Sha256Hex(text);
}

/** Digest under which a team's bearer key is listed in the document. */
inline std::string KeyDigest(std::string_view bearer_key) {
  return Sha256Hex(bearer_key);
}

}  // namespace zr

#include "zr_config/digest.h"

#include <openssl/evp.h>

#include "zr_base/zr_base.h"

namespace zr {

std::string Sha256Hex(std::string_view bytes) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  const int done = EVP_Digest(bytes.data(), bytes.size(), digest, &size, EVP_sha256(), nullptr);
  ZR_ASSERT(done == 1, "SHA-256 is not available");
  if (done != 1) return {};
  static constexpr char kHex[] = "0123456789abcdef";
  std::string text;
  for (unsigned int i = 0; i < size; ++i) {
    text += kHex[digest[i] >> 4];
    text += kHex[digest[i] & 0xf];
  }
  return text;
}

}  // namespace zr

#include "zr_config/digest.h"

#include <openssl/evp.h>

#include "zr_base/zr_base.h"

namespace zr {

struct Sha256::State {
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  ~State() { EVP_MD_CTX_free(context); }
};

Sha256::Sha256() : state_(std::make_unique<State>()) {
  const int done = EVP_DigestInit_ex(state_->context, EVP_sha256(), nullptr);
  ZR_ASSERT(done == 1, "SHA-256 is not available");
}

Sha256::~Sha256() = default;

void Sha256::Add(std::string_view bytes) {
  EVP_DigestUpdate(state_->context, bytes.data(), bytes.size());
}

std::string Sha256::Hex() {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  if (EVP_DigestFinal_ex(state_->context, digest, &size) != 1) return {};
  static constexpr char kHex[] = "0123456789abcdef";
  std::string text;
  for (unsigned int i = 0; i < size; ++i) {
    text += kHex[digest[i] >> 4];
    text += kHex[digest[i] & 0xf];
  }
  return text;
}

std::string Sha256Hex(std::string_view bytes) {
  Sha256 digest;
  digest.Add(bytes);
  return digest.Hex();
}

}  // namespace zr

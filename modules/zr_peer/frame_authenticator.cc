#include "zr_peer/frame_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace zr {
namespace {

using Json = nlohmann::json;

constexpr size_t kNonceBytes = 32;
constexpr size_t kMacBytes = 16;  // truncated HMAC of a data frame
constexpr size_t kCounterBytes = 8;
constexpr size_t kMaxHandshakeBytes = 1024;
constexpr std::string_view kHello = "hello1";
constexpr std::string_view kProof = "proof1";

std::string Hmac(std::string_view key, std::string_view data) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(), out,
       &size);
  return std::string(reinterpret_cast<char*>(out), size);
}

std::string RandomNonce() {
  std::string nonce(kNonceBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
             static_cast<int>(nonce.size()));
  return nonce;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string ToFrame(const Json& json) {
  const std::vector<uint8_t> cbor = Json::to_cbor(json);
  return std::string(cbor.begin(), cbor.end());
}

std::string BinaryToString(const Json& json) {
  const auto& bytes = json.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

Json ToBinary(const std::string& text) {
  return Json::binary(std::vector<uint8_t>(text.begin(), text.end()));
}

std::string EncodeCounter(uint64_t counter) {
  std::string out(kCounterBytes, '\0');
  for (size_t i = 0; i < kCounterBytes; ++i) {
    out[i] = static_cast<char>(counter >> (8 * (kCounterBytes - 1 - i)));
  }
  return out;
}

tl::unexpected<Error> Unauthenticated(const VmId& peer, std::string message) {
  return Fail(ErrorCode::kUnauthenticated, "peer link", peer.value(),
              std::move(message));
}

}  // namespace

FrameAuthenticator::FrameAuthenticator(std::string key, VmId self,
                                       Incarnation incarnation)
    : key_(std::move(key)),
      self_(std::move(self)),
      incarnation_(incarnation),
      nonce_(RandomNonce()) {}

std::string FrameAuthenticator::MakeHello() const {
  return ToFrame(Json::array(
      {kHello, self_.value(), incarnation_.value(), ToBinary(nonce_)}));
}

std::string FrameAuthenticator::MakeProof() const {
  return ToFrame(
      Json::array({kProof, ToBinary(Proof(self_, nonce_, peer_nonce_))}));
}

Result<FrameAuthenticator::Progress> FrameAuthenticator::OnHandshakeFrame(
    std::string_view frame) {
  if (frame.size() > kMaxHandshakeBytes) {
    return Unauthenticated(peer_, "handshake is too long");
  }
  const Json json = Json::from_cbor(frame.begin(), frame.end(), true, false);
  if (!json.is_array() || json.empty() || !json[0].is_string()) {
    return Unauthenticated(peer_, "handshake frame is malformed");
  }
  if (json[0] == kHello && peer_nonce_.empty()) {
    if (json.size() < 4 || !json[1].is_string() ||
        !json[2].is_number_unsigned() || !json[3].is_binary() ||
        json[3].get_binary().size() != kNonceBytes) {
      return Unauthenticated(peer_, "hello is malformed");
    }
    peer_ = VmId(json[1].get<std::string>());
    peer_incarnation_ = Incarnation(json[2].get<uint64_t>());
    peer_nonce_ = BinaryToString(json[3]);
    if (peer_nonce_ == nonce_) {
      return Unauthenticated(peer_, "hello reflects the nonce of this VM");
    }
    return Progress::kSendProof;
  }
  if (json[0] == kProof && !peer_nonce_.empty()) {
    if (json.size() < 2 || !json[1].is_binary() ||
        !ConstantTimeEqual(BinaryToString(json[1]),
                           Proof(peer_, peer_nonce_, nonce_))) {
      return Unauthenticated(peer_, "proof does not match the key");
    }
    session_key_ = Hmac(key_, nonce_ < peer_nonce_ ? nonce_ + peer_nonce_
                                                   : peer_nonce_ + nonce_);
    authenticated_ = true;
    return Progress::kAuthenticated;
  }
  return Unauthenticated(peer_, "unexpected handshake frame");
}

std::string FrameAuthenticator::Proof(const VmId& from,
                                      std::string_view from_nonce,
                                      std::string_view to_nonce) const {
  std::string data(kProof);
  data += from_nonce;
  data += to_nonce;
  data += from.value();
  return Hmac(key_, data);
}

std::string FrameAuthenticator::FrameMac(const VmId& from, uint64_t counter,
                                         std::string_view payload) const {
  std::string data = EncodeCounter(counter);
  data += from.value();
  data += '\0';
  data += payload;
  return Hmac(session_key_, data).substr(0, kMacBytes);
}

std::string FrameAuthenticator::Seal(std::string_view payload) {
  ZR_ASSERT(authenticated_, "data is sent on authenticated links only");
  const uint64_t counter = ++sent_;
  std::string frame = FrameMac(self_, counter, payload);
  frame += payload;
  return frame;
}

Result<std::string> FrameAuthenticator::Open(std::string_view frame) {
  if (!authenticated_ || frame.size() < kMacBytes) {
    return Unauthenticated(peer_,
                           "data frame is too short or precedes the handshake");
  }
  const std::string_view payload = frame.substr(kMacBytes);
  if (!ConstantTimeEqual(frame.substr(0, kMacBytes),
                         FrameMac(peer_, received_ + 1, payload))) {
    return Unauthenticated(peer_, "data frame has a wrong HMAC");
  }
  ++received_;
  return std::string(payload);
}

}  // namespace zr

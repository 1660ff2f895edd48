#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Authenticates one link with a shared key.
 *
 * Each side sends a hello with its name and a random nonce, then a proof: an
 * HMAC-SHA256 over both names and nonces. Data frames carry a counter and an
 * HMAC under a key derived from the key and both nonces, so frames can be
 * neither injected, reordered nor replayed on another link.
 */
class FrameAuthenticator {
 public:
  FrameAuthenticator(std::string key, VmId self, Incarnation incarnation);

  //============================================================================
  // Handshake

  /** The first frame to send. */
  std::string MakeHello() const;

  enum class Progress {
    kSendProof,      // MakeProof() is to be sent
    kAuthenticated,  // the link is ready
  };
  /**
   * Handles a handshake frame of the peer. The link must be closed on an error.
   */
  Result<Progress> OnHandshakeFrame(std::string_view frame);
  std::string MakeProof() const;

  bool authenticated() const { return authenticated_; }
  const VmId& peer() const { return peer_; }
  Incarnation peer_incarnation() const { return peer_incarnation_; }

  //============================================================================
  // Data

  /** Returns a data frame with the payload; needs an authenticated link. */
  std::string Seal(std::string_view payload);
  /**
   * Verifies a data frame.
   * @returns the payload, or kUnauthenticated if the frame is not the peer's
   *          next one
   */
  Result<std::string> Open(std::string_view frame);

 private:
  std::string Proof(const VmId& from, std::string_view from_nonce,
                    std::string_view to_nonce) const;
  std::string FrameMac(const VmId& from, uint64_t counter,
                       std::string_view payload) const;

  std::string key_;
  VmId self_;
  Incarnation incarnation_;
  std::string nonce_;
  VmId peer_;
  Incarnation peer_incarnation_;
  std::string peer_nonce_;
  std::string session_key_;
  uint64_t sent_ = 0;
  uint64_t received_ = 0;
  bool authenticated_ = false;
};

}  // namespace zr

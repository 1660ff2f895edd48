#include "zr_base/invariants.h"

#include <atomic>

namespace zr {
namespace {

std::array<std::atomic<uint64_t>, kInvariantCount> g_counts{};
std::atomic<Invariants::ViolationHandler> g_handler{nullptr};

}  // namespace

std::string_view ToString(Invariant invariant) {
  static constexpr std::array<std::string_view, kInvariantCount> kNames = {
      "admitted_finishes", "no_kv_leak",
      "fresh_not_overrun", "drained_domain_idle",
      "answer_integrity",  "not_run_true",
      "at_most_once",      "leaving_endpoint_idle",
      "graceful_stop",     "config_no_revert",
      "internal"};
  return kNames[static_cast<size_t>(invariant)];
}

void Invariants::Report(Invariant invariant, std::string_view message) {
  g_counts[static_cast<size_t>(invariant)].fetch_add(1,
                                                     std::memory_order_relaxed);
  if (ViolationHandler handler = g_handler.load()) handler(invariant, message);
}

void Invariants::SetHandler(ViolationHandler handler) {
  g_handler.store(handler);
}

uint64_t Invariants::Count(Invariant invariant) {
  return g_counts[static_cast<size_t>(invariant)].load(
      std::memory_order_relaxed);
}

uint64_t Invariants::Total() {
  uint64_t total = 0;
  for (const auto& count : g_counts) {
    total += count.load(std::memory_order_relaxed);
  }
  return total;
}

void Invariants::Reset() {
  for (auto& count : g_counts) count.store(0);
}

}  // namespace zr

#pragma once

#include <asio/steady_timer.hpp>
#include <memory>

#include "zr_daemon/node_context.h"
#include "zr_records/zr_records.h"

namespace zr {

/** Runs the RetentionSweeper on a strand while this VM is the first lease
 * candidate. */
class RetentionRunner : public std::enable_shared_from_this<RetentionRunner> {
 public:
  explicit RetentionRunner(NodeContext& context);
  RetentionRunner(const RetentionRunner&) = delete;
  RetentionRunner& operator=(const RetentionRunner&) = delete;

  void Start();
  /** Cancels the timer. Thread-safe. */
  void Stop();

 private:
  void ScheduleTick(Duration delay);
  void Tick();
  void Post(SweepEvent event);
  void Handle(const SweepEvent& event);

  void Execute(const SweepList& action);
  void Execute(const SweepDelete& action);
  void Execute(const SweepReport& action);

  bool ShouldSweep() const;

  NodeContext& context_;
  Strand strand_;
  asio::steady_timer timer_;
  RetentionSweeper sweeper_;
  bool stopped_ = false;
};

}  // namespace zr

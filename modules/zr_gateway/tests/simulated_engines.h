#pragma once

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "zr_gateway/zr_gateway.h"

namespace zr {

/**
 * Simulates engines that work in passes, in virtual time. A pass that decodes
 * has `stride` steps and prefills up to `chunk` prompt tokens in each; segments
 * of other engines' prompts come first. Used to test placement under load.
 */
class SimulatedEngines {
 public:
  /** A request at its engine. */
  struct Job {
    std::string name;
    double left_ms = 0;     // of the engine's own segment
    int segments_left = 0;  // segments that helpers have not prefilled yet
    size_t engine = 0;      // that runs it
    int events_left = 0;
    double context_tokens = 0;
    bool running = false;
    std::function<void(TimePoint)> on_event;
    std::function<void(TimePoint)> on_end;
  };
  using JobPtr = std::shared_ptr<Job>;

  SimulatedEngines(EngineProfile profile, size_t count)
      : profile_(profile), engines_(count) {}

  size_t size() const { return engines_.size(); }

  /** Passes that an engine begins from now on take so many times longer. */
  void SetSlowness(size_t engine, double factor) {
    engines_[engine].slowness = factor;
  }

  /** Starts a job on an engine, with segments of its prompt on helpers. */
  void Start(TimePoint now, size_t engine, const JobPtr& job,
             const std::vector<size_t>& helpers, double part_ms) {
    job->left_ms = part_ms;
    job->segments_left = static_cast<int>(helpers.size());
    job->engine = engine;
    engines_[engine].waiting.push_back(job);
    StartPass(now, engine);
    for (size_t helper : helpers) {
      engines_[helper].segments.push_back({part_ms, job});
      StartPass(now, helper);
    }
  }

  /** Time at which the next pass of any engine ends; Max if all are idle. */
  TimePoint NextEvent() const {
    TimePoint next = TimePoint::Max();
    for (const Engine& engine : engines_) next = std::min(next, engine.ends);
    return next;
  }

  /** Ends all passes that are due and starts the next ones. */
  void Advance(TimePoint now) {
    for (size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].ends > now) continue;
      EndPass(engines_[i]);
      engines_[i].ends = TimePoint::Max();
      StartPass(now, i);
    }
    // An idle engine goes on with a prompt once its helpers have finished.
    for (size_t engine : std::exchange(prefilled_, {})) StartPass(now, engine);
  }

 private:
  struct Segment {
    double left_ms;
    JobPtr job;
  };
  struct Engine {
    std::list<Segment> segments;  // prefilled for other engines
    std::list<JobPtr> waiting;
    std::list<JobPtr> decoding;
    double prefill_budget_ms = 0;  // prefill done in the current pass
    TimePoint ends = TimePoint::Max();
    double slowness = 1;
  };

  void StartPass(TimePoint now, size_t index) {
    Engine& engine = engines_[index];
    if (engine.ends != TimePoint::Max()) return;
    Admit(engine);
    double pending_ms = 0;
    bool prefilled =
        false;  // one of its prompts, by the engine and its helpers
    for (const Segment& part : engine.segments) pending_ms += part.left_ms;
    for (const JobPtr& job : engine.waiting) {
      if (!job->running) continue;
      pending_ms += job->left_ms;
      prefilled |= job->left_ms <= 0 && job->segments_left == 0;
    }
    const bool decodes = !engine.decoding.empty();
    if (!decodes && pending_ms <= 0 && !prefilled) return;
    // At most one chunk per step; without decoding, a pass prefills everything.
    const double max_prefill_ms =
        decodes
            ? profile_.stride * static_cast<double>(profile_.chunk.value()) /
                  profile_.prefill_tokens_per_ms
            : pending_ms;
    engine.prefill_budget_ms = std::min(pending_ms, max_prefill_ms);
    double context = 0;
    for (const JobPtr& job : engine.decoding) context += job->context_tokens;
    const int count = static_cast<int>(engine.decoding.size());
    const double pass =
        engine.slowness *
        (PassMilliseconds(profile_, count, decodes ? context / count : 0) +
         engine.prefill_budget_ms);
    engine.ends = now + Duration::Microseconds(
                            std::max<int64_t>(1000, int64_t(pass * 1000)));
  }

  void Admit(Engine& engine) {
    size_t running = engine.decoding.size();
    for (const JobPtr& job : engine.waiting) running += job->running ? 1 : 0;
    for (const JobPtr& job : engine.waiting) {
      if (running >= static_cast<size_t>(profile_.slots)) break;
      if (job->running) continue;
      job->running = true;
      ++running;
    }
  }

  void EndPass(Engine& engine) {
    const TimePoint now = engine.ends;
    double budget = engine.prefill_budget_ms;
    const auto read = [&budget](double& left) {
      const double done = std::min(left, budget);
      left -= done;
      budget -= done;
      return left <= 1e-9;
    };
    std::list<JobPtr> decoding = engine.decoding;
    for (const JobPtr& job : decoding) EmitEvent(now, engine, job);
    for (auto it = engine.segments.begin(); it != engine.segments.end();) {
      if (read(it->left_ms)) {
        if (--it->job->segments_left == 0) {
          prefilled_.push_back(it->job->engine);
        }
        it = engine.segments.erase(it);
      } else {
        ++it;
      }
    }
    for (auto it = engine.waiting.begin(); it != engine.waiting.end();) {
      const JobPtr job = *it;
      if (job->running && read(job->left_ms) && job->segments_left == 0) {
        it = engine.waiting.erase(it);
        engine.decoding.push_back(job);
        EmitEvent(now, engine, job);
      } else {
        ++it;
      }
    }
  }

  void EmitEvent(TimePoint now, Engine& engine, const JobPtr& job) {
    --job->events_left;
    job->on_event(now);
    if (job->events_left > 0) return;
    engine.decoding.remove(job);
    job->on_end(now);
  }

  EngineProfile profile_;
  std::vector<Engine> engines_;
  std::vector<size_t> prefilled_;  // engines whose helpers have finished
};

}  // namespace zr

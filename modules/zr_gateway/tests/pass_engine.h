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
 * Engines that work in passes, in virtual time: a pass with writers has
 * `stride` steps and reads up to `chunk` prompt tokens in each; the parts that
 * an engine reads for others go first. Used to play loads against placements.
 */
class PassEngines {
 public:
  /** A request as an engine sees it. */
  struct Job {
    std::string name;
    double read_left_ms = 0;  // of the engine's own part
    int parts_left = 0;       // parts of helpers that are not read yet
    int events_left = 0;
    double context_tokens = 0;
    bool running = false;
    std::function<void(TimePoint)> on_event;
    std::function<void(TimePoint)> on_end;
  };
  using JobPtr = std::shared_ptr<Job>;

  PassEngines(EngineFigures figures, size_t count)
      : figures_(figures), engines_(count) {}

  size_t size() const { return engines_.size(); }

  /** Gives a job to an engine, and parts of its prompt to helpers. */
  void Start(TimePoint now, size_t engine, const JobPtr& job,
             const std::vector<size_t>& helpers, double part_ms) {
    job->read_left_ms = part_ms;
    job->parts_left = static_cast<int>(helpers.size());
    engines_[engine].waiting.push_back(job);
    Wake(now, engine);
    for (size_t helper : helpers) {
      engines_[helper].parts.push_back({part_ms, job});
      Wake(now, helper);
    }
  }

  /** When the next pass of any engine ends; Max if all are idle. */
  TimePoint NextEvent() const {
    TimePoint next = TimePoint::Max();
    for (const Engine& engine : engines_) next = std::min(next, engine.ends);
    return next;
  }

  /** Ends all passes that are due and begins the next ones. */
  void Advance(TimePoint now) {
    for (size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].ends > now) continue;
      EndPass(engines_[i]);
      engines_[i].ends = TimePoint::Max();
      Wake(now, i);
    }
  }

 private:
  struct Part {
    double read_left_ms;
    JobPtr job;
  };
  struct Engine {
    std::list<Part> parts;  // read for other engines
    std::list<JobPtr> waiting;
    std::list<JobPtr> writers;
    double budget_ms = 0;  // reading done in the pass
    TimePoint ends = TimePoint::Max();
  };

  void Wake(TimePoint now, size_t index) {
    Engine& engine = engines_[index];
    if (engine.ends != TimePoint::Max()) return;
    Admit(engine);
    double reading = 0;
    for (const Part& part : engine.parts) reading += part.read_left_ms;
    for (const JobPtr& job : engine.waiting) {
      if (job->running) reading += job->read_left_ms;
    }
    const bool writes = !engine.writers.empty();
    if (!writes && reading <= 0) return;
    // At most one chunk a step; without writers a pass reads all there is.
    const double most =
        writes ? figures_.stride * static_cast<double>(figures_.chunk.value()) /
                     figures_.read_tokens_per_ms
               : reading;
    engine.budget_ms = std::min(reading, most);
    double context = 0;
    for (const JobPtr& job : engine.writers) context += job->context_tokens;
    const int count = static_cast<int>(engine.writers.size());
    const double pass =
        PassMilliseconds(figures_, count, writes ? context / count : 0) +
        engine.budget_ms;
    engine.ends = now + Duration::Microseconds(
                            std::max<int64_t>(1000, int64_t(pass * 1000)));
  }

  void Admit(Engine& engine) {
    size_t running = engine.writers.size();
    for (const JobPtr& job : engine.waiting) running += job->running ? 1 : 0;
    for (const JobPtr& job : engine.waiting) {
      if (running >= static_cast<size_t>(figures_.slots)) break;
      if (job->running) continue;
      job->running = true;
      ++running;
    }
  }

  void EndPass(Engine& engine) {
    const TimePoint now = engine.ends;
    double budget = engine.budget_ms;
    const auto read = [&budget](double& left) {
      const double done = std::min(left, budget);
      left -= done;
      budget -= done;
      return left <= 1e-9;
    };
    std::list<JobPtr> writers = engine.writers;
    for (const JobPtr& job : writers) WriteEvent(now, engine, job);
    for (auto it = engine.parts.begin(); it != engine.parts.end();) {
      if (read(it->read_left_ms)) {
        --it->job->parts_left;
        it = engine.parts.erase(it);
      } else {
        ++it;
      }
    }
    for (auto it = engine.waiting.begin(); it != engine.waiting.end();) {
      const JobPtr job = *it;
      if (job->running && read(job->read_left_ms) && job->parts_left == 0) {
        it = engine.waiting.erase(it);
        engine.writers.push_back(job);
        WriteEvent(now, engine, job);
      } else {
        ++it;
      }
    }
  }

  void WriteEvent(TimePoint now, Engine& engine, const JobPtr& job) {
    --job->events_left;
    job->on_event(now);
    if (job->events_left > 0) return;
    engine.writers.remove(job);
    job->on_end(now);
  }

  EngineFigures figures_;
  std::vector<Engine> engines_;
};

}  // namespace zr

#include "zinniarill_load/load_results.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "zr_telemetry/zr_telemetry.h"

namespace zr {
namespace {

constexpr size_t kMaxMessages = 50;

template <typename... Values>
std::string Format(const char* format, Values... values) {
  std::array<char, 256> buffer{};
  std::snprintf(buffer.data(), buffer.size(), format, values...);
  return buffer.data();
}

int64_t OutcomeOf(const ClassResults& results, CallOutcome outcome) {
  auto it = results.outcomes.find(ToString(outcome));
  return it == results.outcomes.end() ? 0 : it->second;
}

int64_t TotalOf(const ClassResults& results) {
  int64_t total = 0;
  for (const auto& [name, count] : results.outcomes) total += count;
  return total;
}

}  // namespace

const char* ToString(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kOk:
      return "ok";
    case CallOutcome::kLate:
      return "late";
    case CallOutcome::kNotRun:
      return "not_run";
    case CallOutcome::kMayHaveRun:
      return "may_have_run";
    case CallOutcome::kRan:
      return "ran";
    case CallOutcome::kBroken:
      return "broken";
    case CallOutcome::kExpired:
      return "expired";
    case CallOutcome::kWrongAnswer:
      return "wrong_answer";
  }
  return "";
}

LoadResults::LoadResults(const LoadScenario& scenario) : scenario_(&scenario) {
  for (const LoadClass& c : scenario.classes) {
    classes_[c.name].weight = c.weight;
  }
}

void LoadResults::Record(const CallRecord& call) {
  const LoadClass& c = scenario_->classes[call.class_index];
  ClassResults& results = classes_[c.name];
  ++results.outcomes[ToString(call.outcome)];
  results.answer_tokens += call.answer_tokens;
  if (call.attempts > 1) ++results.reattached;
  SecondResults& second = seconds_[call.intended.microseconds() / 1'000'000];
  ++second.sent;
  if (call.first_token) {
    results.first_token["all"].Add(*call.first_token);
    if (!c.is_service) {
      const TokenCount prompt(call.prompt_tokens);
      results.first_token[PromptLengthBucket(prompt)].Add(*call.first_token);
    }
    second.first_token.Add(*call.first_token);
  }
  switch (call.outcome) {
    case CallOutcome::kOk:
      ++second.ok;
      results.total.Add(call.total);
      break;
    case CallOutcome::kLate:
      ++second.late;
      results.total.Add(call.total);
      break;
    case CallOutcome::kNotRun:
      ++second.refused;
      // After several attempts "not run" may be about the last one only.
      if (call.attempts == 1) not_run_ids_.push_back(call.request_id);
      break;
    default:
      ++second.failed;
  }
  if (call.outcome == CallOutcome::kOk || call.outcome == CallOutcome::kLate) {
    return;
  }
  const std::string message =
      std::string(ToString(call.outcome)) + ": " + call.detail;
  if (messages_.size() < kMaxMessages || messages_.contains(message)) {
    ++messages_[message];
  }
}

void LoadResults::AddTokenGap(size_t class_index, Duration gap) {
  classes_[scenario_->classes[class_index].name].between_tokens.Add(gap);
}

void LoadResults::Merge(const LoadResults& other) {
  for (const auto& [name, from] : other.classes_) {
    ClassResults& to = classes_[name];
    for (const auto& [outcome, count] : from.outcomes) {
      to.outcomes[outcome] += count;
    }
    for (const auto& [bucket, histogram] : from.first_token) {
      to.first_token[bucket].Merge(histogram);
    }
    to.between_tokens.Merge(from.between_tokens);
    to.total.Merge(from.total);
    to.answer_tokens += from.answer_tokens;
    to.reattached += from.reattached;
  }
  for (const auto& [number, from] : other.seconds_) {
    SecondResults& to = seconds_[number];
    to.sent += from.sent;
    to.ok += from.ok;
    to.late += from.late;
    to.refused += from.refused;
    to.failed += from.failed;
    to.first_token.Merge(from.first_token);
  }
  for (const auto& [message, count] : other.messages_) {
    messages_[message] += count;
  }
  not_run_ids_.insert(not_run_ids_.end(), other.not_run_ids_.begin(),
                      other.not_run_ids_.end());
}

double LoadResults::CompletedWork() const {
  double work = 0;
  for (const auto& [name, results] : classes_) {
    work += results.weight *
            static_cast<double>(OutcomeOf(results, CallOutcome::kOk));
  }
  return work;
}

double LoadResults::Score(const StandinReport& report) const {
  if (scenario_->score == LoadScore::kWeighted) {
    double duplicate_weight = 0;
    for (const LoadClass& c : scenario_->classes) {
      if (c.once) duplicate_weight = std::max(duplicate_weight, c.weight);
    }
    return CompletedWork() -
           duplicate_weight * static_cast<double>(report.doubled_operations);
  }
  int64_t ok = 0;
  int64_t total = 0;
  for (const auto& [name, results] : classes_) {
    ok += OutcomeOf(results, CallOutcome::kOk);
    total += TotalOf(results);
  }
  return total == 0 ? 0 : static_cast<double>(ok) / static_cast<double>(total);
}

nlohmann::json LoadResults::ToJson(const StandinReport& report) const {
  nlohmann::json classes = nlohmann::json::object();
  for (const auto& [name, results] : classes_) {
    nlohmann::json first_token = nlohmann::json::object();
    for (const auto& [bucket, histogram] : results.first_token) {
      first_token[bucket] = histogram.ToJson();
    }
    classes[name] = {{"weight", results.weight},
                     {"outcomes", results.outcomes},
                     {"first_token", std::move(first_token)},
                     {"between_tokens", results.between_tokens.ToJson()},
                     {"total", results.total.ToJson()},
                     {"answer_tokens", results.answer_tokens},
                     {"reattached", results.reattached}};
  }
  nlohmann::json seconds = nlohmann::json::array();
  for (const auto& [number, second] : seconds_) {
    seconds.push_back(
        {{"second", number},
         {"sent", second.sent},
         {"ok", second.ok},
         {"late", second.late},
         {"refused", second.refused},
         {"failed", second.failed},
         {"first_token_p95_ms", second.first_token.QuantileMs(0.95)}});
  }
  nlohmann::json json = {{"score", Score(report)},
                         {"completed_work", CompletedWork()},
                         {"classes", std::move(classes)},
                         {"seconds", std::move(seconds)},
                         {"messages", messages_}};
  if (report.asked) {
    json["standins"] = {{"operations", report.operations},
                        {"doubled_operations", report.doubled_operations},
                        {"false_not_run", report.false_not_run},
                        {"repeated_runs", report.repeated_runs},
                        {"overruns", report.overruns},
                        {"crashes", report.crashes}};
  }
  return json;
}

std::string LoadResults::ToTable(const StandinReport& report) const {
  std::string text;
  for (const auto& [name, results] : classes_) {
    // NOLINTBEGIN(google-runtime-int): printf's type
    text += Format("class %s: %lld calls, weight %.1f, reattached %lld\n ",
                   name.c_str(), static_cast<long long>(TotalOf(results)),
                   results.weight, static_cast<long long>(results.reattached));
    // NOLINTEND(google-runtime-int)
    for (const auto& [outcome, count] : results.outcomes) {
      text += " " + outcome + " " + std::to_string(count);
    }
    text += "\n";
    const auto row = [&text](const std::string& label,
                             const LoadHistogram& histogram) {
      if (histogram.count() == 0) return;
      text +=
          Format("  %-22s %8lld samples  p50 %9.1f  p95 %9.1f  p99 %9.1f ms\n",
                 label.c_str(),
                 static_cast<long long>(histogram.count()),  // NOLINT
                 histogram.QuantileMs(0.5), histogram.QuantileMs(0.95),
                 histogram.QuantileMs(0.99));
    };
    for (const auto& [bucket, histogram] : results.first_token) {
      row("first token " + bucket, histogram);
    }
    row("between tokens", results.between_tokens);
    row("whole answer", results.total);
  }
  for (const auto& [message, count] : messages_) {
    text += "  " + std::to_string(count) + " x " + message + "\n";
  }
  text += Format("completed work %.1f, score %.4f\n", CompletedWork(),
                 Score(report));
  if (report.asked) {
    text += "operations " + std::to_string(report.operations) + ", doubled " +
            std::to_string(report.doubled_operations) + ", false not-run " +
            std::to_string(report.false_not_run) + ", repeated runs " +
            std::to_string(report.repeated_runs) + ", overruns " +
            std::to_string(report.overruns) + ", engine crashes " +
            std::to_string(report.crashes) + "\n";
  }
  return text;
}

}  // namespace zr

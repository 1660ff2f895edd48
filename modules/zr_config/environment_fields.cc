#include "zr_config/environment_fields.h"

namespace zr {
namespace {

constexpr int64_t kMaxTokens = 1'000'000'000;
constexpr int64_t kMaxPromptTokens = 10'000'000;
constexpr int64_t kMaxDeadlineMs = 24 * 3'600'000;

KeySpec Integer(std::string_view key, std::string_view unit, int64_t min,
                int64_t max, std::string_view default_value,
                std::string_view help) {
  return KeySpec{"",  key, KeyType::kInteger, unit,
                 min, max, default_value,     false,
                 "",  help};
}

KeySpec Boolean(std::string_view key, std::string_view default_value,
                std::string_view help) {
  return KeySpec{"", key, KeyType::kBoolean, "", 0, 0, default_value, false,
                 "", help};
}

KeySpec Name(std::string_view key, std::string_view help) {
  return KeySpec{"", key, KeyType::kName, "", 0, 64, "", false, "", help};
}

KeySpec List(std::string_view key, KeyType type, int64_t max, bool required,
             std::string_view help) {
  return KeySpec{"", key, type, "", 0, max, "", required, "", help};
}

std::vector<Field<PoolPolicy>> PoolIdentityFields() {
  return {
      {{"", "kind", KeyType::kChoice, "", 0, 0, "model", false, "model|service",
        "model: engines that serve one model; service: instances of a plain "
        "service."},
       [](PoolPolicy& p, const KeyValue& v) {
         p.kind = static_cast<PoolKind>(v.integer);
       }},
      {Name("model", "Model name that callers use; required in a model pool."),
       [](PoolPolicy& p, const KeyValue& v) { p.model = v.text; }},
      {Name("version",
            "Model version that engines are ordered to load; empty for any."),
       [](PoolPolicy& p, const KeyValue& v) { p.version = v.text; }},
      {List("adapters", KeyType::kNameList, 256, false,
            "Adapters that engines are ordered to load."),
       [](PoolPolicy& p, const KeyValue& v) { p.adapters = v.list; }},
      {Boolean("checks_fencing", "false",
               "Whether the engines refuse orders with a stale fencing token."),
       [](PoolPolicy& p, const KeyValue& v) {
         p.checks_fencing = v.integer != 0;
       }},
      {Boolean("repeatable", "false",
               "Service pools: whether any call may be repeated."),
       [](PoolPolicy& p, const KeyValue& v) { p.repeatable = v.integer != 0; }},
  };
}

std::vector<Field<PoolPolicy>> PoolLimitFields() {
  return {
      {Integer("max_requests", "requests", 1, 100'000, "64",
               "Concurrent requests of a warm endpoint."),
       [](PoolPolicy& p, const KeyValue& v) { p.max_requests = v.integer; }},
      {Integer("fresh_requests", "requests", 1, 100'000, "4",
               "Concurrent requests that a freshly started endpoint bears."),
       [](PoolPolicy& p, const KeyValue& v) { p.fresh_requests = v.integer; }},
      {Integer("warm_after_requests", "requests", 1, 1'000'000, "32",
               "Completed requests until an endpoint counts as warm."),
       [](PoolPolicy& p, const KeyValue& v) {
         p.warm_after_requests = v.integer;
       }},
      {Integer("long_prompt_tokens", "tokens", 1, kMaxPromptTokens, "32768",
               "Prompts above this count as long."),
       [](PoolPolicy& p, const KeyValue& v) {
         p.long_prompt = TokenCount(v.integer);
       }},
      {Integer("long_prefill_limit_tokens", "tokens", 1, kMaxPromptTokens,
               "131072",
               "Most long-prompt tokens in prefill on an endpoint at a time."),
       [](PoolPolicy& p, const KeyValue& v) {
         p.long_prefill_limit = TokenCount(v.integer);
       }},
      {Integer("kv_margin_permille", "permille", 0, 500, "20",
               "Share of an engine's KV memory that is never reserved."),
       [](PoolPolicy& p, const KeyValue& v) {
         p.kv_margin_permille = v.integer;
       }},
      {Integer("unclaimed_window_ms", "ms", 1'000, 600'000, "10000",
               "Engines drop streams that nobody claims for this time."),
       [](PoolPolicy& p, const KeyValue& v) {
         p.unclaimed_window = Duration::Milliseconds(v.integer);
       }},
      {Integer("report_lag_ms", "ms", 0, 60'000, "1000",
               "Bound on the age of a load report."),
       [](PoolPolicy& p, const KeyValue& v) {
         p.report_lag = Duration::Milliseconds(v.integer);
       }},
      {Integer("prefill_tokens_per_second", "tokens/s", 1, kMaxTokens, "8000",
               "First estimate of an endpoint's prefill speed, corrected by "
               "observation."),
       [](PoolPolicy& p, const KeyValue& v) {
         p.prefill_tokens_per_second = v.integer;
       }},
      {Integer("decode_tokens_per_second", "tokens/s", 1, kMaxTokens, "50",
               "First estimate of the speed of one stream, corrected by "
               "observation."),
       [](PoolPolicy& p, const KeyValue& v) {
         p.decode_tokens_per_second = v.integer;
       }},
  };
}

}  // namespace

const std::vector<Field<EnvironmentHeader>>& EnvironmentFields() {
  static const std::vector<Field<EnvironmentHeader>> fields = {
      {{"", "name", KeyType::kName, "", 1, 64, "", true, "",
        "Name of the deployment, the same in trial and production."},
       [](EnvironmentHeader& h, const KeyValue& v) { h.name = v.text; }},
  };
  return fields;
}

const std::vector<Field<PoolPolicy>>& PoolFields() {
  static const std::vector<Field<PoolPolicy>> fields = [] {
    std::vector<Field<PoolPolicy>> all = PoolIdentityFields();
    for (Field<PoolPolicy>& field : PoolLimitFields()) all.push_back(field);
    return all;
  }();
  return fields;
}

const std::vector<Field<ClassPolicy>>& ClassFields() {
  static const std::vector<Field<ClassPolicy>> fields = {
      {Integer("weight", "", 1, 1'000'000, "1",
               "Relative worth of a completed request."),
       [](ClassPolicy& c, const KeyValue& v) { c.weight = v.integer; }},
      {Integer("deadline_ms", "ms", 1, kMaxDeadlineMs, "30000",
               "Deadline of a call that names none, and the most a call may "
               "ask for."),
       [](ClassPolicy& c, const KeyValue& v) {
         c.deadline = Duration::Milliseconds(v.integer);
       }},
      {Boolean("repeatable", "true",
               "false: calls need an idempotency key and run at most once."),
       [](ClassPolicy& c, const KeyValue& v) {
         c.repeatable = v.integer != 0;
       }},
      {Boolean("may_wait", "false",
               "Whether a call may be held until its deadline while the object "
               "API is down."),
       [](ClassPolicy& c, const KeyValue& v) { c.may_wait = v.integer != 0; }},
      {Integer("min_prompt_tokens", "tokens", 0, kMaxPromptTokens, "0",
               "Shortest prompt."),
       [](ClassPolicy& c, const KeyValue& v) {
         c.min_prompt = TokenCount(v.integer);
       }},
      {Integer("max_prompt_tokens", "tokens", 1, kMaxPromptTokens, "1000000",
               "Longest prompt."),
       [](ClassPolicy& c, const KeyValue& v) {
         c.max_prompt = TokenCount(v.integer);
       }},
      {Integer("max_answer_tokens", "tokens", 1, kMaxPromptTokens, "4096",
               "Longest answer; KV memory is reserved for it."),
       [](ClassPolicy& c, const KeyValue& v) {
         c.max_answer = TokenCount(v.integer);
       }},
      {Integer("priority", "", -100, 100, "0",
               "Priority passed to engines; higher is sooner."),
       [](ClassPolicy& c, const KeyValue& v) {
         c.priority = static_cast<int32_t>(v.integer);
       }},
  };
  return fields;
}

const std::vector<Field<TeamPolicy>>& TeamFields() {
  static const std::vector<Field<TeamPolicy>> fields = {
      {List("key_digests", KeyType::kDigestList, 64, false,
            "SHA-256 digests of the team's bearer keys; without any the team "
            "cannot call."),
       [](TeamPolicy& t, const KeyValue& v) { t.key_digests = v.list; }},
      {List("classes", KeyType::kNameList, 64, true,
            "Classes that the team may use; the first is the default."),
       [](TeamPolicy& t, const KeyValue& v) {
         t.classes.clear();
         for (const std::string& name : v.list) t.classes.emplace_back(name);
       }},
      {Integer("share", "", 1, 1'000'000, "1",
               "Weight among teams when capacity is short."),
       [](TeamPolicy& t, const KeyValue& v) { t.share = v.integer; }},
      {Integer("tokens_per_second", "tokens/s", 0, kMaxTokens, "0",
               "Limit over the whole fleet; 0 for none."),
       [](TeamPolicy& t, const KeyValue& v) {
         t.tokens_per_second = v.integer;
       }},
      {Integer(
           "kv_limit_tokens", "tokens", 0, kMaxTokens, "0",
           "Limit on concurrent KV tokens over the whole fleet; 0 for none."),
       [](TeamPolicy& t, const KeyValue& v) {
         t.kv_limit = TokenCount(v.integer);
       }},
  };
  return fields;
}

bool IsModelKey(std::string_view key) {
  static constexpr std::string_view kKeys[] = {"model",
                                               "version",
                                               "adapters",
                                               "checks_fencing",
                                               "long_prompt_tokens",
                                               "long_prefill_limit_tokens",
                                               "kv_margin_permille",
                                               "unclaimed_window_ms",
                                               "prefill_tokens_per_second",
                                               "decode_tokens_per_second"};
  for (std::string_view known : kKeys) {
    if (key == known) return true;
  }
  return false;
}

bool IsServiceKey(std::string_view key) { return key == "repeatable"; }

}  // namespace zr

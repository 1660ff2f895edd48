#include "zr_config/environment_reader.h"

#include <algorithm>
#include <utility>

#include "zr_config/environment_fields.h"

namespace zr {
namespace {

constexpr DrainKind kDrainKinds[] = {DrainKind::kDomain, DrainKind::kVm,
                                     DrainKind::kEndpoint};
constexpr char kAllowedSections[] =
    "allowed: [environment], [pool NAME], [class NAME], [team NAME], [drain "
    "domain NAME], "
    "[drain vm NAME], [drain endpoint NAME]; a NAME has 1 to 64 letters, "
    "digits, '_', '-', '.'";

}  // namespace

std::string_view ToString(DrainKind kind) {
  switch (kind) {
    case DrainKind::kDomain:
      return "domain";
    case DrainKind::kVm:
      return "vm";
    case DrainKind::kEndpoint:
      return "endpoint";
  }
  return "domain";
}

std::string DrainSection(const Drain& drain) {
  return "drain " + std::string(ToString(drain.kind)) + " " + drain.name;
}

std::vector<std::string> SectionWords(std::string_view name) {
  std::vector<std::string> words;
  while (true) {
    const size_t first = name.find_first_not_of(" \t");
    if (first == std::string_view::npos) return words;
    name.remove_prefix(first);
    const size_t end = std::min(name.find_first_of(" \t"), name.size());
    words.emplace_back(name.substr(0, end));
    name.remove_prefix(end);
  }
}

EnvironmentReader::EnvironmentReader(Environment& environment,
                                     std::string file_name)
    : environment_(environment), file_(std::move(file_name)) {}

std::vector<SettingsProblem> EnvironmentReader::Read(std::string_view text) {
  IniText ini = IniText::Parse(text, file_);
  problems_ = std::move(ini.problems);
  for (IniSection& section : ini.sections) {
    std::string name;
    for (const std::string& word : SectionWords(section.name)) {
      name += (name.empty() ? "" : " ") + word;
    }
    section.name = name;
    const auto [known, added] = lines_[name].emplace("", section.line);
    if (!added) {
      problems_.push_back(
          SettingsProblem{file_, section.line, name, "",
                          "repeats line " + std::to_string(known->second)});
      continue;
    }
    ParseSection(section);
  }
  if (!lines_.contains("environment")) {
    Report("environment", "",
           "the section is missing; it names the deployment: name = NAME");
  }
  CheckPools();
  CheckClasses();
  CheckTeams();
  return std::move(problems_);
}

void EnvironmentReader::ParseSection(const IniSection& section) {
  const std::vector<std::string> words = SectionWords(section.name);
  const std::string& kind = words.front();
  const bool named = words.size() == 2 && IsName(words[1]);
  if (kind == "environment" && words.size() == 1) {
    EnvironmentHeader header;
    ReadKeys(section, EnvironmentFields(), header);
    environment_.name_ = header.name;
  } else if (kind == "drain" && words.size() == 3 && IsName(words[2])) {
    ReadDrain(section, words);
  } else if (named && kind == "pool") {
    PoolPolicy& pool = environment_.pools_[PoolId(words[1])];
    pool.pool = PoolId(words[1]);
    ReadKeys(section, PoolFields(), pool);
  } else if (named && kind == "class") {
    ClassPolicy& policy = environment_.classes_[ClassId(words[1])];
    policy.name = ClassId(words[1]);
    ReadKeys(section, ClassFields(), policy);
  } else if (named && kind == "team") {
    TeamPolicy& team = environment_.teams_[TeamId(words[1])];
    team.team = TeamId(words[1]);
    ReadKeys(section, TeamFields(), team);
  } else {
    Report(section.name, "",
           std::string("unknown section; ") + kAllowedSections);
  }
}

void EnvironmentReader::ReadDrain(const IniSection& section,
                                  const std::vector<std::string>& words) {
  for (DrainKind kind : kDrainKinds) {
    if (words[1] != ToString(kind)) continue;
    environment_.drains_.insert(Drain{kind, words[2]});
    environment_.values_[section.name];
    for (const IniEntry& entry : section.entries) {
      problems_.push_back(SettingsProblem{file_, entry.line, section.name,
                                          entry.key,
                                          UnknownKeyMessage(entry.key, {})});
    }
    return;
  }
  Report(section.name, "", std::string("unknown section; ") + kAllowedSections);
}

template <typename T>
void EnvironmentReader::ReadKeys(const IniSection& section,
                                 const std::vector<Field<T>>& fields,
                                 T& target) {
  Environment::Values& values = environment_.values_[section.name];
  for (StoredKey& key :
       ReadSection<T>(section, std::span(fields), file_, target, problems_)) {
    const std::string name(key.key);
    if (key.line > 0) lines_[section.name][name] = key.line;
    values[name] = Environment::Value{std::move(key.canonical), key.line > 0};
  }
}

void EnvironmentReader::CheckPools() {
  for (const auto& [id, pool] : environment_.pools_) {
    const std::string section = "pool " + id.value();
    CheckPoolKeys(pool, section);
    if (pool.fresh_requests > pool.max_requests) {
      Report(section, "fresh_requests",
             std::to_string(pool.fresh_requests) +
                 " is more than max_requests = " +
                 std::to_string(pool.max_requests) +
                 "; a fresh endpoint must not take more than a warm one");
    }
    if (pool.kind != PoolKind::kModel) continue;
    if (pool.long_prefill_limit <= pool.long_prompt) {
      Report(section, "long_prefill_limit_tokens",
             std::to_string(pool.long_prefill_limit.value()) +
                 " is not above long_prompt_tokens = " +
                 std::to_string(pool.long_prompt.value()) +
                 "; no long prompt could start");
    }
    const auto [other, added] =
        environment_.pool_by_model_.emplace(pool.model, id);
    if (!added && !pool.model.empty()) {
      Report(section, "model",
             "'" + pool.model + "' is already served by pool " +
                 other->second.value() + "; a model belongs to one pool");
    }
  }
}

void EnvironmentReader::CheckPoolKeys(const PoolPolicy& pool,
                                      const std::string& section) {
  const bool is_model = pool.kind == PoolKind::kModel;
  if (is_model && pool.model.empty()) {
    Report(section, "model",
           "is missing; a pool of kind = model names the model it serves");
  }
  for (const auto& [key, value] : environment_.values_[section]) {
    if (!value.given) continue;
    if (is_model ? IsServiceKey(key) : IsModelKey(key)) {
      Report(section, key,
             std::string("is allowed only with kind = ") +
                 (is_model ? "service" : "model"));
    }
  }
}

void EnvironmentReader::CheckClasses() {
  for (const auto& [id, policy] : environment_.classes_) {
    if (policy.min_prompt <= policy.max_prompt) continue;
    Report("class " + id.value(), "min_prompt_tokens",
           std::to_string(policy.min_prompt.value()) +
               " is more than max_prompt_tokens = " +
               std::to_string(policy.max_prompt.value()));
  }
}

void EnvironmentReader::CheckTeams() {
  for (const auto& [id, team] : environment_.teams_) {
    const std::string section = "team " + id.value();
    for (const std::string& digest : team.key_digests) {
      const auto [other, added] =
          environment_.team_by_digest_.emplace(digest, id);
      if (added) continue;
      Report(section, "key_digests",
             digest + " is also a key of team " + other->second.value() +
                 "; a key belongs to one team");
    }
    CheckTeamClasses(team, section);
  }
}

void EnvironmentReader::CheckTeamClasses(const TeamPolicy& team,
                                         const std::string& section) {
  bool has_repeatable = false;
  for (const ClassId& name : team.classes) {
    const ClassPolicy* policy = environment_.FindClass(name);
    if (policy == nullptr) {
      Report(section, "classes",
             "there is no section [class " + name.value() + "]");
      continue;
    }
    has_repeatable = has_repeatable || policy->repeatable;
    if (team.kv_limit > TokenCount(0) && policy->min_prompt > team.kv_limit) {
      Report(section, "kv_limit_tokens",
             std::to_string(team.kv_limit.value()) +
                 " is less than min_prompt_tokens = " +
                 std::to_string(policy->min_prompt.value()) + " of class " +
                 name.value() + "; none of its requests could run");
    }
  }
  // Calls that name no class usually have no idempotency key, so a
  // non-repeatable default class would make the team's ordinary calls fail.
  const ClassPolicy* first = team.classes.empty()
                                 ? nullptr
                                 : environment_.FindClass(team.classes.front());
  if (first != nullptr && !first->repeatable && has_repeatable) {
    Report(section, "classes",
           "the first class is the default, and " + first->name.value() +
               " is not repeatable; list a repeatable class first");
  }
}

void EnvironmentReader::Report(const std::string& section,
                               const std::string& key, std::string message) {
  int line = 0;
  if (const auto keys = lines_.find(section); keys != lines_.end()) {
    const auto found = keys->second.find(key);
    line = found != keys->second.end() ? found->second : keys->second[""];
  }
  problems_.push_back(
      SettingsProblem{file_, line, section, key, std::move(message)});
}

}  // namespace zr

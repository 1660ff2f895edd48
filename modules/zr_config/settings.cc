#include "zr_config/settings.h"

#include <algorithm>
#include <map>

#include "zr_config/key_spec.h"

namespace zr {
namespace {

using SettingsField = Field<Settings>;

constexpr int64_t kMiB = 1'048'576;
constexpr int64_t kMaxSecretBytes = 128;

KeySpec Required(std::string_view section, std::string_view key, KeyType type,
                 int64_t min, int64_t max, std::string_view help) {
  return KeySpec{section, key, type, "", min, max, "", true, "", help};
}

KeySpec Integer(std::string_view section, std::string_view key,
                std::string_view unit, int64_t min, int64_t max,
                std::string_view default_value, std::string_view help) {
  return KeySpec{section, key, KeyType::kInteger, unit,
                 min,     max, default_value,     false,
                 "",      help};
}

KeySpec Choice(std::string_view section, std::string_view key,
               std::string_view choices, std::string_view default_value,
               std::string_view help) {
  return KeySpec{section,       key,   KeyType::kChoice, "",  0, 0,
                 default_value, false, choices,          help};
}

/** Identity, listeners and secrets. */
std::vector<SettingsField> IdentityFields() {
  return {
      {Required("vm", "name", KeyType::kName, 1, 64,
                "Name of the VM, unique in the environment."),
       [](Settings& s, const KeyValue& v) { s.vm = VmId(v.text); }},
      {Required("vm", "domain", KeyType::kName, 1, 64,
                "Failure domain of the VM."),
       [](Settings& s, const KeyValue& v) { s.domain = DomainId(v.text); }},
      {{"vm", "region", KeyType::kName, "", 1, 64, "main", false, "",
        "Region of the failure domain."},
       [](Settings& s, const KeyValue& v) { s.region = v.text; }},
      {{"listen", "callers", KeyType::kAddress, "", 0, 0, "0.0.0.0:8080", false,
        "", "Listener for callers, behind the platform's load balancer."},
       [](Settings& s, const KeyValue& v) {
         s.caller_listener = v.addresses.front();
       }},
      {{"listen", "operators", KeyType::kAddress, "", 0, 0, "127.0.0.1:8081",
        false, "", "Listener for operators."},
       [](Settings& s, const KeyValue& v) {
         s.operator_listener = v.addresses.front();
       }},
      {Required(
           "listen", "peers", KeyType::kAddress, 0, 0,
           "Listener for other VMs, as they reach it; 0.0.0.0 is not allowed."),
       [](Settings& s, const KeyValue& v) {
         s.peer_listener = v.addresses.front();
       }},
      {Required(
           "peers", "key", KeyType::kSecret, 16, kMaxSecretBytes,
           "Key by which VMs authenticate one another, the same on all VMs."),
       [](Settings& s, const KeyValue& v) { s.peer_key = v.text; }},
      {{"peers", "seeds", KeyType::kAddressList, "", 1, 64, "", false, "",
        "Peer listeners of some VMs, used beside the platform's list of VMs."},
       [](Settings& s, const KeyValue& v) { s.peer_seeds = v.addresses; }},
      {Required("operators", "token", KeyType::kSecret, 16, kMaxSecretBytes,
                "Bearer token that operators send."),
       [](Settings& s, const KeyValue& v) { s.operator_token = v.text; }},
      {Required("platform", "address", KeyType::kAddress, 1, 0,
                "The platform's object API."),
       [](Settings& s, const KeyValue& v) {
         s.platform_address = v.addresses.front();
       }},
  };
}

/** Rates, limits and logging. */
std::vector<SettingsField> LimitFields() {
  return {
      {Integer(
           "platform", "request_timeout_ms", "ms", 50, 60'000, "2000",
           "A call without an answer after this time has an unknown outcome."),
       [](Settings& s, const KeyValue& v) {
         s.platform_request_timeout = Duration::Milliseconds(v.integer);
       }},
      {Integer("platform", "reads_per_second", "calls/s", 1, 2'000, "100",
               "Most reads and watches a second by this VM; all VMs share "
               "about 2,000."),
       [](Settings& s, const KeyValue& v) {
         s.platform_reads_per_second = v.integer;
       }},
      {Integer(
           "platform", "writes_per_second", "calls/s", 1, 500, "25",
           "Most writes a second by this VM; all VMs share several hundred."),
       [](Settings& s, const KeyValue& v) {
         s.platform_writes_per_second = v.integer;
       }},
      {Choice("routing", "policy", "grants|baseline", "grants",
              "grants: the endpoint's owner admits requests; baseline: each VM "
              "takes the better of "
              "two random endpoints, for comparison."),
       [](Settings& s, const KeyValue& v) {
         s.routing_policy = static_cast<RoutingPolicy>(v.integer);
       }},
      {Integer("limits", "max_body_bytes", "bytes", 1'024, 256 * kMiB,
               "16777216",
               "Largest body of a caller's request; a prompt of a million "
               "tokens takes several MB."),
       [](Settings& s, const KeyValue& v) { s.max_body_bytes = v.integer; }},
      {Integer("limits", "max_header_bytes", "bytes", 1'024, kMiB, "16384",
               "Largest header block of a caller's request."),
       [](Settings& s, const KeyValue& v) { s.max_header_bytes = v.integer; }},
      {Integer("limits", "memory_mb", "MB", 64, 1'048'576, "1024",
               "Memory that the process may take; callers' requests may hold "
               "a part of it."),
       [](Settings& s, const KeyValue& v) { s.memory_mb = v.integer; }},
      {Integer("limits", "max_connections", "connections", 16, 1'000'000,
               "10000",
               "Most connections of callers; less if the system allows fewer "
               "descriptors."),
       [](Settings& s, const KeyValue& v) { s.max_connections = v.integer; }},
      {Integer("limits", "max_connections_per_address", "connections", 16,
               1'000'000, "1000000",
               "Most connections from one address; a load balancer may hide "
               "the callers' own."),
       [](Settings& s, const KeyValue& v) {
         s.max_connections_per_address = v.integer;
       }},
      {Integer("limits", "header_timeout_ms", "ms", 100, 600'000, "10000",
               "Longest time from the first byte of a request to the end of "
               "its headers."),
       [](Settings& s, const KeyValue& v) {
         s.header_timeout = Duration::Milliseconds(v.integer);
       }},
      {Integer("limits", "body_timeout_ms", "ms", 100, 600'000, "30000",
               "Longest time without progress while a body is received."),
       [](Settings& s, const KeyValue& v) {
         s.body_timeout = Duration::Milliseconds(v.integer);
       }},
      {Integer("limits", "stream_buffer_bytes", "bytes", 1'024, kMiB, "32768",
               "Answer bytes held for a caller that reads slowly, then the "
               "engine is held back."),
       [](Settings& s, const KeyValue& v) {
         s.stream_buffer_bytes = v.integer;
       }},
      {Integer("limits", "worker_threads", "threads", 1, 64, "2",
               "Threads that serve connections."),
       [](Settings& s, const KeyValue& v) { s.worker_threads = v.integer; }},
      {Integer("limits", "drain_timeout_ms", "ms", 1'000, 7'200'000, "600000",
               "A planned stop waits this long for requests in progress."),
       [](Settings& s, const KeyValue& v) {
         s.drain_timeout = Duration::Milliseconds(v.integer);
       }},
      {Choice("log", "level", "debug|info|warning|error", "info",
              "Least severity that is logged."),
       [](Settings& s, const KeyValue& v) {
         s.log_level = static_cast<LogLevel>(v.integer);
       }},
      {Choice("log", "format", "text|json", "text", "Form of a log line."),
       [](Settings& s, const KeyValue& v) {
         s.log_format = static_cast<LogFormat>(v.integer);
       }},
  };
}

/** The table of all keys, grouped by section in the order of the reference. */
const std::vector<SettingsField>& AllFields() {
  static const std::vector<SettingsField> fields = [] {
    std::vector<SettingsField> all = IdentityFields();
    for (SettingsField& field : LimitFields()) all.push_back(field);
    return all;
  }();
  return fields;
}

std::vector<std::string_view> SectionNames() {
  std::vector<std::string_view> names;
  for (const SettingsField& field : AllFields()) {
    if (std::find(names.begin(), names.end(), field.spec.section) ==
        names.end()) {
      names.push_back(field.spec.section);
    }
  }
  return names;
}

std::vector<SettingsField> FieldsOf(std::string_view section) {
  std::vector<SettingsField> fields;
  for (const SettingsField& field : AllFields()) {
    if (field.spec.section == section) fields.push_back(field);
  }
  return fields;
}

bool Overlap(const Address& a, const Address& b) {
  if (a.port == 0 || a.port != b.port) return false;
  return a.ip == b.ip || a.ip == "0.0.0.0" || b.ip == "0.0.0.0";
}

/** Reports listeners whose addresses conflict and a peer listener that other
 * VMs cannot reach. */
void CheckListeners(const Settings& settings, const std::string& file,
                    const std::map<std::string_view, int>& lines,
                    std::vector<SettingsProblem>& problems) {
  auto report = [&](std::string_view key, std::string message) {
    const auto line = lines.find(key);
    problems.push_back(
        SettingsProblem{file, line == lines.end() ? 0 : line->second, "listen",
                        std::string(key), std::move(message)});
  };
  const std::pair<std::string_view, const Address*> listeners[] = {
      {"callers", &settings.caller_listener},
      {"operators", &settings.operator_listener},
      {"peers", &settings.peer_listener}};
  for (size_t i = 0; i < std::size(listeners); ++i) {
    for (size_t j = 0; j < i; ++j) {
      if (!Overlap(*listeners[i].second, *listeners[j].second)) continue;
      report(listeners[i].first,
             listeners[i].second->ToString() + " clashes with " +
                 std::string(listeners[j].first) + " = " +
                 listeners[j].second->ToString() + "; use another port");
    }
  }
  if (settings.peer_listener.ip == "0.0.0.0") {
    report("peers",
           "0.0.0.0 is not allowed; use the address at which other VMs reach "
           "this one");
  }
}

std::vector<SettingsProblem> ReadSettings(std::string_view text,
                                          const std::string& file,
                                          Settings& settings) {
  IniText ini = IniText::Parse(text, file);
  std::vector<SettingsProblem> problems = std::move(ini.problems);
  const std::vector<std::string_view> names = SectionNames();
  std::map<std::string_view, const IniSection*> sections;
  for (const IniSection& section : ini.sections) {
    if (std::find(names.begin(), names.end(), section.name) == names.end()) {
      std::string all;
      for (std::string_view name : names) {
        all += (all.empty() ? "" : ", ") + std::string(name);
      }
      problems.push_back(SettingsProblem{file, section.line, section.name, "",
                                         "unknown section; allowed: " + all});
    } else if (!sections.emplace(section.name, &section).second) {
      problems.push_back(SettingsProblem{
          file, section.line, section.name, "",
          "repeats line " + std::to_string(sections[section.name]->line)});
    }
  }
  std::map<std::string_view, int> listen_lines;
  for (std::string_view name : names) {
    const IniSection empty{0, std::string(name), {}};
    const auto found = sections.find(name);
    const IniSection& section =
        found == sections.end() ? empty : *found->second;
    const std::vector<SettingsField> fields = FieldsOf(name);
    const auto stored = ReadSection<Settings>(section, std::span(fields), file,
                                              settings, problems);
    if (name != "listen") continue;
    for (const StoredKey& key : stored) listen_lines[key.key] = key.line;
  }
  CheckListeners(settings, file, listen_lines, problems);
  return problems;
}

}  // namespace

Result<Settings> Settings::Parse(std::string_view text, std::string file_name) {
  Settings settings;
  const std::vector<SettingsProblem> problems =
      ReadSettings(text, file_name, settings);
  if (problems.empty()) return settings;
  return Fail(ErrorCode::kInvalidArgument, "settings", std::move(file_name),
              JoinProblems(problems));
}

std::vector<SettingsProblem> Settings::Check(std::string_view text,
                                             const std::string& file_name) {
  Settings settings;
  return ReadSettings(text, file_name, settings);
}

std::string Settings::Reference() {
  std::string text;
  for (std::string_view name : SectionNames()) {
    if (!text.empty()) text += "\n";
    text += "### [" + std::string(name) + "]\n\n" + ReferenceHeading();
    for (const SettingsField& field : FieldsOf(name)) {
      text += ReferenceRow(field.spec);
    }
  }
  return text;
}

}  // namespace zr

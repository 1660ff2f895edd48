// The commands that only show state: get, status, endpoints and operations
// show.

#include "zinniarillctl/commands.h"
#include "zinniarillctl/table.h"

namespace zr {
namespace {

using nlohmann::json;

/** A JSON value as a table cell. */
std::string Cell(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) return "-";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string TableOf(const json& list, const std::vector<const char*>& columns) {
  std::vector<std::vector<std::string>> rows(1);
  for (const char* column : columns) rows[0].emplace_back(column);
  for (const json& item : list) {
    std::vector<std::string> row;
    row.reserve(columns.size());
    for (const char* column : columns) row.push_back(Cell(item, column));
    rows.push_back(std::move(row));
  }
  return FormatTable(rows);
}

}  // namespace

ExitCode Commands::Get() {
  auto config = client_.Config();
  if (!config) return Fail(config.error());
  Print({{"version", config->version},
         {"digest", config->digest},
         {"author", config->author},
         {"time", config->time},
         {"document", config->document}},
        config->document);
  return ExitCode::kDone;
}

ExitCode Commands::Status() {
  auto status = client_.Get("/v1/status");
  if (!status) return Fail(status.error());
  const json& config = status->at("config");
  std::string text =
      "vm " + Cell(*status, "vm") + ", ready " + Cell(*status, "ready") +
      "\nconfiguration version " + Cell(config, "version") + ", in force " +
      Cell(config, "in_force") + ", lagging " + Cell(config, "lagging") +
      ", silent " + Cell(config, "silent") + "\n\n";
  text += TableOf(status->at("vms"),
                  {"name", "domain", "state", "config_version"}) +
          "\n";
  std::vector<std::vector<std::string>> rows = {{"invariant", "violations"}};
  const json invariants = status->value("invariants", json::object());
  for (const auto& [name, count] : invariants.items()) {
    rows.push_back({name, count.dump()});
  }
  Print(*status, text + FormatTable(rows));
  return ExitCode::kDone;
}

ExitCode Commands::Endpoints() {
  auto endpoints = client_.Get("/v1/endpoints");
  if (!endpoints) return Fail(endpoints.error());
  Print(*endpoints, TableOf(endpoints->at("endpoints"),
                            {"name", "pool", "domain", "owner", "state",
                             "kv_free", "kv_capacity", "running"}));
  return ExitCode::kDone;
}

ExitCode Commands::ShowOperation(const std::string& name) {
  const size_t first = name.find('/');
  const size_t second =
      first == std::string::npos ? first : name.find('/', first + 1);
  if (second == std::string::npos || second + 1 == name.size()) {
    return UsageError("an operation is named TEAM/SERVICE/KEY");
  }
  // The key is free text of the caller and may contain slashes itself.
  auto operation = client_.Get(
      "/v1/operations/" + PercentEncode(name.substr(0, first)) + "/" +
      PercentEncode(name.substr(first + 1, second - first - 1)) + "/" +
      PercentEncode(name.substr(second + 1)));
  if (!operation) return Fail(operation.error());
  std::vector<std::vector<std::string>> rows;
  for (const auto& [key, value] : operation->items()) {
    rows.push_back(
        {key, value.is_string() ? value.get<std::string>() : value.dump()});
  }
  Print(*operation, FormatTable(rows));
  return ExitCode::kDone;
}

}  // namespace zr

// The command explain: where a request would go now, or what was decided on a
// request in the past.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

#include "zinniarillctl/commands.h"
#include "zinniarillctl/table.h"

namespace zr {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

/** A value as text; strings without quotes. */
std::string Text(const ordered_json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/** Names and values in one line. */
std::string Line(const ordered_json& values) {
  std::string line;
  for (const auto& [name, value] : values.items()) {
    if (!line.empty()) line += " ";
    line += name + "=" + Text(value);
  }
  return line;
}

std::string ServiceText(const ordered_json& service) {
  std::string text = "\nservice " + Text(service.at("service")) + ": " +
                     Text(service.at("decision")) + ", " +
                     Text(service.at("reason")) + "\n";
  if (service.contains("note")) {
    text += "note: " + Text(service.at("note")) + "\n";
  }
  ordered_json rest = service;
  for (const char* shown :
       {"service", "decision", "reason", "note", "endpoints", "pool"}) {
    rest.erase(shown);
  }
  text += Line(rest) + "\n";
  if (service.contains("pool") && !service.at("pool").empty()) {
    text += "pool: " + Line(service.at("pool")) + "\n";
  }
  if (!service.contains("endpoints")) return text;
  std::vector<std::vector<std::string>> rows = {
      {"", "endpoint", "domain", "reason", "load and forecast"}};
  for (const ordered_json& item : service.at("endpoints")) {
    rows.push_back({item.at("chosen").get<bool>() ? "*" : "-",
                    Text(item.at("endpoint")), Text(item.at("domain")),
                    Text(item.at("reason")), Line(item.at("values"))});
  }
  return text + FormatTable(rows);
}

std::string ReportText(const ordered_json& report) {
  const ordered_json& information = report.at("information");
  ordered_json head = report;
  for (const char* shown : {"information", "admission", "services"}) {
    head.erase(shown);
  }
  std::string text = Line(head) + "\ninformation: " + Line(information) + "\n";
  if (information.value("is_old", false)) {
    text += "WARNING: the information is old, the decision may differ\n";
  }
  const ordered_json& admission = report.at("admission");
  text += "admission: " + Text(admission.at("decision"));
  if (!Text(admission.at("reason")).empty()) {
    text += ", " + Text(admission.at("reason"));
  }
  text += "\n";
  for (const ordered_json& service : report.at("services")) {
    text += ServiceText(service);
  }
  return text;
}

/** The log lines of a request; text before the JSON of a line, and lines
 * without JSON, are passed over. */
void AddLinesOf(const std::string& request, const std::string& log,
                std::vector<ordered_json>& lines) {
  std::istringstream input(log);
  for (std::string text; std::getline(input, text);) {
    const size_t start = text.find("{\"time\"");
    if (start == std::string::npos || text.find(request) == std::string::npos) {
      continue;
    }
    ordered_json line = ordered_json::parse(text.substr(start), nullptr, false);
    if (!line.is_object() || !line["time"].is_number()) continue;
    const auto id = line.find("request");
    if (id != line.end() && *id == request) lines.push_back(std::move(line));
  }
}

std::string HistoryText(const std::vector<ordered_json>& lines) {
  std::string text;
  const double begin = lines.front().at("time").get<double>();
  std::vector<std::vector<std::string>> rows;
  for (const ordered_json& line : lines) {
    ordered_json rest = line;
    for (const char* shown : {"time", "vm", "event", "request"}) {
      rest.erase(shown);
    }
    char age[32];
    std::snprintf(age, sizeof age, "%9.1f ms",
                  1000 * (line.at("time").get<double>() - begin));
    rows.push_back(
        {age, line.value("vm", "-"), line.value("event", "-"), Line(rest)});
  }
  text = FormatTable(rows);
  const ordered_json& last = lines.back();
  if (last.value("event", "") == "finished" && last.contains("late_by")) {
    text += "late by " + Text(last.at("late_by")) + "\n";
  }
  return text;
}

}  // namespace

ExitCode Commands::Explain(const std::vector<std::string>& words) {
  if (words.size() > 2) return ExplainPast(words);
  if (words.size() == 2) {
    return UsageError("explain ID needs the log files to read");
  }
  return ExplainNow();
}

ExitCode Commands::ExplainNow() {
  std::string query;
  for (const auto& [name, value] : options_.description) {
    query += (query.empty() ? "?" : "&") + name + "=" + PercentEncode(value);
  }
  auto report = client_.Get("/v1/explain" + query);
  if (!report) return Fail(report.error());
  Print(*report, ReportText(*report));
  return ExitCode::kDone;
}

ExitCode Commands::ExplainPast(const std::vector<std::string>& words) {
  const std::string& request = words[1];
  std::vector<ordered_json> lines;
  for (size_t i = 2; i < words.size(); ++i) {
    auto log = environment_.read_file(words[i]);
    if (!log) return Fail(log.error());
    AddLinesOf(request, *log, lines);
  }
  if (lines.empty()) {
    environment_.err << "zinniarillctl: no line names request " << request
                     << "\n";
    return ExitCode::kFailed;
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const ordered_json& a, const ordered_json& b) {
                     return a.at("time").get<double>() <
                            b.at("time").get<double>();
                   });
  if (options_.json) {
    environment_.out << ordered_json{{"request", request}, {"lines", lines}}
                     << "\n";
  } else {
    environment_.out << HistoryText(lines);
  }
  return ExitCode::kDone;
}

}  // namespace zr

#include "zr_daemon/api/operator_api.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "zr_daemon/api/error_reply.h"
#include "zr_daemon/endpoint/endpoint_table.h"
#include "zr_daemon/request/route_selector.h"
#include "zr_records/zr_records.h"

namespace zr {
namespace {

using Json = nlohmann::json;

constexpr const char* kStep = "operator request";

void SendJson(HttpResponse& response, int status, const Json& json) {
  response.Send(
      status, {{"content-type", "application/json"}},
      json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n");
}

void SendProblem(HttpResponse& response, int status, ErrorCode code,
                 std::string message) {
  SendError(response, status, Error{code, kStep, "", std::move(message)},
            RunState::kNotRun);
}

/** Compares tokens in a time that does not depend on where they differ. */
bool TokensEqual(std::string_view a, std::string_view b) {
  return Sha256Hex(a) == Sha256Hex(b);
}

std::string_view ToText(InForceReport::State state) {
  return state == InForceReport::State::kAccepted ? "accepted"
                                                  : "written, not yet in force";
}

Json VmNames(const std::vector<VmId>& vms) {
  Json names = Json::array();
  for (const VmId& vm : vms) names.push_back(vm.value());
  return names;
}

}  // namespace

void OperatorApi::Handle(HttpRequest request, HttpResponsePtr response) {
  const std::string_view authorization = request.Header("authorization");
  if (!authorization.starts_with("Bearer ") ||
      !TokensEqual(authorization.substr(7), context_.settings.operator_token)) {
    return SendProblem(*response, 401, ErrorCode::kUnauthenticated,
                       "the operator token is wrong");
  }
  const auto path = PathSegments(request.path);
  const std::string what = path.size() >= 2 && path[0] == "v1" ? path[1] : "";
  const bool get = request.method == "GET";
  if (what == "config" && path.size() == 2 && get) return GetConfig(*response);
  if (what == "config" && path.size() == 2 && request.method == "PUT") {
    return PutConfig(request, std::move(response));
  }
  if (what == "config" && path.size() == 3 && path[2] == "trial" &&
      request.method == "POST") {
    return Trial(request, *response);
  }
  if (what == "status" && get) return Status(*response);
  if (what == "endpoints" && get) return Endpoints(*response);
  if (what == "explain" && path.size() == 2 && get) {
    return Explain(request, *response);
  }
  if (what == "drains" && path.size() == 4) {
    return ChangeDrain(request, std::move(response), path);
  }
  if (what == "operations" && path.size() == 5 && get) {
    return ShowOperation(std::move(response), path);
  }
  SendProblem(*response, 404, ErrorCode::kNotFound,
              "no such path: " + request.path);
}

//==============================================================================
// Configuration

void OperatorApi::GetConfig(HttpResponse& response) const {
  const auto snapshot = context_.cluster->Get();
  const auto& document = snapshot->document;
  const ChangeNote& note = snapshot->note;
  // Version 0 stands for "no document yet" and is the version that the first
  // document replaces.
  SendJson(response, 200,
           {{"version", document ? document->version.value() : 0},
            {"digest", document ? document->digest : ""},
            {"author", note.author},
            {"time", note.time},
            {"document", document ? document->document : ""}});
}

void OperatorApi::PutConfig(const HttpRequest& request,
                            HttpResponsePtr response) {
  auto parsed = Environment::Parse(request.body.text());
  if (!parsed) {
    return SendProblem(*response, 422, parsed.error().code,
                       parsed.error().message);
  }
  const std::string match(request.Header("if-match"));
  char* end = nullptr;
  const uint64_t expected = std::strtoull(match.c_str(), &end, 10);
  if (match.empty() || *end != 0) {
    return SendProblem(
        *response, 400, ErrorCode::kInvalidArgument,
        "If-Match must name the version to replace, 0 for the first document");
  }
  Write(request.body.text(), ObjectVersion(expected),
        std::string(request.Header("x-zr-author")), std::move(response));
}

void OperatorApi::Write(std::string document, ObjectVersion expected,
                        std::string author, HttpResponsePtr response) {
  const std::string value = EncodeConfigObject(
      {document, ChangeNote{author, IsoTime(UnixMilliseconds())}});
  context_.store->Put(
      StorePurpose::kConfig, "config", "environment", expected, value,
      [this, document, expected, author = std::move(author),
       response = std::move(response)](const StoreReply& reply) {
        const std::string digest = DocumentDigest(document);
        switch (reply.status) {
          case StoreStatus::kOk:
            Log(LogLevel::kInfo, "operator",
                "Wrote version " + std::to_string(reply.version.value()) +
                    " for " + (author.empty() ? "an unnamed author" : author) +
                    ".");
            on_written_(ConfigOffer{reply.version, digest, document});
            return SendJson(
                *response, 200,
                {{"version", reply.version.value()}, {"digest", digest}});
          case StoreStatus::kConflict:
            return SendConflict(response);
          case StoreStatus::kUnknown:
            return OnWriteUnknown(document, expected, response);
          case StoreStatus::kNotFound:
          case StoreStatus::kExpired:
          case StoreStatus::kRefused:
          case StoreStatus::kNotSent:
            break;
        }
        SendProblem(*response, 503, ErrorCode::kUnavailable,
                    "the object API did not apply the change: " +
                        std::string(ToString(reply.status)));
      });
}

void OperatorApi::OnWriteUnknown(std::string document, ObjectVersion expected,
                                 HttpResponsePtr response) {
  // The write may have taken effect: reads the document back to find out.
  context_.store->Get(
      StorePurpose::kConfig, "config", "environment",
      [this, document = std::move(document), expected,
       response = std::move(response)](const StoreReply& reply) {
        const auto object = DecodeConfigObject(reply.value);
        if (reply.status == StoreStatus::kOk && object &&
            object->document == document && reply.version > expected) {
          const std::string digest = DocumentDigest(document);
          on_written_(ConfigOffer{reply.version, digest, document});
          return SendJson(
              *response, 200,
              {{"version", reply.version.value()}, {"digest", digest}});
        }
        if (reply.status == StoreStatus::kOk && reply.version > expected) {
          return SendConflict(response);
        }
        SendError(*response, 502,
                  Error{ErrorCode::kUnknownOutcome, kStep, "object API",
                        "the answer was lost; the change may still take "
                        "effect, check with get"},
                  RunState::kMayHaveRun);
      });
}

void OperatorApi::SendConflict(HttpResponsePtr response) {
  context_.store->Get(
      StorePurpose::kConfig, "config", "environment",
      [response = std::move(response)](const StoreReply& reply) {
        const auto object = DecodeConfigObject(reply.value);
        const ChangeNote note = object ? object->note : ChangeNote{};
        Json body = Json::parse(
            ErrorBody(Error{ErrorCode::kConflict, kStep, note.author,
                            "the configuration was changed in the meantime"},
                      RunState::kNotRun),
            nullptr, false);
        body["conflict"] = {{"version", reply.version.value()},
                            {"author", note.author},
                            {"time", note.time}};
        SendJson(*response, 412, body);
      });
}

void OperatorApi::Trial(const HttpRequest& request,
                        HttpResponse& response) const {
  auto parsed = Environment::Parse(request.body.text());
  if (!parsed) {
    return SendProblem(response, 422, parsed.error().code,
                       parsed.error().message);
  }
  const auto snapshot = context_.cluster->Get();
  const Environment empty;
  const Environment& current =
      snapshot->environment ? *snapshot->environment : empty;
  Json changes = Json::array();
  for (const Change& change : Diff(current, *parsed)) {
    changes.push_back({{"kind", ToString(change.kind)},
                       {"section", change.section},
                       {"key", change.key},
                       {"before", change.before},
                       {"after", change.after}});
  }
  SendJson(
      response, 200,
      {{"digest", DocumentDigest(request.body.text())}, {"changes", changes}});
}

void OperatorApi::ChangeDrain(const HttpRequest& request,
                              HttpResponsePtr response,
                              const std::vector<std::string>& path) {
  Drain drain;
  drain.name = path[3];
  if (path[2] == "domain") {
    drain.kind = DrainKind::kDomain;
  } else if (path[2] == "vm") {
    drain.kind = DrainKind::kVm;
  } else if (path[2] == "endpoint") {
    drain.kind = DrainKind::kEndpoint;
  } else {
    return SendProblem(*response, 404, ErrorCode::kNotFound,
                       "the kind of a drain must be domain, vm or endpoint");
  }
  const auto document = context_.cluster->Get()->document;
  if (!document) {
    return SendProblem(*response, 409, ErrorCode::kConflict,
                       "there is no document yet");
  }
  const bool add = request.method == "PUT";
  if (!add && request.method != "DELETE") {
    return SendProblem(*response, 405, ErrorCode::kInvalidArgument,
                       "use PUT or DELETE");
  }
  auto changed = add ? AddDrain(document->document, drain)
                     : RemoveDrain(document->document, drain);
  if (!changed) {
    return SendProblem(*response, HttpStatusOf(changed.error().code),
                       changed.error().code, changed.error().message);
  }
  if (*changed == document->document) {
    return SendJson(
        *response, 200,
        {{"version", document->version.value()}, {"digest", document->digest}});
  }
  Write(std::move(*changed), document->version,
        std::string(request.Header("x-zr-author")), std::move(response));
}

//==============================================================================
// Views

void OperatorApi::Status(HttpResponse& response) const {
  const auto snapshot = context_.cluster->Get();
  Json config = {{"version", 0}, {"digest", ""}, {"in_force", false}};
  if (snapshot->document) {
    const InForceReport report =
        MakeInForceReport(SteadyNow(), snapshot->document->version,
                          snapshot->document->digest, *snapshot->view);
    config = {{"version", snapshot->document->version.value()},
              {"digest", snapshot->document->digest},
              {"in_force", report.state == InForceReport::State::kAccepted},
              {"state", ToText(report.state)},
              {"lagging", VmNames(report.lagging)},
              {"silent", VmNames(report.silent)}};
  }
  Json vms = Json::array();
  auto add = [&vms](const VmView& vm, const char* state) {
    vms.push_back({{"name", vm.vm.value()},
                   {"domain", vm.domain.value()},
                   {"state", state},
                   {"config_version", vm.config_version.value()}});
  };
  for (const auto& [id, vm] : snapshot->view->live) {
    add(vm, vm.leaving ? "leaving" : vm.ready ? "ready" : "not ready");
  }
  for (const auto& [id, vm] : snapshot->view->silent) add(vm, "silent");
  Json invariants = Json::object();
  for (size_t i = 0; i < kInvariantCount; ++i) {
    const auto invariant = static_cast<Invariant>(i);
    invariants[std::string(ToString(invariant))] = Invariants::Count(invariant);
  }
  SendJson(response, 200,
           {{"vm", context_.settings.vm.value()},
            {"ready", snapshot->Ready()},
            {"config", config},
            {"vms", vms},
            {"invariants", invariants}});
}

void OperatorApi::Endpoints(HttpResponse& response) const {
  const auto snapshot = context_.cluster->Get();
  std::map<EndpointId, EndpointSummary> summaries;
  for (EndpointSummary& summary : context_.selector->Summaries()) {
    summaries[summary.endpoint] = std::move(summary);
  }
  Json list = Json::array();
  for (const auto& [id, info] : *snapshot->endpoints) {
    Json entry = {{"name", id.value()},
                  {"pool", info.pool.value()},
                  {"domain", info.domain.value()},
                  {"owner", ""},
                  {"state", "unknown"},
                  {"kv_free", 0},
                  {"kv_capacity", 0},
                  {"running", 0}};
    if (auto it = summaries.find(id); it != summaries.end()) {
      entry["owner"] = it->second.owner.value();
      entry["state"] = it->second.accepts_new ? "in service" : "no new work";
      entry["kv_free"] = it->second.kv_free.value();
      entry["kv_capacity"] = it->second.kv_capacity.value();
    }
    if (snapshot->environment &&
        snapshot->environment->IsDrained(info.domain, VmId(), info.endpoint)) {
      entry["state"] = "drained";
    }
    if (auto host = context_.endpoints->Find(id)) {
      entry["running"] = host->Snapshot().active_grants;
    }
    list.push_back(std::move(entry));
  }
  SendJson(response, 200, {{"endpoints", list}});
}

void OperatorApi::ShowOperation(HttpResponsePtr response,
                                const std::vector<std::string>& path) {
  auto name = OperationName(TeamId(path[2]), path[3], path[4]);
  if (!name) {
    return SendProblem(*response, 400, name.error().code, name.error().message);
  }
  context_.store->Get(
      StorePurpose::kRecords, std::string(kOperationsKind), *name,
      [response = std::move(response), key = path[4]](const StoreReply& reply) {
        if (reply.status == StoreStatus::kNotFound) {
          return SendProblem(*response, 404, ErrorCode::kNotFound,
                             "no record for key " + key);
        }
        if (reply.status != StoreStatus::kOk) {
          return SendProblem(*response, 503, ErrorCode::kUnavailable,
                             "the object API did not answer");
        }
        auto record = RecordCodec::Decode(reply.value);
        if (!record) {
          return SendProblem(*response, 500, record.error().code,
                             record.error().message);
        }
        Json body = {{"key", record->key},
                     {"team", record->team.value()},
                     {"service", record->service},
                     {"state", ToString(record->state)},
                     {"attempt", record->attempt.vm.value()},
                     {"updated_unix_ms", record->updated_unix_ms},
                     {"outcome", nullptr}};
        if (record->outcome) {
          body["outcome"] = {{"status", record->outcome->status},
                             {"content_type", record->outcome->content_type},
                             {"digest", record->outcome->digest}};
        }
        SendJson(*response, 200, body);
      });
}

}  // namespace zr

#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "zr_gateway_host/forwarded_request.h"
#include "zr_gateway_host/gateway_settings.h"
#include "zr_gateway_host/gateway_state.h"
#include "zr_gateway_host/reservation_keeper.h"
#include "zr_gateway_host/store_feed.h"

namespace zr {

/**
 * One entry VM that forwards requests on the routes of a platform's
 * configuration. Runs on a single thread.
 */
template <GatewayFormat Format>
class GatewayNode : public StoreFeed<typename Format::Store>::Listener,
                    private RelayedDocument {
 public:
  /** Reads the settings again; on an error the current ones stay in force. */
  using SettingsReader = std::function<Result<GatewaySettings>()>;

  /** @returns an error if an address cannot be bound */
  static Result<std::unique_ptr<GatewayNode>> Create(GatewaySettings settings,
                                                     SettingsReader reader);
  GatewayNode(const GatewayNode&) = delete;
  GatewayNode& operator=(const GatewayNode&) = delete;

  /** Serves until SIGTERM or SIGINT; @returns the process's exit code */
  int Run();

 private:
  using Feed = StoreFeed<typename Format::Store>;
  using Store = BasicObjectStore<typename Format::Store>;
  using Request = ForwardedRequest<Format>;

  static constexpr size_t kEndpointFeed = 1;  // index in feeds_

  GatewayNode(GatewaySettings settings, SettingsReader reader);
  Result<void> Open();
  /** Applies the time bounds of the settings. */
  void ApplyBounds();
  void ApplyPace();
  /** Opens the listeners for callers and probes. */
  Result<void> OpenServers();
  /** Applies the limits on clients of the settings and the configuration. */
  void ApplyClientLimits();
  ClientGuardOptions GuardOptions(bool callers) const;
  void LogRefusal(const ClientRefusal& refusal);
  void UpdateClientMetrics();

  // StoreFeed::Listener
  void OnList(const std::string& kind,
              const std::vector<StoreItem>& items) override;
  void OnChanges(const std::string& kind,
                 const std::vector<StoreItem>& items) override;
  void OnVerified(const std::string& kind, TimePoint started) override;
  void OnStoreReachable(const std::string& kind, bool reachable,
                        StoreStatus status, Duration call_time) override;
  void OnCallFailed(const std::string& kind, StoreStatus status,
                    Duration call_time) override;
  void OnStoreRestored(const std::string& kind, StorePosition known,
                       StorePosition now) override;
  void OnOutageEnded() override;
  void OnUpdatesEnded(const std::string& kind, Duration evidence_age) override;

  // RelayedDocument
  uint64_t document_digest() const override { return config_history_.digest(); }
  std::optional<DocumentDelta> DeltaFor(const KindVersion& requester) override;
  bool OnDelta(const DocumentDelta& delta) override;

  /** @param digest  of the document that a VM without the store has */
  std::optional<DocumentDelta> DeltaOrWhole(uint64_t digest);
  /** @returns std::nullopt also if the delta inserts more than max_bytes */
  std::optional<DocumentDelta> DeltaFrom(uint64_t digest, size_t max_bytes);
  void ApplyStoredConfig(const StoreItem& item);
  /** Puts a configuration in force unless it is older than the known one.
   * @param source  where it came from, for the log
   * @returns false if it is invalid */
  bool PutInForce(ConfigDocument::Ptr document, const char* source);
  void RejectConfig(const char* source, const Error& error);
  /** Notices, queries and configurations of other VMs. */
  void OnConfigMessage(const VmId& vm, const Message& message);
  /** The store's last answer shows that the configuration is the newest one,
   * if ConfigVersions agrees. */
  void UpdateFreshness(TimePoint now);
  void ApplyEndpoint(const StoreItem& item);
  std::optional<DirectoryEntry> DecodeEntry(const StoreItem& item);
  /** @returns whether the directory has not applied the entry, as it is older
   * than what is known */
  bool LogIfOutdated(TimePoint now, const DirectoryEntry& entry);
  void ApplyEvacuations();
  static MemberRecord ToMember(const StoreItem& item);
  void UpdateMembership();
  void ApplySuspect(const StoreItem& item);
  void UpdateSuspectRecords(TimePoint now);
  std::vector<InFlightCall> InFlightCallsOf(const PoolId& pool) const;

  void HandleCaller(HttpRequest request, HttpResponsePtr response);
  void HandleProbe(const HttpRequest& request, HttpResponsePtr response);
  /** Answers an operator; every request needs the token. */
  void HandleOperator(const HttpRequest& request, HttpResponsePtr response);
  nlohmann::ordered_json Explain(TimePoint now,
                                 const DescribedRequest& request) const;
  /** Where a service would get the request now. */
  nlohmann::ordered_json ExplainService(TimePoint now,
                                        const DescribedRequest& request,
                                        const ServicePolicy& service) const;
  Result<void> ServeOperators();
  bool Ready() const;

  void WaitForSignal();
  void ScheduleTick();
  void Tick();
  void Reload(const char* cause);
  void BeginStop();
  void FinishStop(const char* reason);

  GatewaySettings settings_;
  SettingsReader reader_;
  asio::io_context io_{1};
  Metrics metrics_;
  GatewayState state_;
  EndpointDirectory directory_;
  std::shared_ptr<DispatchClient> dispatch_;
  std::unique_ptr<EndpointDirectory> dispatch_directory_;
  std::shared_ptr<Store> store_;
  StoreOutage store_outage_;
  std::vector<std::shared_ptr<Feed>> feeds_;
  std::shared_ptr<ClientGuard> caller_guard_;
  std::shared_ptr<ClientGuard> probe_guard_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> probe_server_;
  std::unique_ptr<HttpServer> operator_server_;  // null: not served
  std::list<std::shared_ptr<Request>> requests_;
  ConfigVersions config_versions_;
  ConfigHistory config_history_;              // newest: in force
  std::optional<TimePoint> config_verified_;  // start of the last call
  EvacuationRegister evacuations_;
  MemberRecords members_;
  std::string link_key_;         // in use
  TimePoint next_member_write_;  // of a write that failed; 0 if there is none
  /** Kinds of which the first list of the store's new era is to come. */
  std::set<std::string> restored_kinds_;
  bool members_known_ = false;
  bool was_ready_ = false;
  asio::signal_set signals_;
  asio::steady_timer tick_;
  TimePoint next_settings_check_;
};

}  // namespace zr

#include "zr_gateway_host/gateway_node_impl.h"
// Uses the constants of gateway_node_impl.h.
#include "zr_gateway_host/gateway_clients_impl.h"
#include "zr_gateway_host/gateway_config_impl.h"
#include "zr_gateway_host/gateway_explain_impl.h"
#include "zr_gateway_host/gateway_store_impl.h"

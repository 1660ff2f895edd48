#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "zr_base/memory_account.h"
#include "zr_http/server/request_reader.h"
#include "zr_http/server/shed_order.h"

namespace zr {

/** Limits on all clients of a process together. */
struct ClientGuardOptions {
  size_t memory_bytes = size_t{1} << 30;
  size_t max_connections = 10000;
  /** Of one address; a load balancer may hide the clients' own. */
  size_t max_connections_per_address = 10000;
  /** Requests that wait for memory; their bytes stay unread in the kernel. */
  size_t max_waiting = 10000;
  /** Time from the first byte of a request to the end of its head. */
  Duration head_timeout = Duration::Seconds(10);
  /** Longest time without progress within a body. */
  Duration body_timeout = Duration::Seconds(30);
};

/** A client that was refused, or a connection that was closed for another. */
struct ClientRefusal {
  int status = 0;  // 0: closed without an answer
  std::string reason;
  std::string address;
  size_t held_bytes = 0;
  Duration age;  // of the request or, between requests, of the last progress
};

/**
 * Bounds what the clients of a process take: connections, memory of their
 * requests from the first byte until the response is done, and time. Servers
 * that share a guard share its limits. Thread-safe. A timer runs only while
 * requests are being read.
 */
class ClientGuard : public std::enable_shared_from_this<ClientGuard> {
 public:
  /** Called with the guard's lock held: must not call the guard. */
  using Listener = std::function<void(const ClientRefusal&)>;

  /** Where a connection is told what to do; both members return at once. */
  class Channel {
   public:
    virtual ~Channel() = default;
    /** The memory that the connection waits for is reserved. */
    virtual void PostResume() = 0;
    /** Refuses the request that is being read and closes the connection.
     * @param status  0 to close without an answer */
    virtual void PostRefuse(int status, std::string reason) = 0;
  };

  /** One connection; opaque to others. */
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  /** Memory of a complete request, until destruction. */
  class Charge;

  enum class Decision { kPass, kWait, kRefused };

  struct Usage {
    size_t connections = 0;
    size_t held[MemoryAccount::kPurposes] = {};  // bytes
    size_t limit = 0;                            // bytes
  };

  /** Number of waiting requests whose unread bytes take this much. */
  static size_t WaitingFor(size_t unread_bytes);

  ClientGuard(asio::io_context& context, ClientGuardOptions options,
              Listener listener = {});

  /** Applies to reads that follow; memory that is held stays reserved. */
  void SetOptions(const ClientGuardOptions& options);
  ClientGuardOptions options() const;
  Usage usage() const;

  /** @returns null if there is no room for another connection */
  ConnectionPtr Open(std::weak_ptr<Channel> channel, std::string address);
  void Close(const ConnectionPtr& connection);

  /**
   * Reserves the memory of what was read before it is passed on.
   *
   * @param bytes  that were received
   * @returns kWait if PostResume() follows, kRefused if PostRefuse() follows
   */
  Decision OnRead(const ConnectionPtr& connection, size_t bytes,
                  const RequestReader& reader);
  /** The connection's request is refused because of its size.
   * @returns false if PostRefuse() follows when earlier responses are done */
  bool OnOverLimit(const ConnectionPtr& connection, int status,
                   const char* reason);
  /** Whether requests wait for memory. */
  bool MemoryIsShort() const;
  /** Counts bytes of a refused request that are read and discarded. */
  void OnDiscarded(const ConnectionPtr& connection);

  /** Memory of the connection's oldest complete request. */
  std::shared_ptr<Charge> TakeCharge(const ConnectionPtr& connection);
  /** The last byte of a response was passed to the kernel, or failed. */
  void OnAnswered(const ConnectionPtr& connection);

 private:
  using Lock = std::lock_guard<std::mutex>;

  bool TryGrant(Connection& connection);
  void GrantWaiters();
  void Release(MemoryAccount::Purpose purpose, size_t bytes);
  void Refuse(Connection& connection, int status, const char* reason);
  bool MakeRoom(const std::string& address);
  ShedOrder::Loads Loads(std::vector<Connection*>* connections) const;
  void ShedMemory(TimePoint now);
  void ShedWaiting();
  void ArmTimer();
  void Sweep();

  asio::steady_timer timer_;
  bool armed_ = false;
  mutable std::mutex mutex_;
  ClientGuardOptions options_;
  Listener listener_;
  MemoryAccount account_;
  TimePoint last_release_;
  std::list<ConnectionPtr> connections_;
  std::map<std::string, size_t> by_address_;
  std::list<Connection*> waiters_;  // in the order of arrival
};

/** Memory of a complete request, held until destruction. */
class ClientGuard::Charge {
 public:
  Charge(std::shared_ptr<ClientGuard> guard, size_t bytes)
      : guard_(std::move(guard)), bytes_(bytes) {}
  ~Charge();
  Charge(const Charge&) = delete;
  Charge& operator=(const Charge&) = delete;

 private:
  std::shared_ptr<ClientGuard> guard_;
  size_t bytes_;
};

}  // namespace zr

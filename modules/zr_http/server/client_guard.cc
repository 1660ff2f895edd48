#include "zr_http/server/client_guard.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace zr {
namespace {

using Purpose = MemoryAccount::Purpose;
using Bound = MemoryAccount::Bound;

// A connection with its buffers and timers, without requests.
constexpr size_t kConnectionBytes = size_t{8} << 10;
// Requests up to this may use the room between the soft and the hard bound.
constexpr size_t kSmallRequest = size_t{64} << 10;
// Bytes that the kernel keeps for a connection that is not read: the receive
// buffer of HttpServer and what a segment exceeds it by.
constexpr size_t kUnreadBytes = size_t{85} << 10;
constexpr size_t kMinWaiting = 8;
// Received bytes that count as progress: single bytes now and then don't.
constexpr size_t kProgressBytes = 4096;
// Connections beyond the limit while those that give way are being closed.
constexpr size_t kClosingConnections = 16;
constexpr std::chrono::milliseconds kSweepPeriod{250};
// Time for which a refused client may go on sending; see MeteredStream.
constexpr Duration kLinger = Duration::Seconds(2);

TimePoint Now() {
  return TimePoint::FromMicroseconds(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count());
}

}  // namespace

class ClientGuard::Connection {
 public:
  std::weak_ptr<Channel> channel;
  std::string address;
  std::list<ConnectionPtr>::iterator self;
  bool open = true;
  bool refused = false;
  bool served = false;
  bool waiting = false;
  int refusal_when_answered = 0;  // status; 0 for none
  RequestReader::Phase phase = RequestReader::Phase::kIdle;
  TimePoint began;  // of the request that is being read
  TimePoint last_progress;
  size_t progress_bytes = 0;      // since last_progress
  size_t incoming = 0;            // reserved for the request that is being read
  size_t wanted = 0;              // for it, and for those in completed
  std::vector<size_t> completed;  // costs of requests in the waiting bytes
  std::deque<size_t> charges;     // of complete requests
  size_t running = 0;             // requests without a complete response

  bool MayRun() const { return running > 0 || !charges.empty(); }
  ClientLoad Load() const {
    ClientLoad load;
    using State = ClientLoad::State;
    load.state = refused                                ? State::kRefused
                 : MayRun()                             ? State::kRunning
                 : waiting                              ? State::kWaiting
                 : phase == RequestReader::Phase::kIdle ? State::kIdle
                                                        : State::kReading;
    load.served = served;
    load.last_progress = last_progress;
    load.held = incoming;
    load.wanted = wanted;
    return load;
  }
};

size_t ClientGuard::WaitingFor(size_t unread_bytes) {
  return std::max(kMinWaiting, unread_bytes / kUnreadBytes);
}

ClientGuard::Charge::~Charge() {
  Lock lock(guard_->mutex_);
  guard_->Release(Purpose::kRunning, bytes_);
}

ClientGuard::ClientGuard(asio::io_context& context, ClientGuardOptions options,
                         Listener listener)
    : timer_(context),
      options_(options),
      listener_(std::move(listener)),
      account_(options.memory_bytes),
      last_release_(Now()) {}

void ClientGuard::SetOptions(const ClientGuardOptions& options) {
  Lock lock(mutex_);
  options_ = options;
  account_.SetLimit(options.memory_bytes);
  GrantWaiters();
}

ClientGuardOptions ClientGuard::options() const {
  Lock lock(mutex_);
  return options_;
}

ClientGuard::Usage ClientGuard::usage() const {
  Lock lock(mutex_);
  Usage usage;
  usage.connections = connections_.size();
  for (size_t i = 0; i < MemoryAccount::kPurposes; ++i) {
    usage.held[i] = account_.held(static_cast<Purpose>(i));
  }
  usage.limit = account_.limit();
  return usage;
}

//==============================================================================
// Connections

ClientGuard::ConnectionPtr ClientGuard::Open(std::weak_ptr<Channel> channel,
                                             std::string address) {
  Lock lock(mutex_);
  if (!MakeRoom(address) ||
      !account_.TryReserve(Purpose::kConnections, kConnectionBytes,
                           Bound::kHard)) {
    if (listener_) listener_({0, "connections", address, 0, {}});
    return nullptr;
  }
  auto connection = std::make_shared<Connection>();
  connection->channel = std::move(channel);
  connection->address = std::move(address);
  connection->last_progress = connection->began = Now();
  ++by_address_[connection->address];
  connections_.push_back(connection);
  connection->self = std::prev(connections_.end());
  return connection;
}

bool ClientGuard::MakeRoom(const std::string& address) {
  const auto same = by_address_.find(address);
  if (same != by_address_.end() &&
      same->second >= options_.max_connections_per_address) {
    return false;
  }
  const bool memory =
      account_.limit() - std::min(account_.limit(), account_.held()) >=
      kConnectionBytes;
  if (connections_.size() < options_.max_connections && memory) return true;
  std::vector<Connection*> all;
  const auto loads = Loads(&all);
  if (const auto index = ShedOrder::ForConnection(loads, Now())) {
    Connection& victim = *all[*index];
    const bool has_begun = victim.phase != RequestReader::Phase::kIdle;
    victim.refused = false;  // may be lingering; is closed now
    Refuse(victim, has_begun ? 408 : 0, "connections");
    return memory &&
           connections_.size() < options_.max_connections + kClosingConnections;
  }
  return false;
}

void ClientGuard::Close(const ConnectionPtr& connection) {
  Lock lock(mutex_);
  if (!connection || !connection->open) return;
  connection->open = false;
  if (connection->waiting) waiters_.remove(connection.get());
  if (auto it = by_address_.find(connection->address);
      it != by_address_.end() && --it->second == 0) {
    by_address_.erase(it);
  }
  connections_.erase(connection->self);
  size_t bytes = connection->incoming;
  connection->incoming = 0;
  for (const size_t charge : connection->charges) bytes += charge;
  connection->charges.clear();
  account_.Release(Purpose::kConnections, kConnectionBytes);
  Release(Purpose::kIncoming, bytes);
}

//==============================================================================
// Memory of requests

ClientGuard::Decision ClientGuard::OnRead(const ConnectionPtr& connection,
                                          size_t bytes,
                                          const RequestReader& reader) {
  Lock lock(mutex_);
  if (connection->refused || !connection->open) return Decision::kRefused;
  const TimePoint now = Now();
  const bool begins = connection->phase == RequestReader::Phase::kIdle;
  const auto& completed = reader.completed_costs();
  connection->progress_bytes += bytes;
  if (begins || !completed.empty() ||
      connection->progress_bytes >= kProgressBytes) {
    connection->last_progress = now;
    connection->progress_bytes = 0;
  }
  if (begins || !completed.empty()) connection->began = now;
  connection->phase = reader.phase();
  connection->completed.assign(completed.begin(), completed.end());
  connection->wanted = reader.Cost();
  for (const size_t cost : completed) connection->wanted += cost;
  if (connection->phase != RequestReader::Phase::kIdle) ArmTimer();
  if (TryGrant(*connection)) return Decision::kPass;
  connection->waiting = true;
  waiters_.push_back(connection.get());
  ArmTimer();
  if (waiters_.size() > options_.max_waiting) ShedWaiting();
  return connection->refused ? Decision::kRefused : Decision::kWait;
}

bool ClientGuard::TryGrant(Connection& connection) {
  const bool small = connection.wanted <= kSmallRequest;
  // A large request behind one that runs would hold memory that can't be taken
  // from it, as the connection must stay for the first one's answer.
  if (!small && connection.MayRun()) return false;
  if (connection.wanted > connection.incoming) {
    const size_t more = connection.wanted - connection.incoming;
    if (!account_.TryReserve(Purpose::kIncoming, more,
                             small ? Bound::kHard : Bound::kSoft)) {
      return false;
    }
    connection.incoming = connection.wanted;
  }
  for (const size_t cost : connection.completed) {
    connection.charges.push_back(cost);
    connection.incoming -= std::min(connection.incoming, cost);
  }
  connection.completed.clear();
  return true;
}

void ClientGuard::GrantWaiters() {
  bool large_waits = false;
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    Connection& waiter = **it;
    const bool small = waiter.wanted <= kSmallRequest;
    if ((small || !large_waits) && TryGrant(waiter)) {
      it = waiters_.erase(it);
      waiter.waiting = false;
      waiter.last_progress = Now();
      if (auto channel = waiter.channel.lock()) channel->PostResume();
      continue;
    }
    if (!small && !waiter.MayRun()) large_waits = true;
    ++it;
  }
}

void ClientGuard::Release(Purpose purpose, size_t bytes) {
  if (bytes > 0) {
    account_.Release(purpose, bytes);
    last_release_ = Now();
  }
  if (!waiters_.empty()) GrantWaiters();
}

std::shared_ptr<ClientGuard::Charge> ClientGuard::TakeCharge(
    const ConnectionPtr& connection) {
  size_t bytes = 0;
  {
    Lock lock(mutex_);
    if (!connection->open) return nullptr;
    ++connection->running;
    if (connection->charges.empty()) return nullptr;
    bytes = connection->charges.front();
    connection->charges.pop_front();
    account_.Move(Purpose::kIncoming, Purpose::kRunning, bytes);
  }
  return std::make_shared<Charge>(shared_from_this(), bytes);
}

void ClientGuard::OnAnswered(const ConnectionPtr& connection) {
  Lock lock(mutex_);
  if (connection->running > 0) --connection->running;
  connection->served = true;
  connection->last_progress = Now();
  if (!connection->open || connection->MayRun()) return;
  if (connection->refusal_when_answered != 0) {
    if (auto channel = connection->channel.lock()) {
      channel->PostRefuse(connection->refusal_when_answered, "size");
    }
  } else if (connection->waiting) {
    GrantWaiters();
  }
}

bool ClientGuard::MemoryIsShort() const {
  Lock lock(mutex_);
  return !waiters_.empty();
}

//==============================================================================
// Clients that give way

bool ClientGuard::OnOverLimit(const ConnectionPtr& connection, int status,
                              const char* reason) {
  Lock lock(mutex_);
  const TimePoint now = Now();
  if (!connection->refused && listener_) {
    listener_({status, reason, connection->address, connection->incoming,
               now - connection->began});
  }
  connection->refused = true;
  connection->last_progress = now;
  ArmTimer();
  if (!connection->MayRun()) return true;
  connection->refusal_when_answered = status;
  return false;
}

void ClientGuard::OnDiscarded(const ConnectionPtr& connection) {
  Lock lock(mutex_);
  connection->last_progress = Now();
}

void ClientGuard::Refuse(Connection& connection, int status,
                         const char* reason) {
  if (connection.refused) return;
  connection.refused = true;
  if (connection.waiting) {
    connection.waiting = false;
    waiters_.remove(&connection);
  }
  const TimePoint now = Now();
  if (listener_) {
    listener_({status, reason, connection.address, connection.incoming,
               now - connection.began});
  }
  connection.last_progress = now;
  if (auto channel = connection.channel.lock()) {
    channel->PostRefuse(status, reason);
  }
}

ShedOrder::Loads ClientGuard::Loads(
    std::vector<Connection*>* connections) const {
  ShedOrder::Loads loads;
  loads.reserve(connections_.size());
  for (const auto& connection : connections_) {
    loads.push_back(connection->Load());
    connections->push_back(connection.get());
  }
  return loads;
}

void ClientGuard::ShedMemory(TimePoint now) {
  const auto large =
      std::find_if(waiters_.begin(), waiters_.end(),
                   [](const Connection* waiter) { return !waiter->MayRun(); });
  if (large == waiters_.end()) return;
  size_t needed =
      (*large)->wanted - std::min((*large)->wanted, (*large)->incoming);
  std::vector<Connection*> all;
  ShedOrder::Loads loads = Loads(&all);
  while (needed > 0) {
    const auto index = ShedOrder::ForMemory(loads, now, last_release_);
    if (!index) return;
    ClientLoad& load = loads[*index];
    needed -= std::min(needed, load.held);
    load.held = 0;
    Connection& victim = *all[*index];
    if (victim.refused) {
      if (auto channel = victim.channel.lock()) channel->PostRefuse(0, {});
    } else {
      Refuse(victim, 503, "memory");
    }
  }
}

void ClientGuard::ShedWaiting() {
  ShedOrder::Loads loads;
  loads.reserve(waiters_.size());
  for (const Connection* waiter : waiters_) loads.push_back(waiter->Load());
  if (const auto index = ShedOrder::ForWaiting(loads)) {
    Refuse(**std::next(waiters_.begin(), static_cast<ptrdiff_t>(*index)), 503,
           "memory");
  }
}

void ClientGuard::ArmTimer() {
  if (armed_) return;
  armed_ = true;
  timer_.expires_after(kSweepPeriod);
  timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    if (error) return;
    if (auto self = weak.lock()) self->Sweep();
  });
}

void ClientGuard::Sweep() {
  Lock lock(mutex_);
  armed_ = false;
  const TimePoint now = Now();
  bool active = !waiters_.empty();
  for (const auto& connection : connections_) {
    const ClientLoad load = connection->Load();
    const Duration pause = now - load.last_progress;
    const bool head = connection->phase == RequestReader::Phase::kHead;
    if (load.state == ClientLoad::State::kRefused) {
      active = true;
      if (pause < kLinger || connection->MayRun()) continue;
      if (auto channel = connection->channel.lock()) {
        channel->PostRefuse(0, {});
      }
    } else if (load.state == ClientLoad::State::kReading) {
      active = true;
      if (head ? now - connection->began > options_.head_timeout
               : pause > options_.body_timeout) {
        Refuse(*connection, 408, head ? "head timeout" : "body timeout");
      }
    }
  }
  ShedMemory(now);
  if (active) ArmTimer();
}

}  // namespace zr

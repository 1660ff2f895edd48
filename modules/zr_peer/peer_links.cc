#include "zr_peer/peer_links.h"

#include <chrono>
#include <utility>

namespace zr {
namespace {

// Bounds the log of a VM whose port others fill.
constexpr Duration kReportPeriod = Duration::Seconds(1);

TimePoint Now() {
  return TimePoint::FromMicroseconds(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count());
}

Result<std::pair<std::string, uint16_t>> SplitAddress(
    const std::string& address) {
  const size_t colon = address.rfind(':');
  const int port =
      colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
  if (port <= 0 || port > 65535) {
    return Fail(ErrorCode::kInvalidArgument, "peer link", address,
                "address must be ip:port");
  }
  return std::make_pair(address.substr(0, colon), static_cast<uint16_t>(port));
}

}  // namespace

PeerLinks::PeerLinks(asio::io_context& context, PeerOptions options,
                     std::weak_ptr<Listener> listener)
    : options_(std::move(options)),
      listener_(std::move(listener)),
      timer_(context) {}

Result<std::shared_ptr<PeerLinks>> PeerLinks::Start(
    asio::io_context& context, PeerOptions options,
    std::weak_ptr<Listener> listener) {
  auto address = SplitAddress(options.listen_address);
  if (!address) return tl::unexpected(address.error());
  std::shared_ptr<PeerLinks> links(
      new PeerLinks(context, std::move(options), std::move(listener)));
  UnprovedLinkLimits limits;
  limits.max_links = links->options_.max_unproved_links;
  limits.timeout_ms = links->options_.proof_timeout.milliseconds();
  std::string error;
  links->transport_ = WebsocketTransport::Create(
      context, address->first, address->second,
      links->options_.max_message_bytes, limits, links, &error);
  if (!links->transport_) {
    return Fail(ErrorCode::kUnavailable, "peer link",
                links->options_.listen_address, "cannot listen: " + error);
  }
  links->ScheduleDial();
  return links;
}

void PeerLinks::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopped_ = true;
    timer_.cancel();
  }
  transport_->Stop();
}

void PeerLinks::SetTargets(std::set<std::string> addresses) {
  addresses.erase(options_.listen_address);
  std::lock_guard lock(mutex_);
  targets_ = std::move(addresses);
}

bool PeerLinks::Send(const VmId& vm, std::string_view payload) {
  // The lock is held until the frame is queued, because frames of a link must
  // be queued in the order of their counters.
  std::lock_guard lock(mutex_);
  auto found = by_vm_.find(vm);
  if (found == by_vm_.end()) return false;
  auto link = links_.find(found->second);
  if (link == links_.end()) return false;
  const std::string frame = link->second.auth.Seal(payload);
  bytes_sent_ += frame.size();
  transport_->Send(found->second, frame, options_.max_buffered_bytes);
  return true;
}

std::vector<VmId> PeerLinks::Connected() const {
  std::lock_guard lock(mutex_);
  std::vector<VmId> vms;
  for (const auto& [vm, link] : by_vm_) vms.push_back(vm);
  return vms;
}

size_t PeerLinks::unproved() const { return transport_->unproved(); }

uint64_t PeerLinks::rejected() const {
  std::lock_guard lock(mutex_);
  return rejected_;
}

uint64_t PeerLinks::bytes_sent() const {
  std::lock_guard lock(mutex_);
  return bytes_sent_;
}

uint64_t PeerLinks::bytes_received() const {
  std::lock_guard lock(mutex_);
  return bytes_received_;
}

void PeerLinks::SetKey(const std::string& key) {
  std::lock_guard lock(mutex_);
  options_.key = key;
}

void PeerLinks::OnOpen(LinkId link, bool outgoing) {
  std::string hello;
  {
    std::lock_guard lock(mutex_);
    auto [it, inserted] = links_.try_emplace(
        link,
        FrameAuthenticator(options_.key, options_.self, options_.incarnation));
    it->second.outgoing = outgoing;
    hello = it->second.auth.MakeHello();
  }
  transport_->Send(link, hello, options_.max_buffered_bytes);
}

void PeerLinks::OnMessage(LinkId link, const std::string& payload) {
  VmId vm;
  std::string data;
  bool reject = false;
  {
    std::lock_guard lock(mutex_);
    auto it = links_.find(link);
    if (it == links_.end()) return;
    if (it->second.auth.authenticated()) {
      auto opened = it->second.auth.Open(payload);
      if (opened) {
        vm = it->second.auth.peer();
        data = std::move(*opened);
        bytes_received_ += payload.size();
      } else {
        ++rejected_;
        reject = true;
      }
    }
  }
  if (reject) {
    transport_->Close(link, "authentication failed");
  } else if (vm.empty()) {
    OnHandshake(link, payload);
  } else if (auto listener = listener_.lock()) {
    listener->OnPeerMessage(vm, data);
  }
}

bool PeerLinks::OnHandshake(LinkId link, const std::string& payload) {
  std::string proof;
  VmId up;
  Incarnation incarnation;
  LinkId close = 0;
  bool proved = false;
  {
    std::lock_guard lock(mutex_);
    auto it = links_.find(link);
    if (it == links_.end()) return false;
    auto& auth = it->second.auth;
    auto progress = auth.OnHandshakeFrame(payload);
    if (!progress || auth.peer() == options_.self) {
      if (!progress) ++rejected_;
      close = link;
    } else if (*progress == FrameAuthenticator::Progress::kSendProof) {
      proof = auth.MakeProof();
    } else {
      proved = true;
      if (!it->second.address.empty()) {
        address_of_[auth.peer()] = it->second.address;
      }
      close = ChooseLinkToClose(auth.peer(), link);
      if (close != link) {
        if (!by_vm_.contains(auth.peer())) {
          up = auth.peer();
          incarnation = auth.peer_incarnation();
        }
        by_vm_[auth.peer()] = link;
      }
    }
  }
  if (proved) transport_->Admit(link);
  if (!proof.empty()) {
    transport_->Send(link, proof, options_.max_buffered_bytes);
  }
  if (close != 0) transport_->Close(close, "not needed or not authenticated");
  if (!up.empty()) {
    if (auto listener = listener_.lock()) listener->OnPeerUp(up, incarnation);
  }
  return close != link;
}

PeerLinks::LinkId PeerLinks::ChooseLinkToClose(const VmId& vm,
                                               LinkId added) const {
  auto existing = by_vm_.find(vm);
  if (existing == by_vm_.end() || existing->second == added) return 0;
  auto old_link = links_.find(existing->second);
  auto new_link = links_.find(added);
  if (old_link == links_.end()) return 0;
  // The old link of a restarted peer is stale, regardless of which side dialled
  // it.
  if (old_link->second.auth.peer_incarnation() <
      new_link->second.auth.peer_incarnation()) {
    return existing->second;
  }
  const bool lower_dialled_new =
      new_link->second.outgoing == (options_.self < vm);
  const bool lower_dialled_old =
      old_link->second.outgoing == (options_.self < vm);
  if (lower_dialled_old && !lower_dialled_new) return added;
  return existing->second;
}

void PeerLinks::OnClosed(LinkId link, const std::string& /*reason*/) {
  VmId down;
  {
    std::lock_guard lock(mutex_);
    auto it = links_.find(link);
    if (it == links_.end()) return;
    const VmId vm = it->second.auth.peer();
    links_.erase(it);
    auto current = by_vm_.find(vm);
    if (current != by_vm_.end() && current->second == link) {
      by_vm_.erase(current);
      down = vm;
    }
  }
  if (down.empty()) return;
  if (auto listener = listener_.lock()) listener->OnPeerDown(down);
}

void PeerLinks::Disconnect(const VmId& vm) {
  LinkId link = 0;
  {
    std::lock_guard lock(mutex_);
    auto it = by_vm_.find(vm);
    if (it == by_vm_.end()) return;
    link = it->second;
    // Closing a connection to an unresponsive peer takes time, during which the
    // link must not be used.
    by_vm_.erase(it);
    links_.erase(link);
  }
  transport_->Close(link, "peer is silent");
  if (auto listener = listener_.lock()) listener->OnPeerDown(vm);
}

void PeerLinks::ScheduleDial() {
  timer_.expires_after(
      std::chrono::microseconds(options_.redial_period.microseconds()));
  timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    auto self = weak.lock();
    if (!self || error) return;
    self->DialMissing();
    self->transport_->CloseOverdue();
    self->ReportRefusals();
    std::lock_guard lock(self->mutex_);
    if (!self->stopped_) self->ScheduleDial();
  });
}

bool PeerLinks::AddressLinked(const std::string& address) const {
  for (const auto& [link, state] : links_) {
    if (state.address == address) return true;
  }
  for (const auto& [vm, known] : address_of_) {
    if (known == address && by_vm_.contains(vm)) return true;
  }
  return false;
}

void PeerLinks::DialMissing() {
  std::vector<std::string> missing;
  {
    std::lock_guard lock(mutex_);
    for (const std::string& address : targets_) {
      if (!AddressLinked(address)) missing.push_back(address);
    }
  }
  for (const std::string& text : missing) {
    auto address = SplitAddress(text);
    if (!address) continue;
    std::lock_guard lock(mutex_);
    if (stopped_) return;
    const LinkId link = transport_->Connect(address->first, address->second);
    auto [it, inserted] = links_.try_emplace(
        link,
        FrameAuthenticator(options_.key, options_.self, options_.incarnation));
    it->second.outgoing = true;
    it->second.address = text;
  }
}

void PeerLinks::ReportRefusals() {
  const TimePoint now = Now();
  if (now - refusals_reported_ < kReportPeriod) return;
  refusals_reported_ = now;
  const LinkRefusals refusals = transport_->TakeRefusals();
  const auto listener = listener_.lock();
  if (!listener) return;
  const std::pair<const char*, uint64_t> counts[] = {
      {"displaced", refusals.displaced},
      {"overdue", refusals.overdue},
      {"failed", refusals.failed}};
  for (const auto& [reason, count] : counts) {
    if (count > 0) listener->OnLinksRefused(reason, count);
  }
}

}  // namespace zr

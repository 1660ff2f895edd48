#include "zr_gateway/config_document.h"

#include <algorithm>

namespace zr {
namespace {

tl::unexpected<Error> Reject(const char* reason) {
  return Fail(ErrorCode::kInvalidArgument, "configuration", "", reason);
}

template <typename Part>
bool Holds(const ConfigItem::Ptr& item) {
  return std::holds_alternative<Part>(item->part());
}

}  // namespace

ConfigItem::ConfigItem(std::string text, ConfigPart part)
    : text_(std::move(text)), hash_(Hash64(text_)), part_(std::move(part)) {}

ConfigItem::Ptr ConfigItem::Create(std::string text, const Decoder& decode) {
  ConfigPart part = decode(text);
  return {new ConfigItem(std::move(text), std::move(part))};
}

ConfigDocument::ConfigDocument(std::vector<ConfigItem::Ptr> items)
    : items_(std::move(items)) {
  std::string hashes;
  hashes.reserve(items_.size() * sizeof(uint64_t));
  for (const ConfigItem::Ptr& item : items_) {
    for (size_t i = 0; i < sizeof(uint64_t); ++i) {
      hashes += static_cast<char>(item->hash() >> (8 * i));
    }
    if (const auto* number = std::get_if<ConfigNumber>(&item->part())) {
      version_ = number->value;
    }
  }
  if (!items_.empty()) digest_ = std::max<uint64_t>(1, Hash64(hashes));
}

Result<ConfigDocument::Ptr> ConfigDocument::FromItems(
    std::vector<ConfigItem::Ptr> items) {
  if (std::none_of(items.begin(), items.end(), &Holds<ConfigNumber>)) {
    return Reject("not an object with a version");
  }
  return Ptr(new ConfigDocument(std::move(items)));
}

Result<ConfigDocument::Ptr> ConfigDocument::Create(
    std::vector<std::string> texts, const ConfigItem::Decoder& decode,
    const ConfigDocument* known) {
  std::unordered_map<std::string_view, ConfigItem::Ptr> decoded;
  if (known != nullptr) {
    for (const auto& item : known->items_) decoded[item->text()] = item;
  }
  std::vector<ConfigItem::Ptr> items;
  items.reserve(texts.size());
  for (std::string& text : texts) {
    const auto it = decoded.find(text);
    items.push_back(it != decoded.end()
                        ? it->second
                        : ConfigItem::Create(std::move(text), decode));
  }
  return FromItems(std::move(items));
}

Result<ConfigDocument::Ptr> ConfigDocument::Apply(
    const ConfigDocument* base, const DocumentDelta& delta,
    const ConfigItem::Decoder& decode) {
  if (delta.base != (base == nullptr ? kEmptyDigest : base->digest())) {
    return Reject("delta has another base");
  }
  std::vector<ConfigItem::Ptr> items;
  for (const DocumentPiece& piece : delta.pieces) {
    const size_t size = base == nullptr ? 0 : base->items_.size();
    if (piece.first > size || piece.count > size - piece.first) {
      return Reject("delta copies what its base lacks");
    }
    if (piece.count > 0) {
      const auto begin =
          base->items_.begin() + static_cast<int64_t>(piece.first);
      items.insert(items.end(), begin,
                   begin + static_cast<int64_t>(piece.count));
    }
    for (const std::string& text : piece.inserted) {
      items.push_back(ConfigItem::Create(text, decode));
    }
  }
  auto document = FromItems(std::move(items));
  if (document && (*document)->digest() != delta.target) {
    return Reject("delta doesn't lead to the document that it names");
  }
  return document;
}

size_t ConfigDocument::bytes() const {
  size_t bytes = 0;
  for (const ConfigItem::Ptr& item : items_) bytes += item->text().size();
  return bytes;
}

GatewayConfigParts ConfigDocument::Parts() const {
  GatewayConfigParts parts;
  parts.version = version_;
  for (const ConfigItem::Ptr& item : items_) {
    const ConfigPart& part = item->part();
    if (const auto* route = std::get_if<Route>(&part)) {
      parts.routes.push_back(*route);
    } else if (const auto* service = std::get_if<ServicePolicy>(&part)) {
      parts.services.push_back(*service);
    } else if (const auto* team = std::get_if<TeamKeys>(&part)) {
      parts.teams.push_back(*team);
    } else if (const auto* limits = std::get_if<ClientLimits>(&part)) {
      parts.limits = *limits;
    } else if (Holds<KeysRequired>(item)) {
      parts.has_teams = true;
    }
  }
  return parts;
}

DocumentDelta MakeDelta(const ConfigDocument* base,
                        const ConfigDocument& target) {
  DocumentDelta delta;
  delta.target = target.digest();
  std::unordered_map<std::string_view, uint32_t> positions;
  if (base != nullptr) {
    delta.base = base->digest();
    for (const ConfigItem::Ptr& item : base->items()) {
      positions.emplace(item->text(), static_cast<uint32_t>(positions.size()));
    }
  }
  // Positions are those in the base only if no two items are equal.
  const bool unique =
      base == nullptr || positions.size() == base->items().size();
  for (const ConfigItem::Ptr& item : target.items()) {
    const auto it = unique ? positions.find(item->text()) : positions.end();
    if (it == positions.end()) {
      if (delta.pieces.empty()) delta.pieces.emplace_back();
      delta.pieces.back().inserted.push_back(item->text());
      continue;
    }
    const bool follows =
        !delta.pieces.empty() && delta.pieces.back().inserted.empty() &&
        delta.pieces.back().first + delta.pieces.back().count == it->second;
    if (!follows) delta.pieces.push_back({it->second, 0, {}});
    ++delta.pieces.back().count;
  }
  return delta;
}

size_t InsertedBytes(const DocumentDelta& delta) {
  size_t bytes = 0;
  for (const DocumentPiece& piece : delta.pieces) {
    for (const std::string& text : piece.inserted) bytes += text.size();
  }
  return bytes;
}

void ConfigHistory::Add(ConfigDocument::Ptr document) {
  deltas_.clear();
  newest_ = std::move(document);
  documents_.push_back(newest_);
  if (documents_.size() > kMaxDocuments) documents_.pop_front();
}

std::optional<DocumentDelta> ConfigHistory::DeltaFrom(uint64_t digest) const {
  if (!newest_) return std::nullopt;
  if (const auto it = deltas_.find(digest); it != deltas_.end()) {
    return it->second;
  }
  const ConfigDocument* base = nullptr;
  if (digest != ConfigDocument::kEmptyDigest) {
    const auto it = std::find_if(
        documents_.begin(), documents_.end(),
        [digest](const auto& known) { return known->digest() == digest; });
    if (it == documents_.end()) return std::nullopt;
    base = it->get();
  }
  return deltas_[digest] = MakeDelta(base, *newest_);
}

}  // namespace zr

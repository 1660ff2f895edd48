#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/gateway_config.h"
#include "zr_wire/messages.h"

namespace zr {

/** The number of a configuration; rises with each one. */
struct ConfigNumber {
  int64_t value = 0;
  friend auto operator<=>(const ConfigNumber&, const ConfigNumber&) = default;
};

/** Routes that are not anonymous require a key. */
struct KeysRequired {
  friend auto operator<=>(const KeysRequired&, const KeysRequired&) = default;
};

/** What one item of a configuration says; std::monostate for what is unknown
 * or can't be decoded. */
using ConfigPart =
    std::variant<std::monostate, ConfigNumber, Route, ServicePolicy, TeamKeys,
                 KeysRequired, ClientLimits>;

/** An encoded piece of a configuration and its meaning. Immutable, and shared
 * by all versions of the configuration that have it. */
class ConfigItem : public boost::intrusive_ref_counter<ConfigItem> {
 public:
  using Ptr = boost::intrusive_ptr<const ConfigItem>;
  /** Decodes the text of an item. */
  using Decoder = std::function<ConfigPart(const std::string& text)>;

  static Ptr Create(std::string text, const Decoder& decode);

  const std::string& text() const { return text_; }
  uint64_t hash() const { return hash_; }
  const ConfigPart& part() const { return part_; }

 private:
  ConfigItem(std::string text, ConfigPart part);

  std::string text_;
  uint64_t hash_;
  ConfigPart part_;
};

/**
 * A configuration as a sequence of items. VMs send each other the difference
 * between two documents, so that a change costs what it changes; the digest of
 * the result shows whether it is the sender's document.
 */
class ConfigDocument : public boost::intrusive_ref_counter<ConfigDocument> {
 public:
  using Ptr = boost::intrusive_ptr<const ConfigDocument>;

  /** Digest of a document without items, the base of a delta that holds a whole
   * document. */
  static constexpr uint64_t kEmptyDigest = 0;

  //============================================================================
  // Creation

  /**
   * @param texts  the encoded items, in order
   * @param known  a document whose decoded items are used again; may be null
   * @returns kInvalidArgument without a version
   */
  static Result<Ptr> Create(std::vector<std::string> texts,
                            const ConfigItem::Decoder& decode,
                            const ConfigDocument* known);
  /**
   * @param base  may be null for the empty document
   * @returns kInvalidArgument if the delta has another base, is malformed or
   *          doesn't lead to the document that it names
   */
  static Result<Ptr> Apply(const ConfigDocument* base,
                           const DocumentDelta& delta,
                           const ConfigItem::Decoder& decode);

  //============================================================================
  // Queries

  int64_t version() const { return version_; }
  uint64_t digest() const { return digest_; }
  const std::vector<ConfigItem::Ptr>& items() const { return items_; }
  /** Total size of the items. */
  size_t bytes() const;
  GatewayConfigParts Parts() const;

 private:
  explicit ConfigDocument(std::vector<ConfigItem::Ptr> items);
  static Result<Ptr> FromItems(std::vector<ConfigItem::Ptr> items);

  std::vector<ConfigItem::Ptr> items_;
  uint64_t digest_ = kEmptyDigest;
  int64_t version_ = 0;
};

/** The difference that leads from one document to another.
 * @param base  null for the empty document */
DocumentDelta MakeDelta(const ConfigDocument* base,
                        const ConfigDocument& target);

/** Size of the items that a delta inserts. */
size_t InsertedBytes(const DocumentDelta& delta);

/** Documents that VMs may still have, for deltas to the newest one. */
class ConfigHistory {
 public:
  /** Sets the newest document. */
  void Add(ConfigDocument::Ptr document);
  /** Null before the first document. */
  const ConfigDocument::Ptr& newest() const { return newest_; }
  uint64_t digest() const {
    return newest_ ? newest_->digest() : ConfigDocument::kEmptyDigest;
  }
  /** The delta from a document to the newest one; std::nullopt if that document
   * is not known. */
  std::optional<DocumentDelta> DeltaFrom(uint64_t digest) const;

 private:
  // Versions that come in quick succession while a VM is cut off.
  static constexpr size_t kMaxDocuments = 16;

  ConfigDocument::Ptr newest_;
  std::deque<ConfigDocument::Ptr> documents_;  // oldest first
  // Most VMs have the same document and ask within the same query period.
  mutable std::unordered_map<uint64_t, DocumentDelta> deltas_;
};

}  // namespace zr

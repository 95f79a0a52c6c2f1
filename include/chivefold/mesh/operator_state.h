/**
 * @file
 * The operator's orders, as read from the platform's store.
 */
#ifndef CHIVEFOLD_MESH_OPERATOR_STATE_H
#define CHIVEFOLD_MESH_OPERATOR_STATE_H

#include "chivefold/core/error.h"
#include "chivefold/mesh/mesh_configuration.h"
#include "chivefold/mesh/store_history.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivefold {

/** Record of a stream in which the newest record of a key replaces the older
 * ones. */
struct KeyedRecord {
  std::string Key;
  /** Absent if the key was deleted. */
  std::optional<std::string> Value;
  /** Offset in the stream, from 0. */
  std::uint64_t Offset = 0;
  /** Era of the history in which the record was read. */
  std::uint64_t Era = 0;
};

/** Order to move the traffic of a service to servers of a new version. */
struct RolloutOrder {
  std::string Service;
  std::string TargetVersion;
  Duration TimeAllowed{};
  /** Offset of the order's record, which identifies the order together with the
   * era. An order that was lost and is written again keeps its first place. */
  std::uint64_t Offset = 0;
  std::uint64_t Era = 0;
  /** Hash of the order's content. */
  std::uint64_t Digest = 0;

  StorePosition position() const { return {Era, Offset}; }
};

/** Order to send no requests to the servers of a data centre until the order is
 * deleted. */
struct EvacuationOrder {
  std::string DataCentre;
};

/** A decoded operator record; std::monostate if the key is of no known kind. */
using OperatorOrder = std::variant<std::monostate, MeshConfiguration,
                                   RolloutOrder, EvacuationOrder>;

/** Decodes operator records. Implementations must be thread-safe. */
class OperatorCodec {
public:
  virtual ~OperatorCodec() = default;
  /** @return the order, or InvalidRecord if the value cannot be decoded. */
  virtual Result<OperatorOrder> decode(std::string_view key,
                                       std::string_view value) const = 0;
  /** @return an order of the kind and name that the key denotes, without the
   * fields of its value; used for deleted keys. */
  virtual OperatorOrder decodeKey(std::string_view key) const = 0;
};

/** Effect of applied records on the operator state. */
struct OperatorChange {
  bool Configuration = false;
  bool Rollouts = false;
  bool Evacuations = false;
  /** Reason for which a record was ignored; Code is Ok if none was. */
  Reason Ignored;

  bool any() const { return Configuration || Rollouts || Evacuations; }
};

/**
 * The newest orders by key. A record is applied only if its place in the
 * store's history is higher than that of the stored record of its key, and a
 * configuration only if its version is higher, so that a delayed or repeated
 * read, or an older copy of the store, never restores older content. Records
 * that the store has lost stay in force until they are written again. Raw
 * records are kept for daemons that cannot read the store. Not thread-safe.
 */
class OperatorState {
public:
  /** Maximum number of keys; records of further keys are ignored. */
  static constexpr std::size_t MaxKeys = 4096;

  explicit OperatorState(const OperatorCodec &codec);

  /** Applies one record if it is newer than the stored one of its key. */
  OperatorChange apply(const KeyedRecord &record);

  /**
   * Applies a complete listing of the newest records up to @p end. Stored keys
   * that are not listed count as deleted if their record is part of the listed
   * history and before @p end. A listing of an earlier era has no effect.
   */
  OperatorChange applyListing(std::vector<KeyedRecord> listing,
                              const StorePosition &end);
  OperatorChange applyListing(std::vector<KeyedRecord> listing,
                              std::uint64_t end) {
    return applyListing(std::move(listing), StorePosition{0, end});
  }

  /** Records that the stream was read up to @p end. A lower value than before
   * has no effect. */
  void advance(const StorePosition &end);
  /** @return the place up to which the stream was read. */
  const StorePosition &end() const { return End; }

  const StoreHistory &history() const { return History; }
  /** Takes another host's bounds of an era's first offset. */
  void narrowStart(std::uint64_t era, const EraStart &bounds);

  /** @return the keys whose record is in force and lost by the store. */
  std::vector<std::string> lostKeys() const;
  /** @return a hash of the records that are not deleted; equal on daemons with
   * the same orders. */
  std::uint64_t digest() const { return Digest; }
  /** @return how many lost records were written again. */
  std::uint64_t rewritten() const { return Rewritten; }

  /** @return the configuration in force, or null before the first. */
  const std::shared_ptr<const RouteTable> &routes() const { return Routes; }
  const std::map<std::string, RolloutOrder, std::less<>> &rollouts() const {
    return Rollouts;
  }
  bool isEvacuated(std::string_view dataCentre) const;
  const std::set<std::string, std::less<>> &evacuated() const {
    return Evacuated;
  }

  /** @return the newest records, including deleted keys, that a host lacks
   * that has read up to @p after. */
  std::vector<KeyedRecord> recordsAfter(const StorePosition &after) const;

private:
  StorePosition placeOf(const KeyedRecord &record) const;
  void store(const KeyedRecord &record);
  bool isLost(const KeyedRecord &record) const;
  void takeRewritten(KeyedRecord &known, const StorePosition &place);
  OperatorChange applyValue(const KeyedRecord &record, bool isNewer);
  OperatorChange applyConfiguration(const KeyedRecord &record,
                                    MeshConfiguration configuration);
  OperatorChange applyDeletion(const KeyedRecord &record);
  OperatorChange deleteUnlisted(const std::vector<KeyedRecord> &listing,
                                const StorePosition &end);

  const OperatorCodec &Codec;
  std::map<std::string, KeyedRecord, std::less<>> Records;
  StorePosition End;
  StoreHistory History;
  std::uint64_t Rewritten = 0;
  std::uint64_t Digest = 0;
  std::shared_ptr<const RouteTable> Routes;
  /** Key of the configuration in force. */
  std::string ConfigurationKey;
  std::map<std::string, RolloutOrder, std::less<>> Rollouts;
  std::set<std::string, std::less<>> Evacuated;
};

} // namespace chivefold

#endif

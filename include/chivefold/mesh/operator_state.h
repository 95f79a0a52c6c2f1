/**
 * @file
 * The operator's orders, as read from the platform's store.
 */
#ifndef CHIVEFOLD_MESH_OPERATOR_STATE_H
#define CHIVEFOLD_MESH_OPERATOR_STATE_H

#include "chivefold/core/error.h"
#include "chivefold/mesh/mesh_configuration.h"

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
};

/** Order to move the traffic of a service to servers of a new version. */
struct RolloutOrder {
  std::string Service;
  std::string TargetVersion;
  Duration TimeAllowed{};
  /** Offset of the order's record, which identifies the order. */
  std::uint64_t Offset = 0;
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
 * The newest orders by key. A record is applied only if its offset is higher
 * than that of the stored record of its key, and a configuration only if its
 * version is higher, so that a delayed or repeated read never restores older
 * content. Raw records are kept for daemons that cannot read the store. Not
 * thread-safe.
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
   * that are not listed and whose record is before @p end count as deleted.
   */
  OperatorChange applyListing(const std::vector<KeyedRecord> &listing,
                              std::uint64_t end);

  /** Records that the stream was read up to @p end. A lower value than before
   * has no effect. */
  void advance(std::uint64_t end);
  /** @return the offset up to which the stream was read. */
  std::uint64_t end() const { return End; }

  /** @return the configuration in force, or null before the first. */
  const std::shared_ptr<const RouteTable> &routes() const { return Routes; }
  const std::map<std::string, RolloutOrder, std::less<>> &rollouts() const {
    return Rollouts;
  }
  bool isEvacuated(std::string_view dataCentre) const;
  const std::set<std::string, std::less<>> &evacuated() const {
    return Evacuated;
  }

  /** @return the newest record of each key, including deleted keys. */
  std::vector<KeyedRecord> records() const;

private:
  OperatorChange applyValue(const KeyedRecord &record);
  OperatorChange applyDeletion(const KeyedRecord &record);

  const OperatorCodec &Codec;
  std::map<std::string, KeyedRecord, std::less<>> Records;
  std::uint64_t End = 0;
  std::shared_ptr<const RouteTable> Routes;
  std::map<std::string, RolloutOrder, std::less<>> Rollouts;
  std::set<std::string, std::less<>> Evacuated;
};

} // namespace chivefold

#endif

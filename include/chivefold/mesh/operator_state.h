/**
 * @file
 * What the operator ordered, as read from the platform's store.
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

/** Newest record of a key in a stream of keyed records. */
struct KeyedRecord {
  std::string Key;
  /** Absent if the key was dropped. */
  std::optional<std::string> Value;
  /** Place in the stream, from 0. */
  std::uint64_t Offset = 0;
};

/** An order to move a service's traffic to servers of a new version. */
struct RolloutOrder {
  std::string Service;
  std::string TargetVersion;
  Duration TimeAllowed{};
  /** Identifies the order: the place of its record. */
  std::uint64_t Offset = 0;
};

/** An order that a data centre's servers get nothing until it is dropped. */
struct EvacuationOrder {
  std::string DataCentre;
};

/** One decoded record of the operator; empty for a key of another kind. */
using OperatorOrder = std::variant<std::monostate, MeshConfiguration,
                                   RolloutOrder, EvacuationOrder>;

/** Decodes the operator's records. Implementations are thread-safe. */
class OperatorCodec {
public:
  virtual ~OperatorCodec() = default;
  /** @return the order, or InvalidRecord. */
  virtual Result<OperatorOrder> decode(std::string_view key,
                                       std::string_view value) const = 0;
  /** @return what a dropped key stood for, without its content. */
  virtual OperatorOrder decodeKey(std::string_view key) const = 0;
};

/** What a record changed. */
struct OperatorChange {
  bool Configuration = false;
  bool Rollouts = false;
  bool Evacuations = false;
  /** Why the record was ignored; Code is Ok if it was not. */
  Reason Ignored;

  bool any() const { return Configuration || Rollouts || Evacuations; }
};

/**
 * The newest orders by key. A record counts only if it lies behind the one that
 * its key has, and a configuration only if its version is higher, so that a
 * delayed or repeated read never brings back older content. Raw records are
 * kept for daemons that cannot read the store. Not thread-safe.
 */
class OperatorState {
public:
  /** Keys kept; further ones are ignored with a reason. */
  static constexpr std::size_t MaxKeys = 4096;

  explicit OperatorState(const OperatorCodec &codec);

  OperatorChange apply(const KeyedRecord &record);

  /**
   * Takes a complete listing of the newest records: keys that are not in it
   * and whose record lies before @p end were dropped.
   */
  OperatorChange applyListing(const std::vector<KeyedRecord> &listing,
                              std::uint64_t end);

  /** The stream was read up to this place. Never goes back. */
  void advance(std::uint64_t end);
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

  /** @return the newest record of each key, dropped keys included. */
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

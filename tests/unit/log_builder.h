/**
 * @file
 * Builds logs of encoded records for tests.
 */
#ifndef CHIVEFOLD_TESTS_UNIT_LOG_BUILDER_H
#define CHIVEFOLD_TESTS_UNIT_LOG_BUILDER_H

#include "chivefold/core/record.h"

#include <cstring>
#include <string>
#include <utility>
#include <vector>

namespace chivefold {

/** An in-memory log; offsets start at 1. */
class LogBuilder {
public:
  /** Appends a record with a fresh id. @return its entry. */
  LogEntry append(RecordBody body, const std::string &writer = "op") {
    LastId = freshId();
    return append(Record{LastId, writer, std::move(body)});
  }

  LogEntry append(const Record &record) {
    return appendBytes(encodeRecord(record));
  }

  LogEntry appendBytes(std::string bytes) {
    Entries.push_back({LogOffset{Entries.size() + 1}, std::move(bytes)});
    return Entries.back();
  }

  RecordId freshId() {
    RecordId id;
    ++Ids;
    std::memcpy(id.Bytes.data(), &Ids, sizeof Ids);
    return id;
  }

  std::vector<LogEntry> Entries;
  RecordId LastId;

private:
  std::uint64_t Ids = 0;
};

inline Section fleetSection(std::vector<std::string> takenOut = {}) {
  Section s;
  s.FleetSettings = Fleet{{"east", "west"}, std::move(takenOut)};
  return s;
}

/** @return a service with versions v1 and v2, of which v1 is current. */
inline Service makeService(const std::string &name) {
  Service s;
  s.Name = name;
  s.Versions = {"v1", "v2"};
  s.CurrentVersion = "v1";
  return s;
}

inline Section serviceSection(Service service) {
  Section s;
  s.ChangedService = std::move(service);
  return s;
}

/** @return makeService(name) with a requested move to v2. */
inline Service movingService(const std::string &name, int deadlineMs = 1000) {
  auto s = makeService(name);
  s.Move = MoveRequest{"v2", UtcTime(std::chrono::milliseconds(deadlineMs))};
  return s;
}

inline DaemonId daemonId(std::uint16_t port, std::uint64_t boot = 1) {
  return {{"127.0.0.1", port}, boot};
}

} // namespace chivefold

#endif

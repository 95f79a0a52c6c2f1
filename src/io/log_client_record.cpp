// Apart from the rest of the log client, which does not need the records'
// encoding.
#include "chivefold/io/log_client.h"

namespace chivefold {

void LogClient::appendConfirmed(const Record &record, LogOffset knownTail,
                                TimePoint deadline, AppendCallback done) {
  appendConfirmed(
      encodeRecord(record),
      [id = record.Id](std::string_view bytes) {
        const auto other = decodeRecord(bytes);
        return other && other->Id == id;
      },
      knownTail, deadline, std::move(done));
}

} // namespace chivefold

/**
 * @file
 * Feeds mutated configuration texts and records to their decoders. A fixed
 * number of cases; the seed comes from RC_PARAMS.
 */
#include "chivefold/core/configuration_text.h"
#include "chivefold/core/record.h"

#include <rapidcheck.h>

using namespace chivefold;

namespace {

const std::string Text = R"([fleet]
data_centres = ["kathmandu", "lalitpur"]
taken_out = ["lalitpur"]
[service.intake]
depends_on = ["workshop"]
versions = ["v1", "v2"]
current = "v1"
slots = 10
cold_slots = 1
[[service.intake.route]]
method = "POST"
path = "/slots"
kind = "booking"
worth = 5
timeout_ms = 1500
[service.intake.move]
to = "v2"
deadline = 2026-12-04T17:00:00+05:45
[service.workshop]
versions = ["v1"]
current = "v1"
)";

/** Pieces of the syntax, which reach deeper than random bytes do. */
const std::vector<std::string> Pieces = {"[",
                                         "]",
                                         "[[",
                                         "]]",
                                         "{",
                                         "}",
                                         "\"",
                                         "'",
                                         "'''",
                                         "\n",
                                         "\r",
                                         "=",
                                         ",",
                                         ".",
                                         "\\",
                                         "\\u0000",
                                         "#",
                                         "\xff",
                                         "\xc3\xa9",
                                         "-1",
                                         "0x",
                                         "1e9",
                                         "nan",
                                         "true",
                                         "1979-01-01",
                                         "07:32:00",
                                         "+05:45",
                                         "service",
                                         "a.b.c",
                                         "\t",
                                         std::string(1, '\0'),
                                         std::string(300, '['),
                                         std::string(70000, 'a'),
                                         "[service.intake]",
                                         "[fleet]",
                                         "9999999999999999999"};

std::size_t below(std::size_t n) {
  return *rc::gen::inRange<std::size_t>(0, n);
}

std::string mutate(std::string s) {
  for (auto n = 1 + below(6); n > 0 && !s.empty(); --n) {
    const auto at = below(s.size());
    switch (below(5)) {
    case 0:
      s[at] = *rc::gen::arbitrary<char>();
      break;
    case 1:
      s.erase(at, 1 + below(30));
      break;
    case 2:
      s.insert(at, Pieces[below(Pieces.size())]);
      break;
    case 3:
      s.insert(at, s.substr(below(s.size()), below(200)));
      break;
    default:
      s.resize(at);
    }
  }
  return s;
}

void checkText(const std::string &text) {
  const auto config = compileConfiguration(text);
  if (!config) {
    RC_ASSERT(config.reason().Line > 0);
    RC_ASSERT(config.reason().Column > 0);
    RC_ASSERT(!config.reason().Message.empty());
    RC_ASSERT(config.reason().Message.find('\n') == std::string::npos);
    return;
  }
  // What compiles must survive the log.
  const auto sections = difference({}, *config);
  const auto back =
      decodeRecord(encodeRecord({{}, "fuzz", ChangeRecord{{}, sections}}));
  RC_ASSERT(back.hasValue());
  Configuration copy;
  applySections(copy, std::get<ChangeRecord>(back->Body).Sections);
  RC_ASSERT(copy.Services == config->Services);
  RC_ASSERT(copy.FleetSettings == config->FleetSettings);
}

void checkRecord(const std::string &bytes) {
  const auto record = decodeRecord(bytes);
  if (!record) {
    RC_ASSERT(record.reason().Code == ErrorCode::InvalidRecord);
    return;
  }
  const auto again = encodeRecord(*record);
  RC_ASSERT(decodeRecord(again).hasValue() || again.size() > MaxRecordBytes);
}

/** Inputs per RapidCheck case; each check runs 100 cases. */
constexpr int InputsPerCase = 50;

} // namespace

int main() {
  const auto config = compileConfiguration(Text);
  if (!config) {
    return 1;
  }
  const auto bytes = encodeRecord(
      {{}, "fuzz", ChangeRecord{Version{7}, difference({}, *config)}});
  const auto each = [](const std::string &seed,
                       void (*check)(const std::string &)) {
    for (int n = 0; n < InputsPerCase; ++n) {
      check(mutate(seed));
    }
  };
  const bool texts = rc::check("mutated texts compile or give a place",
                               [&] { each(Text, checkText); });
  const bool records = rc::check("mutated records decode or give a reason",
                                 [&] { each(bytes, checkRecord); });
  return texts && records ? 0 : 1;
}

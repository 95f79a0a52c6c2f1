#include "backend_fixture.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace chivefold;

namespace {

/** How a server ends the connection of an answer. */
enum class Ending {
  /** After it has read the whole request. */
  Close,
  /** Without the rest of the request, which resets the connection. */
  CloseUnread,
  Reset,
  /** The server reads on, so that the request can be written in full. */
  HalfClose
};

const std::vector<std::pair<Ending, const char *>> Endings{
    {Ending::Close, "close"},
    {Ending::CloseUnread, "close with unread bytes"},
    {Ending::Reset, "reset"},
    {Ending::HalfClose, "half close"}};

/** The part of an answer that a server sends. */
struct Cut {
  const char *Name;
  std::string Bytes;
  /** Such an answer is complete if its connection ends in order. */
  bool EndsWithConnection = false;
};

const std::string Head = "HTTP/1.1 200 OK\r\nChivefold-Request-Id: q\r\n"
                         "Chivefold-Server-Signature: s\r\n";

const std::vector<Cut> Cuts{
    {"nothing", ""},
    {"in the status line", "HTTP/1.1 20"},
    {"after the status line", "HTTP/1.1 200 OK\r\n"},
    {"in a header", Head + "Content-Le"},
    {"in the value of the length", Head + "Content-Length: 1"},
    {"before the empty line", Head},
    {"before the empty line, with a length", Head + "Content-Length: 4\r\n"},
    {"in the empty line", Head + "Content-Length: 0\r\n\r"},
    {"after the head, with a length", Head + "Content-Length: 4\r\n\r\n"},
    {"in a body with a length", Head + "Content-Length: 9\r\n\r\npart"},
    {"after the head, in chunks", Head + "Transfer-Encoding: chunked\r\n\r\n"},
    {"in the size of a chunk",
     Head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n1"},
    {"in a chunk", Head + "Transfer-Encoding: chunked\r\n\r\n9\r\npart"},
    {"before the last chunk",
     Head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
    {"in the last chunk",
     Head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n"},
    {"after the head, without a length", Head + "\r\n", true},
    {"in a body without a length", Head + "\r\npart", true},
    {"in a body without a length, HTTP/1.0",
     "HTTP/1.0" + Head.substr(8) + "\r\npart", true}};

/** Larger than the buffers of the sockets on both ends. */
constexpr std::size_t LongBytes = 16U << 20U;

struct CutAnswer : BackendFixture {
  CutAnswer() {
    configure();
    REQUIRE(Backend.report(report("i", 1, 1)));
  }

  CallMessage bodyCall(std::size_t bytes, bool repeatable) const {
    auto out = call();
    out.Body = std::string(bytes, 'x') + "work";
    out.Repeatable = repeatable;
    return out;
  }

  CallResult finish(CallMessage message) {
    std::optional<CallResult> result;
    Backend.run(std::move(message),
                [&](CallResult r) { result = std::move(r); });
    REQUIRE(runUntil(Loop, [&] { return result.has_value(); }));
    return std::move(*result);
  }
};

void endConnection(RawSocket &s, Ending ending, bool wasRead) {
  switch (ending) {
  case Ending::Close:
    if (!wasRead) {
      s.readUntil("work");
    }
    return s.reset();
  case Ending::CloseUnread:
    return s.reset();
  case Ending::Reset:
    return s.abort();
  case Ending::HalfClose:
    s.endOutput();
    s.readAll();
  }
}

} // namespace

// Guards against an answer that was cut off and looks complete, and against
// "not run" for its request: an end that followed a failed write of the request
// counted as orderly (review/2).
TEST_CASE("a cut-off answer is never complete", "[cut_answer]") {
  for (const auto &[ending, endingName] : Endings) {
    for (const auto &cut : Cuts) {
      for (const std::size_t bytes : {std::size_t{0}, LongBytes}) {
        for (const bool isKept : {false, true}) {
          INFO(endingName << ", " << cut.Name << ", " << bytes
                          << " bytes of request"
                          << (isKept ? ", kept connection" : ""));
          CutAnswer f;
          std::thread server([&, ending = ending] {
            auto s = f.Listener.accepted();
            if (isKept) {
              s.readUntil("work");
              s.write(Head + "Content-Length: 0\r\n\r\n");
            }
            const bool isLong = bytes > 0;
            s.readUntil(isLong ? "\r\n\r\n" : "work");
            s.write(cut.Bytes);
            endConnection(s, ending, !isLong);
          });
          if (isKept) {
            CHECK(f.finish(f.bodyCall(0, true)).Result == Outcome::Answered);
          }
          const auto result = f.finish(f.bodyCall(bytes, isKept));
          server.join();
          // With nothing left to read, a close is an orderly end.
          const bool isOrderly = ending == Ending::Close ||
                                 ending == Ending::HalfClose ||
                                 (ending == Ending::CloseUnread && bytes == 0);
          const bool isWhole = cut.EndsWithConnection && isOrderly;
          CHECK(result.Result ==
                (isWhole ? Outcome::Answered : Outcome::Unknown));
        }
      }
    }
  }
}

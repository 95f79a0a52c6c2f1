/**
 * @file
 * Takes HTTP requests out of the bytes of one connection. Internal to io.
 */
#ifndef CHIVEFOLD_IO_REQUEST_READER_H
#define CHIVEFOLD_IO_REQUEST_READER_H

#include "chivefold/io/edge_limits.h"
#include "chivefold/io/http_server.h"

#include "piece_body.h"

#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>
#include <string>

namespace chivefold {

/** What a reader found in its input. */
enum class ReadStep {
  /** The request goes on in bytes that were not received yet. */
  More,
  /** The head and the first part of a body that is handed over as it arrives:
   * takeHead() has them, takeBody() the parts that follow. */
  Begun,
  /** The request, or the body that was begun, is whole. */
  Complete,
  /** See RequestReader::refusal(). */
  Refused,
};

/** A request that is not handled, by the status of its answer. */
struct ReadRefusal {
  int Status = 0;
  EdgeRefusal Reason = EdgeRefusal::Malformed;
};

/** A complete request and what the connection needs to answer it. */
struct ReadRequest {
  HttpRequest Request;
  bool Head = false;
  bool KeepAlive = true;
  /** Bytes of the body that follow a request that has begun, if known. */
  std::optional<std::uint64_t> Left;
};

/**
 * Parses requests one after the other. Headers, trailers and chunk extensions
 * of a request together count against MaxHeaderBytes. Used on one thread.
 */
class RequestReader {
public:
  /** Framing of a chunk that waits for its end: size and line breaks. */
  static constexpr std::size_t FramingBytes = 64;

  /** @param maxHeldBody a longer body is refused by its stated length, unless
   * bodies are handed over as they arrive. */
  RequestReader(const HttpServerLimits &limits, std::size_t maxHeldBody)
      : Limits(limits), MaxHeldBody(maxHeldBody) {}
  RequestReader(const RequestReader &) = delete;
  RequestReader &operator=(const RequestReader &) = delete;

  void append(const char *data, std::size_t n) { Input.append(data, n); }
  /** Parses up to the end of one request. */
  ReadStep advance();
  /** Frees input that was parsed; to be called after a series of advance(). */
  void compact();
  /** Drops the input and the request that is being read. */
  void clear();

  /** @return the request. Precondition: advance() returned Complete, and the
   * request was not begun before. */
  ReadRequest take();
  /** @return the request with the part of its body that was parsed.
   * Precondition: advance() returned Begun. */
  ReadRequest takeHead();
  /** @return what was parsed of the body since the last call. Precondition: a
   * request has begun. */
  std::string takeBody();
  /** Ends the request that was begun. Precondition: advance() returned
   * Complete.
   */
  void endBody();
  /** Precondition: advance() returned Refused. */
  const ReadRefusal &refusal() const { return Refused; }

  bool hasInput() const { return At < Input.size(); }
  bool isReading() const { return Current.has_value() || hasInput(); }
  bool inHeader() const {
    return isReading() && !(Current && Current->is_header_done());
  }
  /** @return whether a body is awaited whose client first asks for leave. */
  bool expectsContinue() const;
  /** @return the bytes held for the input and the request that is being read,
   * with the copies that its body will need. */
  std::size_t heldBytes() const;

private:
  using Parser = boost::beast::http::request_parser<PieceBody>;

  void begin();
  ReadStep refuse(int status, EdgeRefusal reason);
  ReadStep checkHeader();
  ReadStep checkComplete();

  const HttpServerLimits &Limits;
  std::size_t MaxHeldBody;
  std::string Input;
  /** Bytes of Input that were parsed. */
  std::size_t At = 0;
  std::optional<Parser> Current;
  std::function<void(std::uint64_t, boost::beast::string_view,
                     boost::system::error_code &)>
      OnChunk;
  /** Bytes of headers and chunk extensions of the current request. */
  std::size_t MetaBytes = 0;
  bool HeaderChecked = false;
  /** The current request was handed over before the end of its body. */
  bool HasBegun = false;
  ReadRefusal Refused;
};

} // namespace chivefold

#endif

#include "request_reader.h"

#include "http_io.h"

#include <boost/beast/http/error.hpp>
#include <utility>

namespace chivefold {

namespace http = boost::beast::http;

namespace {

/** Larger buffers are freed when they are empty. */
constexpr std::size_t KeptBytes = 4U << 10U;
/** ": " and the line break of a header field. */
constexpr std::size_t FieldFraming = 4;

ReadRefusal refusalOf(const boost::system::error_code &ec) {
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    return {431, EdgeRefusal::Header};
  }
  if (ec == http::error::body_limit) {
    return {413, EdgeRefusal::Body};
  }
  return {400, EdgeRefusal::Malformed};
}

template <class Message> std::size_t fieldBytes(const Message &message) {
  std::size_t out = 0;
  for (const auto &it : message) {
    out += it.name_string().size() + it.value().size() + FieldFraming;
  }
  return out;
}

} // namespace

void RequestReader::begin() {
  Current.emplace();
  Current->header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
  Current->body_limit(Limits.MaxBodyBytes);
  MetaBytes = 0;
  HeaderChecked = false;
  HasBegun = false;
  OnChunk = [this](std::uint64_t /*size*/, boost::beast::string_view extension,
                   boost::system::error_code &ec) {
    MetaBytes += extension.size();
    if (MetaBytes > Limits.MaxHeaderBytes) {
      ec = http::error::header_limit;
    }
  };
  Current->on_chunk_header(OnChunk);
}

ReadStep RequestReader::refuse(int status, EdgeRefusal reason) {
  Refused = {status, reason};
  return ReadStep::Refused;
}

ReadStep RequestReader::advance() {
  if (!Current) {
    begin();
  }
  for (;;) {
    // Headers are parsed alone: an eager parser loses the error of a body that
    // is over its limit.
    Current->eager(Current->is_header_done());
    const bool wasHeader = !Current->is_header_done();
    boost::system::error_code ec;
    const auto n = Current->put(
        boost::asio::const_buffer(Input.data() + At, Input.size() - At), ec);
    At += n;
    MetaBytes += wasHeader ? n : 0;
    const bool needsMore = ec == http::error::need_more;
    if (ec && !needsMore) {
      const auto found = refusalOf(ec);
      return refuse(found.Status, found.Reason);
    }
    const auto left = Input.size() - At;
    if (!Current->is_header_done()) {
      return left > Limits.MaxHeaderBytes ? refuse(431, EdgeRefusal::Header)
                                          : ReadStep::More;
    }
    if (!std::exchange(HeaderChecked, true) &&
        checkHeader() == ReadStep::Refused) {
      return ReadStep::Refused;
    }
    if (Current->is_done()) {
      return checkComplete();
    }
    if (Limits.StreamsBodies && !HasBegun &&
        Current->get().body().size() >= BodyStream::HeldBytes) {
      HasBegun = true;
      return ReadStep::Begun;
    }
    // What the parser leaves behind a header are trailers or the extension of a
    // chunk, which it takes as a whole.
    if (MetaBytes + left > Limits.MaxHeaderBytes + FramingBytes && needsMore) {
      return refuse(431, EdgeRefusal::Header);
    }
    if (n == 0 || left == 0) {
      return ReadStep::More;
    }
  }
}

ReadStep RequestReader::checkHeader() {
  const auto &head = Current->get();
  // A body whose end is not known to both sides could hide another request.
  if (head.count(http::field::transfer_encoding) > 0 && !Current->chunked()) {
    return refuse(400, EdgeRefusal::Malformed);
  }
  const auto length = Current->content_length();
  if (length && *length > MaxHeldBody && !Limits.StreamsBodies) {
    return refuse(413, EdgeRefusal::Body);
  }
  return ReadStep::More;
}

// Trailers that came together with the end of the body were not seen waiting.
ReadStep RequestReader::checkComplete() {
  const bool isOver =
      Current->chunked() && fieldBytes(Current->get()) > Limits.MaxHeaderBytes;
  return isOver ? refuse(431, EdgeRefusal::Header) : ReadStep::Complete;
}

// Freed by a swap: an assignment of an empty text keeps the buffer.
void RequestReader::compact() {
  Input.erase(0, std::exchange(At, 0));
  if (Input.empty() && Input.capacity() > KeptBytes) {
    std::string().swap(Input);
  }
}

void RequestReader::clear() {
  Current.reset();
  std::string().swap(Input);
  At = 0;
}

ReadRequest RequestReader::take() {
  auto out = takeHead();
  Current.reset();
  return out;
}

ReadRequest RequestReader::takeHead() {
  auto &message = Current->get();
  ReadRequest out;
  if (const auto left = Current->content_length_remaining()) {
    out.Left = *left;
  }
  out.Head = message.method() == http::verb::head;
  out.KeepAlive = message.keep_alive();
  auto &request = out.Request;
  request.Method = std::string(message.method_string());
  const std::string target(message.target());
  const auto n = target.find('?');
  request.Path = target.substr(0, n);
  request.Query = n == std::string::npos ? "" : target.substr(n + 1);
  request.Headers = headersOf(message);
  request.Body = takeBody();
  return out;
}

std::string RequestReader::takeBody() {
  std::string out;
  out.swap(Current->get().body());
  return out;
}

void RequestReader::endBody() { Current.reset(); }

bool RequestReader::expectsContinue() const {
  return Current && Current->is_header_done() && !Current->is_done() &&
         Current->get().count(http::field::expect) > 0;
}

std::size_t RequestReader::heldBytes() const {
  const auto body = Current ? Current->get().body().size() : 0;
  return Input.capacity() + MetaBytes + EdgeLimits::BodyCopies * body;
}

} // namespace chivefold

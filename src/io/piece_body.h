/**
 * @file
 * A message body for Beast's parser. Internal to io.
 */
#ifndef CHIVEFOLD_IO_PIECE_BODY_H
#define CHIVEFOLD_IO_PIECE_BODY_H

#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace chivefold {

/**
 * Parsed bytes that may be taken out before the body is whole. Unlike Beast's
 * string_body it reserves nothing for a length that is only stated.
 */
struct PieceBody {
  using value_type = std::string;

  class Reader {
  public:
    template <bool IsRequest, class Fields>
    Reader(boost::beast::http::header<IsRequest, Fields> & /*head*/,
           std::string &to)
        : To(to) {}

    void init(const boost::optional<std::uint64_t> & /*length*/,
              boost::system::error_code &ec) {
      ec = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers &buffers, boost::system::error_code &ec) {
      ec = {};
      std::size_t n = 0;
      for (const auto it : boost::beast::buffers_range_ref(buffers)) {
        To.append(static_cast<const char *>(it.data()), it.size());
        n += it.size();
      }
      return n;
    }

    void finish(boost::system::error_code &ec) { ec = {}; }

  private:
    std::string &To;
  };
  using reader = Reader;
};

} // namespace chivefold

#endif

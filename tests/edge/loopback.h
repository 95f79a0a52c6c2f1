/**
 * @file
 * Blocking TCP and HTTP on loopback addresses for stand-ins.
 */
#ifndef CHIVEFOLD_TESTS_EDGE_LOOPBACK_H
#define CHIVEFOLD_TESTS_EDGE_LOOPBACK_H

#include <cstddef>
#include <functional>
#include <string>

namespace edge {

/** One HTTP message; Start is its first line. */
struct HttpMessage {
  std::string Start;
  /** Header lines, each ended by CRLF. */
  std::string Headers;
  std::string Body;

  std::string header(const std::string &name) const;
  std::string target() const;
  int status() const;
};

/** The bodies of these tests repeat this text, so that a byte that is lost,
 * doubled or misplaced shows. */
extern const std::string BodyText;

/** @return @p bytes of a body from its place @p at on. */
std::string bodyPart(std::size_t at, std::size_t bytes);

/** @return a connected socket, or -1. @param address "ip:port". */
int connectTo(const std::string &address);

/** @return a loopback address that is free and not given out again by this
 * process. Not thread-safe. */
std::string freeAddress();

/** @return a listening socket; ends the test with code 2 without one. */
int listenOn(const std::string &address);

bool sendAll(int fd, const std::string &bytes);

/** @return the bytes of a message, with the length of its body. */
std::string encode(const HttpMessage &message);

/** Reads HTTP messages whose bodies have a length. */
class HttpReader {
public:
  explicit HttpReader(int fd) : Fd(fd) {}
  /** @param keepBody whether the body is stored; its length is checked in any
   * case. @return false if the connection ended before the message did. */
  bool read(HttpMessage &message, bool keepBody = true);

private:
  bool fill();

  int Fd;
  std::string Buffer;
};

/** Sends one request on a connection of its own. @return the status of a whole
 * answer, or 0. */
int exchange(const std::string &address, const std::string &request,
             HttpMessage &answer);

/** Runs @p handler for each connection, on a thread of its own, until the
 * process ends. The connection is closed afterwards. */
void serveConnections(const std::string &address,
                      std::function<void(int fd)> handler);

/** Answers the requests of each connection until the process ends. */
void serve(const std::string &address, bool keepBodies,
           std::function<HttpMessage(const HttpMessage &)> handler);

/** @return the decoded value of a query parameter, or "". */
std::string queryValue(const std::string &target, const std::string &name);

} // namespace edge

#endif

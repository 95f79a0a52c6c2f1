// A server answers a long request before it has read it, without a length, and
// crashes in the middle of its answer.
#include "../standins/lab.h"

using namespace lab;

namespace {

constexpr std::size_t RequestBytes = 8U << 20U;
constexpr std::size_t AnswerBytes = 60000;
constexpr const char *Id = "i-1a2b3c4d01";

bool Trouble = true;

std::string answerBody(const std::string &id) {
  std::string out;
  while (out.size() < AnswerBytes) {
    out += id + " line " + std::to_string(out.size()) + "\n";
  }
  return out;
}

void serve(int fd) {
  Reader in(fd);
  in.ReadBytes = 4096;
  Message m;
  while (in.head(m)) {
    const auto id = m.header("Chivefold-Request-Id");
    const auto body = answerBody(id);
    Log.line("server: runs %s %s, request %s; its answer has %zu bytes",
             m.method().c_str(), m.target().c_str(), id.c_str(), body.size());
    sendAll(fd, okHead(id, std::nullopt));
    if (Trouble) {
      sendAll(fd, body.substr(0, body.size() / 2));
      sleepMs(200);
      // The end of the process closes the connection with unread bytes of the
      // request, which resets it.
      Log.line("server: crashes after %zu bytes of the answer to %s",
               body.size() / 2, id.c_str());
      break;
    }
    sendAll(fd, body);
    sleepMs(200);
    // Reads on, and ends the answer with the connection.
    in.ReadBytes = 1U << 20U;
    in.body(m);
    Log.line("server: read the whole request %s and closes", id.c_str());
    break;
  }
  close(fd);
}

struct Results {
  int Right = 0;
  int Wrong = 0;
};

void book(const Endpoint &outbound, const std::string &id, Results &results) {
  const int fd = connectTo(outbound);
  std::thread sender([&] {
    sendAll(fd, requestHead("POST", "/booking/2f", id, 5000, RequestBytes) +
                    std::string(RequestBytes, 'x'));
  });
  Log.line("client: sends POST /booking/2f with %zu bytes, request %s",
           RequestBytes, id.c_str());
  Reader in(fd);
  Message m;
  const bool whole = in.message(m);
  sender.join();
  close(fd);
  const bool isRight = whole && m.Body == answerBody(id);
  Log.line("client: request %s got %s, %zu bytes, %s", id.c_str(),
           whole ? m.Start.c_str() : "no whole answer", m.Body.size(),
           isRight ? "the server's body" : "not the server's body");
  if (whole && m.status() == 200) {
    ++(isRight ? results.Right : results.Wrong);
  }
}

} // namespace

int main(int argc, char **argv) {
  const Case c(argc, argv);
  Trouble = c.Trouble;
  Machine m1("m1", "127.0.0.11", "client-desk");
  Server server;
  server.start(m1.Upstream, serve, 65536);
  Deployment all{c, {}, {&m1}};
  all.start(configuration(1,
                          {{"pickup-booking", "/booking/", "unsafe",
                            "client-desk", 4500, 800, 1, 2}},
                          {"client-desk"}));
  Beat beat{Id, "client-desk", m1.Upstream.text()};
  beat.Born = unixMs();
  Results results;
  for (int i = 0; i < 5; ++i) {
    if (!beat.send(m1.Admin)) {
      all.finish(2);
    }
    sleepMs(300);
    book(m1.Outbound, "req-" + std::to_string(i), results);
    sleepMs(300);
  }
  Log.line("successes with the server's body: %d, with another: %d",
           results.Right, results.Wrong);
  if (!c.Trouble && results.Right != 5) {
    all.finish(2);
  }
  all.finish(results.Wrong > 0 ? 1 : 0);
}

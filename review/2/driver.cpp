// A server answers a long request before it has read it, without a length, and
// crashes in the middle of its answer.
#include "../standins/lab.h"

using namespace lab;

namespace {

constexpr std::size_t RequestBytes = 8U << 20U;
constexpr std::size_t AnswerBytes = 60000;
constexpr const char *Id = "i-1a2b3c4d-";

bool Trouble = true;

std::string answerBody(const std::string &id) {
  std::string out;
  while (out.size() < AnswerBytes) {
    out += id + " line " + std::to_string(out.size()) + "\n";
  }
  return out;
}

/** Answers of the server of m1 before the one that it breaks off, so that it
 * spoils less than one in 50, the share that `garble` names. */
constexpr int ShortAnswers = 60;
/** Time for which the server is down, for_s of `srv_crash`. */
constexpr int DownMs = 5000;
constexpr int Servers = 8;

std::atomic<int> AnsweredByFirst{0};
std::atomic<bool> Down{false};

// Answers a long request before it has read it, without a length.
void answerEarly(int fd, Reader &in, Message &m) {
  const auto id = m.header("Chivefold-Request-Id");
  const auto body = answerBody(id);
  Log.line("server of m1: runs %s, request %s; its answer has %zu bytes",
           m.method().c_str(), id.c_str(), body.size());
  sendAll(fd, okHead(id, std::nullopt));
  if (Trouble) {
    sendAll(fd, body.substr(0, body.size() / 2));
    sleepMs(200);
    // The end of the process closes the connection with unread bytes of the
    // request, which resets it.
    Log.line("server of m1: crashes after %zu bytes of the answer to %s",
             body.size() / 2, id.c_str());
    Down = true;
    return;
  }
  sendAll(fd, body);
  sleepMs(200);
  // Reads on, and ends the answer with the connection.
  in.ReadBytes = 1U << 20U;
  in.body(m);
  Log.line("server of m1: read the whole request %s and closes", id.c_str());
}

void serve(int fd, bool first) {
  Reader in(fd);
  in.ReadBytes = 4096;
  Message m;
  while (!(first && Down) && in.head(m)) {
    if (first && m.header("Content-Length") == std::to_string(RequestBytes)) {
      answerEarly(fd, in, m);
      break;
    }
    in.ReadBytes = 1U << 20U;
    in.body(m);
    if (!m.Complete) {
      break;
    }
    const auto id = m.header("Chivefold-Request-Id");
    const auto body = answerBody(id);
    AnsweredByFirst += first ? 1 : 0;
    sendAll(fd, okHead(id, body.size()) + body);
    in.ReadBytes = 4096;
  }
  close(fd);
}

struct Results {
  std::atomic<int> Right{0};
  std::atomic<int> Wrong{0};
};

void book(const Machine &machine, const std::string &id, std::size_t bytes,
          Results &results) {
  const int fd = connectTo(machine.Outbound);
  std::thread sender([&] {
    sendAll(fd, requestHead("POST", "/booking/2f", id, 5000, bytes) +
                    std::string(bytes, 'x'));
  });
  Reader in(fd);
  Message m;
  const bool whole = in.message(m);
  sender.join();
  close(fd);
  const bool isRight = whole && m.Body == answerBody(id);
  if (bytes > 100) {
    Log.line("client on %s: request %s of %zu bytes got %s, %zu bytes, %s",
             machine.Name.c_str(), id.c_str(), bytes,
             whole ? m.Start.c_str() : "no whole answer", m.Body.size(),
             isRight ? "the server's body" : "not the server's body");
  }
  if (whole && m.status() == 200) {
    ++(isRight ? results.Right : results.Wrong);
  }
}

/** Eight machines of client-desk, as on acr-casa; the server of m1 crashes. */
struct Site {
  std::vector<std::unique_ptr<Machine>> Machines;
  std::vector<std::unique_ptr<Server>> Backends;

  Site() {
    for (int i = 0; i < Servers; ++i) {
      Machines.push_back(std::make_unique<Machine>(
          "m" + std::to_string(i + 1), "127.0.0." + std::to_string(11 + i),
          "client-desk"));
      Backends.push_back(std::make_unique<Server>());
      Backends.back()->start(
          Machines.back()->Upstream, [i](int fd) { serve(fd, i == 0); }, 65536);
    }
  }

  std::vector<Machine *> all() const {
    std::vector<Machine *> out;
    out.reserve(Machines.size());
    for (const auto &it : Machines) {
      out.push_back(it.get());
    }
    return out;
  }
};

// Heartbeats of the servers; that of m1 sends none while it is down, and comes
// back with another id.
void beats(const Site &site) {
  std::vector<Beat> servers;
  for (const auto &it : site.Machines) {
    servers.push_back({Id + it->Name, "client-desk", it->Upstream.text()});
    servers.back().Born = unixMs();
  }
  for (;;) {
    for (std::size_t i = 0; i < servers.size(); ++i) {
      if (i == 0 && Down) {
        continue;
      }
      servers[i].send(site.Machines[i]->Admin);
    }
    sleepMs(1000);
  }
}

// Short requests until the server of m1 has answered as many as it must.
void bookShort(const Site &site, Results &results) {
  const auto until = nowMs() + 20000;
  for (int i = 0; AnsweredByFirst < ShortAnswers && nowMs() < until; ++i) {
    book(*site.Machines[0], "short-" + std::to_string(i), 4, results);
  }
  Log.line("the server of m1 has answered %d short requests",
           AnsweredByFirst.load());
}

void bookLong(const Site &site, Results &results) {
  std::vector<std::thread> clients;
  clients.reserve(site.Machines.size());
  for (const auto &it : site.Machines) {
    clients.emplace_back(book, std::cref(*it), "long-" + it->Name, RequestBytes,
                         std::ref(results));
  }
  for (auto &it : clients) {
    it.join();
  }
}

} // namespace

int main(int argc, char **argv) {
  const Case c(argc, argv);
  Trouble = c.Trouble;
  const Site site;
  Deployment all{c, {}, site.all()};
  all.start(configuration(1,
                          {{"pickup-booking", "/booking/", "unsafe",
                            "client-desk", 4500, 800, 1, 2}},
                          {"client-desk"}));
  std::thread(beats, std::cref(site)).detach();
  sleepMs(2000);
  Results results;
  bookShort(site, results);
  if (AnsweredByFirst < ShortAnswers) {
    all.finish(2);
  }
  bookLong(site, results);
  sleepMs(c.Trouble ? DownMs : 0);
  Log.line("successes with the server's body: %d, with another: %d",
           results.Right.load(), results.Wrong.load());
  if (!c.Trouble && results.Right < ShortAnswers + Servers) {
    all.finish(2);
  }
  all.finish(results.Wrong > 0 ? 1 : 0);
}

#include "restarting_server.h"

#include <algorithm>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace edge {

void RestartingServer::start(const std::string &instance) {
  const int listener = listenOn(Address);
  const std::lock_guard<std::mutex> lock(Mutex);
  Instance = instance;
  Listener = listener;
  IsUp = true;
  std::thread([this, listener, epoch = ++Epoch] {
    accept(listener, epoch);
  }).detach();
}

void RestartingServer::crash() {
  const std::lock_guard<std::mutex> lock(Mutex);
  if (!IsUp) {
    return;
  }
  IsUp = false;
  ++Epoch;
  shutdown(Listener, SHUT_RDWR);
  close(Listener);
  for (const int fd : Connections) {
    const linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    shutdown(fd, SHUT_RDWR);
  }
}

std::vector<std::string> RestartingServer::runs() {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::vector<std::string> out;
  for (const auto &it : Runs) {
    out.push_back(it.Id);
  }
  return out;
}

std::size_t RestartingServer::runsOf(const std::string &part) {
  const std::lock_guard<std::mutex> lock(Mutex);
  return static_cast<std::size_t>(
      std::count_if(Runs.begin(), Runs.end(), [&](const Run &it) {
        return it.Path.find(part) != std::string::npos;
      }));
}

void RestartingServer::accept(int listener, unsigned epoch) {
  for (int fd = 0;
       (fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
    {
      const std::lock_guard<std::mutex> lock(Mutex);
      if (epoch != Epoch) {
        close(fd);
        return;
      }
      Connections.insert(fd);
    }
    std::thread([this, fd, epoch] { serve(fd, epoch); }).detach();
  }
}

void RestartingServer::serve(int fd, unsigned epoch) {
  HttpReader in(fd);
  HttpMessage request;
  while (in.read(request) && answer(fd, request, epoch)) {
  }
  const std::lock_guard<std::mutex> lock(Mutex);
  Connections.erase(fd);
  close(fd);
}

// Returns whether the connection goes on.
bool RestartingServer::answer(int fd, const HttpMessage &request,
                              unsigned epoch) {
  const auto id = request.header("Chivefold-Request-Id");
  const auto expected = request.header("Chivefold-Expected-Instance");
  const auto echo = "Chivefold-Request-Id: " + id + "\r\n";
  bool isOther = false;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    if (epoch != Epoch) {
      return false;
    }
    isOther = !expected.empty() && expected != Instance;
    if (!isOther && !id.empty()) {
      Runs.push_back({id, request.target()});
    }
  }
  if (isOther) {
    return sendAll(fd,
                   "HTTP/1.1 421 X\r\n" + echo + "Content-Length: 0\r\n\r\n");
  }
  if (IsCrashing && IsCrashing(request)) {
    if (OnCrash) {
      OnCrash();
    }
    crash();
    return false;
  }
  if (request.target().find("slow") != std::string::npos) {
    std::this_thread::sleep_for(SlowTime);
  }
  return sendAll(fd, "HTTP/1.1 200 OK\r\n" + echo +
                         "Chivefold-Server-Signature: s." + id + "\r\n" +
                         (StatesLeaving ? "Server-Leaving: 1\r\n" : "") +
                         "Content-Length: 2\r\n\r\nok");
}

} // namespace edge

#include "chivefold/io/connection_probe.h"

#include "descriptor_watch.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace chivefold {

struct ConnectionProbe::Attempt {
  ACE_SOCK_Stream Stream;
  std::unique_ptr<DescriptorWatch> Watch;
  TimerId Timer = TimerId::None;
  Done Report;
};

ConnectionProbe::ConnectionProbe(Reactor &reactor) : Loop(reactor) {}

ConnectionProbe::~ConnectionProbe() { close(); }

void ConnectionProbe::close() {
  if (!Open) {
    return;
  }
  Loop.cancel(Open->Timer);
  if (Open->Watch) {
    Open->Watch->watch(ACE_Event_Handler::NULL_MASK);
  }
  Open->Stream.close();
  Open.reset();
}

void ConnectionProbe::finish(ProbeResult result) {
  const auto report = std::move(Open->Report);
  close();
  report(result);
}

void ConnectionProbe::start(const Address &to, Done done) {
  if (Open) {
    return;
  }
  Open = std::make_unique<Attempt>();
  Open->Report = std::move(done);
  ACE_INET_Addr address;
  ACE_SOCK_Connector connector;
  const bool isValid = address.set(to.Port, to.Ip.c_str()) == 0;
  const int connected =
      isValid ? connector.connect(Open->Stream, address, &ACE_Time_Value::zero)
              : -1;
  const int ec = errno;
  if (!isValid || (connected != 0 && ec != EWOULDBLOCK && ec != EINPROGRESS)) {
    return finishLater(isValid && ec == ECONNREFUSED ? ProbeResult::Refused
                                                     : ProbeResult::Unknown);
  }
  Open->Watch = std::make_unique<DescriptorWatch>(
      Loop.ace(), Open->Stream.get_handle(),
      [this](ACE_Reactor_Mask /*mask*/) { onReady(); });
  Open->Watch->watch(ACE_Event_Handler::WRITE_MASK);
  Open->Timer = Loop.schedule(Loop.now() + Timeout,
                              [this] { finish(ProbeResult::Unknown); });
}

// The watch must not end while it runs.
void ConnectionProbe::finishLater(ProbeResult result) {
  Loop.cancel(Open->Timer);
  Open->Timer = Loop.schedule(Loop.now(), [this, result] { finish(result); });
}

void ConnectionProbe::onReady() {
  Open->Watch->watch(ACE_Event_Handler::NULL_MASK);
  int ec = 0;
  socklen_t n = sizeof(ec);
  getsockopt(Open->Stream.get_handle(), SOL_SOCKET, SO_ERROR, &ec, &n);
  finishLater(ec == 0              ? ProbeResult::Accepted
              : ec == ECONNREFUSED ? ProbeResult::Refused
                                   : ProbeResult::Unknown);
}

} // namespace chivefold

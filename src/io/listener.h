/**
 * @file
 * A listening socket on the reactor. Internal to io.
 */
#ifndef CHIVEFOLD_IO_LISTENER_H
#define CHIVEFOLD_IO_LISTENER_H

#include "chivefold/core/error.h"
#include "chivefold/core/types.h"
#include "chivefold/io/reactor.h"
#include "descriptor_watch.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <functional>
#include <memory>

namespace chivefold {

/** Accepts connections without blocking. Used on the reactor's thread only. */
class Listener {
public:
  /** Binds and listens; @p ready runs when connections wait.
   * @param address gets the port that was bound. @return ConnectionFailed if
   * the address is in use. */
  Status open(Reactor &reactor, Address &address, std::function<void()> ready) {
    constexpr int backlog = 1024;
    ACE_INET_Addr local;
    if (local.set(address.Port, address.Ip.c_str()) != 0) {
      return Reason{ErrorCode::InvalidArgument, "not an IP address"};
    }
    if (Acceptor.open(local, 1, PF_UNSPEC, backlog) != 0) {
      return Reason{ErrorCode::ConnectionFailed,
                    "cannot listen on " + toString(address)};
    }
    Acceptor.enable(ACE_NONBLOCK);
    Acceptor.get_local_addr(local);
    address.Port = local.get_port_number();
    Watch = std::make_unique<DescriptorWatch>(
        reactor.ace(), Acceptor.get_handle(),
        [ready = std::move(ready)](ACE_Reactor_Mask /*mask*/) { ready(); });
    if (!Watch->watch(ACE_Event_Handler::READ_MASK)) {
      return Reason{ErrorCode::ConnectionFailed, "too many descriptors"};
    }
    return Done{};
  }

  /** @return whether @p stream is a new connection from @p from. */
  bool accept(ACE_SOCK_Stream &stream, ACE_INET_Addr &from) {
    return Acceptor.accept(stream, &from, nullptr, false) == 0;
  }

  /** Stops listening; does nothing if it is not open. */
  void close() {
    if (Watch) {
      Watch->watch(ACE_Event_Handler::NULL_MASK);
      Acceptor.close();
    }
  }

private:
  ACE_SOCK_Acceptor Acceptor;
  std::unique_ptr<DescriptorWatch> Watch;
};

} // namespace chivefold

#endif

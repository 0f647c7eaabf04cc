#include "ragwortpin/http/socket.h"

#include <poll.h>

namespace ragwortpin {

bool isClosedByPeer(boost::asio::ip::tcp::socket &socket) noexcept
{
    pollfd descriptor{.fd = socket.native_handle(), .events = POLLRDHUP, .revents = 0};
    constexpr int NoWait{0};
    return ::poll(&descriptor, 1, NoWait) > 0;
}

} // namespace ragwortpin

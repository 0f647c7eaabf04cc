#ifndef RAGWORTPIN_PEERS_UDP_CHANNEL_H
#define RAGWORTPIN_PEERS_UDP_CHANNEL_H

#include "ragwortpin/membership/message.h"
#include "ragwortpin/peers/datagram.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

namespace ragwortpin::internal {

/** Events of a udp_channel counted since start. */
struct udp_counters
{
    std::uint64_t sent{0};
    std::uint64_t received{0};
    std::uint64_t bytesSent{0};
    std::uint64_t bytesReceived{0};
    std::uint64_t sendFailures{0};
    std::uint64_t refused{0};
    std::uint64_t stale{0};

    bool operator==(const udp_counters &) const = default;
};

/** Signed datagrams over one UDP socket. Used by one thread. */
class udp_channel
{
public:
    using receiver = std::function<void(datagram &&received, const peer_address &from)>;

    udp_channel(boost::asio::io_context &context, datagram_secrets secrets, receiver receive);

    /** Binds the socket and starts to receive. */
    [[nodiscard]] std::error_code open(const peer_address &local);

    /** Closes the socket; nothing is received afterwards. */
    void close();

    /** Seals and sends a datagram; failures are counted. */
    void send(const peer_address &to, datagram value);

    /** Events counted so far. */
    [[nodiscard]] const udp_counters &counters() const noexcept
    {
        return m_counters;
    }

private:
    void receiveNext();
    void handle(std::size_t size);

    boost::asio::ip::udp::socket m_socket;
    datagram_secrets m_secrets;
    receiver m_receive;
    boost::asio::ip::udp::endpoint m_from;
    std::array<char, MaxDatagramBytes + 1> m_buffer{};
    udp_counters m_counters;
};

} // namespace ragwortpin::internal

#endif

#ifndef RAGWORTPIN_PEERS_UDP_CHANNEL_H
#define RAGWORTPIN_PEERS_UDP_CHANNEL_H

#include "ragwortpin/membership/message.h"
#include "ragwortpin/peers/datagram.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <system_error>

namespace ragwortpin::internal {

/** Events of a udp_channel counted since its construction. */
struct udp_counters
{
    std::uint64_t sent{0};
    std::uint64_t received{0};
    /** Bytes of datagrams including their IP and UDP headers. */
    std::uint64_t bytesSent{0};
    std::uint64_t bytesReceived{0};
    std::uint64_t sendFailures{0};
    /** Received datagrams that open() rejected, except stale ones. */
    std::uint64_t refused{0};
    /** Received datagrams rejected because their time differs from the local wall clock by more than MaxDatagramAge. */
    std::uint64_t stale{0};

    bool operator==(const udp_counters &) const = default;
};

/** Sends and receives signed datagrams over one UDP socket. Not thread-safe. */
class udp_channel
{
public:
    using receiver = std::function<void(datagram &&received, const peer_address &from)>;

    udp_channel(boost::asio::io_context &context, datagram_secrets secrets, receiver receive);

    /** Binds the socket to a local address and starts receiving. Fails with SocketUnavailable. */
    [[nodiscard]] std::error_code open(const peer_address &local);

    /** Closes the socket and stops receiving. */
    void close();

    /** Sets the sending time of a datagram, signs it and sends it to each peer. Failures are counted but not reported to the caller. */
    void send(std::span<const peer_address> to, datagram value);

    /** Returns the events counted so far. */
    [[nodiscard]] const udp_counters &counters() const noexcept
    {
        return m_counters;
    }

private:
    void sendBytes(const peer_address &to, const std::string &bytes);
    void receiveNext();
    void receiveWaiting();
    void handleGuarded(std::size_t size);
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

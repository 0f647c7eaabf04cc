#include "ragwortpin/peers/error.h"

#include "ragwortpin/core/error_category.h"

#include <array>

namespace ragwortpin {

namespace {

using text = error_text<peers_errc>;

constexpr std::array Texts{
    text{peers_errc::DatagramTooLarge,
         "the datagram or one of its names exceeds the size limit; reduce the payload or shorten the instance and zone names"},
    text{peers_errc::DatagramTooShort, "the datagram is too short to contain a signature; check which program sends to the gossip port"},
    text{peers_errc::DatagramSignatureInvalid,
         "the datagram's signature does not match any accepted secret; configure the same secrets on all nodes"},
    text{peers_errc::DatagramMalformed, "the datagram's envelope cannot be decoded; run the same release on all nodes"},
    text{peers_errc::DatagramVersionUnknown, "the datagram has an unknown version; upgrade this node"},
    text{peers_errc::DatagramKindUnknown, "the datagram has an unknown kind; upgrade this node"},
    text{peers_errc::DatagramStale,
         "the datagram's sending time differs too much from this node's clock; synchronise the clocks of both nodes"},
    text{peers_errc::MessageMalformed, "the message in a datagram cannot be decoded; run the same release on all nodes"},
    text{peers_errc::PeerUnreachable,
         "the connection to the peer failed or was closed; check that the peer is running and that its peers port is open"},
    text{peers_errc::PeerTimeout, "the peer did not answer in time; check its load and the network between the nodes"},
    text{peers_errc::PeerAnswerInvalid,
         "the peer's answer to a control call has a wrong status, signature or format; use the same secrets and release on all nodes"},
    text{peers_errc::ConfigurationDigestMismatch,
         "the received configuration content does not match its digest; it is fetched again from another peer"},
    text{peers_errc::SocketUnavailable,
         "the UDP socket for the gossip port cannot be opened; check the node's address and that the port is free"},
};

const error_category<peers_errc, Texts.size()> Category{"ragwortpin.peers", Texts};

} // namespace

std::error_code make_error_code(peers_errc error) noexcept
{
    return {static_cast<int>(error), Category};
}

} // namespace ragwortpin

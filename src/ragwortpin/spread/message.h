#ifndef RAGWORTPIN_SPREAD_MESSAGE_H
#define RAGWORTPIN_SPREAD_MESSAGE_H

#include "ragwortpin/membership/message.h"
#include "ragwortpin/spread/fwd.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin {

/** Announces the revision in force at the sender, and the port from which its content can be pulled. */
struct spread_message
{
    std::uint64_t revision{0};
    /** TCP port on which the sender accepts control calls. */
    std::uint16_t peersPort{0};

    bool operator==(const spread_message &) const = default;
};

/** A message to send and its destination. */
struct spread_output
{
    peer_address to;
    spread_message message;

    bool operator==(const spread_output &) const = default;
};

/** Encodes a message as MessagePack. */
[[nodiscard]] std::string encode(const spread_message &message);

/** Decodes a message. Returns std::nullopt if the bytes are not a valid message. */
[[nodiscard]] std::optional<spread_message> decodeSpreadMessage(std::string_view bytes);

} // namespace ragwortpin

#endif

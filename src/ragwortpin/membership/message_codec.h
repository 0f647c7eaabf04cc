#ifndef RAGWORTPIN_MEMBERSHIP_MESSAGE_CODEC_H
#define RAGWORTPIN_MEMBERSHIP_MESSAGE_CODEC_H

#include "ragwortpin/membership/message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin {

/** Encodes a message as MessagePack. */
[[nodiscard]] std::string encode(const membership_message &message);

/** Decodes a message. Returns std::nullopt if the bytes are not exactly one valid message. */
[[nodiscard]] std::optional<membership_message> decodeMembershipMessage(std::string_view bytes);

/** Returns an upper bound of the number of bytes that an update adds to an encoded message. */
[[nodiscard]] std::size_t encodedSizeBound(const member_update &update) noexcept;

/** Returns an upper bound of the encoded size of a message without its updates, in bytes. */
[[nodiscard]] std::size_t encodedFrameBound(const membership_message &message) noexcept;

} // namespace ragwortpin

#endif

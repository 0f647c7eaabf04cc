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

/** Decodes a message; nothing when the bytes are not a valid one. */
[[nodiscard]] std::optional<membership_message> decodeMembershipMessage(std::string_view bytes);

/** Upper bound of the bytes that an update adds to an encoded message. */
[[nodiscard]] std::size_t encodedSizeBound(const member_update &update) noexcept;

/** Upper bound of the bytes of an encoded message without its updates. */
[[nodiscard]] std::size_t encodedFrameBound(const membership_message &message) noexcept;

} // namespace ragwortpin

#endif

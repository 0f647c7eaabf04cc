#include "ragwortpin/spread/message.h"

#include "ragwortpin/core/wire.h"

#include <tuple>

namespace ragwortpin {

namespace {

template<typename Message>
[[nodiscard]] auto wireFieldsOf(Message &message)
{
    return std::tie(message.revision, message.peersPort);
}

} // namespace

static auto wireFields(spread_message &message)
{
    return wireFieldsOf(message);
}

static auto wireFields(const spread_message &message)
{
    return wireFieldsOf(message);
}

std::string encode(const spread_message &message)
{
    return internal::encodeStruct(message);
}

std::optional<spread_message> decodeSpreadMessage(std::string_view bytes)
{
    return internal::decodeStruct<spread_message>(bytes);
}

} // namespace ragwortpin

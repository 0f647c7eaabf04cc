#include "ragwortpin/platform/error.h"

#include "ragwortpin/core/error_category.h"

#include <array>

namespace ragwortpin {

namespace internal {

constexpr std::array PlatformTexts{
    error_text<platform_errc>{platform_errc::Unreachable,
                              "the store cannot be reached; check its addresses and the network, then try again"},
    error_text<platform_errc>{platform_errc::TimedOut,
                              "the store did not answer in time and may have done the call; read the state back before trying again"},
    error_text<platform_errc>{
        platform_errc::AnswerLost,
        "the connection to the store ended before its answer and the call may be done; read the state back before trying again"},
    error_text<platform_errc>{platform_errc::MalformedAnswer,
                              "the store's answer was not understood; check that the address is the store's etcd v3 gateway"},
    error_text<platform_errc>{platform_errc::Refused,
                              "the store refused the call; check its version and limits against the operations page"},
    error_text<platform_errc>{platform_errc::Unavailable, "the store cannot serve the call now; try again when it has recovered"},
};

} // namespace internal

const std::error_category &platformCategory() noexcept
{
    static const error_category<platform_errc, internal::PlatformTexts.size()> category{"ragwortpin.platform", internal::PlatformTexts};
    return category;
}

std::error_code make_error_code(platform_errc kind) noexcept
{
    return {static_cast<int>(kind), platformCategory()};
}

bool mayHaveTakenEffect(const std::error_code &error) noexcept
{
    return error && error != platform_errc::Unreachable && error != platform_errc::Refused;
}

} // namespace ragwortpin

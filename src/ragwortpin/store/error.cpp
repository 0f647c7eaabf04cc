#include "ragwortpin/store/error.h"

#include "ragwortpin/core/error_category.h"

#include <array>

namespace ragwortpin {

namespace internal {

constexpr std::array StoreErrorTexts{
    error_text<store_errc>{store_errc::Unreachable, "the store cannot be reached; check its addresses and the network, then retry"},
    error_text<store_errc>{
        store_errc::TimedOut,
        "the store did not respond within the timeout and may have applied the call; read the state back before retrying"},
    error_text<store_errc>{store_errc::AnswerLost,
                           "the connection to the store ended before the complete response and the call may have been applied; read the "
                           "state back before retrying"},
    error_text<store_errc>{store_errc::MalformedResponse,
                           "the store's response does not conform to the protocol; check that the address is the store's etcd v3 gateway"},
    error_text<store_errc>{store_errc::Refused, "the store rejected the call; check its version and limits against the operations page"},
    error_text<store_errc>{store_errc::Unavailable, "the store responded that it cannot serve the call now; retry when it has recovered"},
    error_text<store_errc>{
        store_errc::HistoryCompacted,
        "the store no longer keeps the changes after the requested revision; read the keys and watch from the revision of that read"},
    error_text<store_errc>{store_errc::NotSupported, "the store's protocol does not support this call; poll the keys instead"},
};

} // namespace internal

const std::error_category &storeCategory() noexcept
{
    static const error_category<store_errc, internal::StoreErrorTexts.size()> category{"ragwortpin.store", internal::StoreErrorTexts};
    return category;
}

std::error_code make_error_code(store_errc kind) noexcept
{
    return {static_cast<int>(kind), storeCategory()};
}

bool mayHaveTakenEffect(const std::error_code &error) noexcept
{
    return error && error != store_errc::Unreachable && error != store_errc::Refused;
}

} // namespace ragwortpin

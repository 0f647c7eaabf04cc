#include "ragwortpin/store/error.h"

#include "ragwortpin/core/error_category.h"

#include <array>

namespace ragwortpin {

namespace internal {

constexpr std::array StoreTexts{
    error_text<store_errc>{store_errc::Unreachable, "the store cannot be reached; check its addresses and the network, then try again"},
    error_text<store_errc>{store_errc::TimedOut,
                           "the store did not answer in time and may have done the call; read the state back before trying again"},
    error_text<store_errc>{
        store_errc::AnswerLost,
        "the connection to the store ended before its answer and the call may be done; read the state back before trying again"},
    error_text<store_errc>{store_errc::MalformedAnswer,
                           "the store's answer was not understood; check that the address is the store's etcd v3 gateway"},
    error_text<store_errc>{store_errc::Refused, "the store refused the call; check its version and limits against the operations page"},
    error_text<store_errc>{store_errc::Unavailable, "the store cannot serve the call now; try again when it has recovered"},
    error_text<store_errc>{store_errc::HistoryLost,
                           "the store dropped the changes that were asked for; read the keys and watch from there"},
    error_text<store_errc>{store_errc::NotSupported, "the store's protocol has no such call; read the keys at intervals instead"},
};

} // namespace internal

const std::error_category &storeCategory() noexcept
{
    static const error_category<store_errc, internal::StoreTexts.size()> category{"ragwortpin.store", internal::StoreTexts};
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

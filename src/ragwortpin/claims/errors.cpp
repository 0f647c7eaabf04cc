#include "ragwortpin/claims/errors.h"

#include "ragwortpin/core/error_category.h"

#include <array>

namespace ragwortpin {

namespace {

constexpr std::array ClaimsErrorTexts{
    error_text<claims_errc>{claims_errc::RecordMalformed,
                            "a claim record cannot be decoded; check that all nodes run the same release and let retention remove it"},
    error_text<claims_errc>{
        claims_errc::StoreUnavailable,
        "the store is unavailable and the outcome of a request to a once-route could not be recorded; requests with its "
        "Idempotency-Key are refused with outcome 'unknown' until its claim is removed"},
    error_text<claims_errc>{claims_errc::ClaimLost,
                            "the claim is held by another attempt; check that no tool writes below ragwortpin/claims/"},
};

const error_category<claims_errc, ClaimsErrorTexts.size()> ClaimsCategory{"ragwortpin.claims", ClaimsErrorTexts};

} // namespace

const std::error_category &claimsCategory() noexcept
{
    return ClaimsCategory;
}

std::error_code make_error_code(claims_errc error) noexcept
{
    return {static_cast<int>(error), claimsCategory()};
}

} // namespace ragwortpin

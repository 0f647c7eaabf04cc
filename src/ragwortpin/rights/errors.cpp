#include "ragwortpin/rights/errors.h"

#include "ragwortpin/core/error_category.h"

#include <array>

namespace ragwortpin {

namespace {

constexpr std::array RightsErrorTexts{
    error_text<rights_errc>{rights_errc::MessageTooLong,
                            "the rate limiter message exceeds 1200 bytes; check that all nodes run the same release"},
    error_text<rights_errc>{rights_errc::MessageMalformed,
                            "the rate limiter message cannot be decoded; check that all nodes run the same release"},
    error_text<rights_errc>{rights_errc::RecordMalformed,
                            "a slot record cannot be decoded; delete its key so that a node can acquire the slot after the lapse"},
};

const error_category<rights_errc, RightsErrorTexts.size()> RightsCategory{"ragwortpin.rights", RightsErrorTexts};

} // namespace

const std::error_category &rightsCategory() noexcept
{
    return RightsCategory;
}

std::error_code make_error_code(rights_errc error) noexcept
{
    return {static_cast<int>(error), rightsCategory()};
}

} // namespace ragwortpin

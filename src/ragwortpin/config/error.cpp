#include "ragwortpin/config/error.h"

#include "ragwortpin/core/error_category.h"

#include <array>

namespace ragwortpin {

namespace internal {

constexpr std::array ConfigTexts{
    error_text<config_errc>{config_errc::Malformed, "the stored configuration is damaged; publish the whole set again from its files"},
    error_text<config_errc>{config_errc::UnknownFormat, "the configuration was written by a newer release; upgrade this instance"},
    error_text<config_errc>{config_errc::TooLarge,
                            "the configuration is larger than the store's limit of a megabyte; remove objects that are no longer needed"},
    error_text<config_errc>{config_errc::WrongBase, "the change does not follow the revision in force; load the whole revision instead"},
    error_text<config_errc>{config_errc::NotPublished, "no configuration was published yet; publish one with 'ragwortpinctl publish FILE'"},
    error_text<config_errc>{config_errc::Pruned,
                            "the revision is not kept; list the kept ones with 'ragwortpinctl history' and ask for one of them"},
    error_text<config_errc>{config_errc::Contended, "other operators published each time before this publication could; run it again"},
};

} // namespace internal

const std::error_category &configCategory() noexcept
{
    static const error_category<config_errc, internal::ConfigTexts.size()> category{"ragwortpin.config", internal::ConfigTexts};
    return category;
}

std::error_code make_error_code(config_errc kind) noexcept
{
    return {static_cast<int>(kind), configCategory()};
}

} // namespace ragwortpin

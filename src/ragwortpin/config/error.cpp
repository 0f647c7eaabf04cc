#include "ragwortpin/config/error.h"

#include "ragwortpin/core/error_category.h"

#include <array>

namespace ragwortpin {

namespace internal {

constexpr std::array ConfigTexts{
    error_text<config_errc>{config_errc::Malformed,
                            "the stored configuration is malformed; publish the whole configuration again from its files"},
    error_text<config_errc>{config_errc::UnknownFormat, "the configuration was written by a newer release; upgrade this instance"},
    error_text<config_errc>{config_errc::TooLarge,
                            "the configuration is larger than the store's limit of a megabyte; remove objects that are no longer needed"},
    error_text<config_errc>{config_errc::WrongBase, "the change is not based on the current revision; load the whole revision instead"},
    error_text<config_errc>{config_errc::NotPublished,
                            "no configuration has been published; publish one with 'ragwortpinctl publish FILE'"},
    error_text<config_errc>{
        config_errc::Pruned,
        "the revision is no longer stored; list the stored revisions with 'ragwortpinctl history' and choose one of them"},
    error_text<config_errc>{config_errc::Contended,
                            "every attempt to publish failed because other operators published first; publish again"},
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

#include "ragwortpin/targets/assignment.h"

#include "ragwortpin/core/error_category.h"
#include "ragwortpin/core/names.h"

#include <array>

namespace ragwortpin {

namespace {

constexpr std::array AnnouncementErrorTexts{
    error_text<announcement_errc>{announcement_errc::NameUnreadable,
                                  "the service or incarnation is not 1 to 128 bytes of UTF-8 without control characters; send a name"},
    error_text<announcement_errc>{announcement_errc::OtherService,
                                  "the service is not the one in the settings of this node; announce the target at the node beside it, or "
                                  "change the service in the settings"},
    error_text<announcement_errc>{
        announcement_errc::UnknownService,
        "the configuration defines no such service; publish it, or name the service in the settings of this node"},
    error_text<announcement_errc>{announcement_errc::OtherAddress,
                                  "the address is not that of the target in the settings of this node; announce the target at the node "
                                  "beside it, or change the target in the settings"},
    error_text<announcement_errc>{announcement_errc::NodeBusy, "the node is busy; send the message again in a second"},
    error_text<announcement_errc>{announcement_errc::DepartureNotStored,
                                  "the store has not recorded yet that the target leaves; send the message again in a second"},
};

const error_category<announcement_errc, AnnouncementErrorTexts.size()> AnnouncementCategory{"ragwortpin.targets", AnnouncementErrorTexts};

} // namespace

const std::error_category &announcementCategory() noexcept
{
    return AnnouncementCategory;
}

std::error_code make_error_code(announcement_errc error) noexcept
{
    return {static_cast<int>(error), announcementCategory()};
}

bool isTemporary(const std::error_code &error) noexcept
{
    return error == announcement_errc::NodeBusy || error == announcement_errc::DepartureNotStored;
}

std::error_code
checkAnnouncement(const target_announcement &announcement, const target_assignment &assignment, const configuration_index *configuration)
{
    if (!isName(announcement.service) || (!announcement.incarnation.empty() && !isName(announcement.incarnation))) {
        return announcement_errc::NameUnreadable;
    }
    if (!assignment.service.empty() && announcement.service != assignment.service) {
        return announcement_errc::OtherService;
    }
    if (assignment.service.empty() && configuration != nullptr && findService(*configuration, announcement.service) == nullptr) {
        return announcement_errc::UnknownService;
    }
    if (assignment.address && announcement.address != *assignment.address) {
        return announcement_errc::OtherAddress;
    }
    return {};
}

} // namespace ragwortpin

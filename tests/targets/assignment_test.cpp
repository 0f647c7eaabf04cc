#include "ragwortpin/targets/assignment.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

std::shared_ptr<const configuration_index> configurationWith(const std::string &name)
{
    configuration value;
    value.services.push_back({});
    value.services.back().name = name;
    return buildIndex(std::move(value));
}

target_announcement makeAnnouncement(const std::string &service, const std::string &incarnation = "i-1")
{
    return {.service = service, .address = {"10.0.0.2", 8547}, .slots = 1, .incarnation = incarnation};
}

} // namespace

TEST_CASE("an announcement counts only if it agrees with the settings of the node")
{
    const target_assignment assigned{"clips", endpoint{"10.0.0.2", 8547}};
    const target_assignment elsewhere{"clips", endpoint{"10.0.0.3", 8547}};
    struct announcement_case
    {
        std::string name;
        target_announcement announcement;
        target_assignment assignment;
        std::error_code error;
    };
    const std::vector<announcement_case> cases{
        {"as assigned", makeAnnouncement("clips"), assigned, {}},
        {"assigned, not in the configuration", makeAnnouncement("clips"), {"clips", {}}, {}},
        {"no assignment, in the configuration", makeAnnouncement("packages"), {}, {}},
        {"no incarnation", makeAnnouncement("clips", ""), assigned, {}},
        {"service of another machine", makeAnnouncement("packages"), assigned, announcement_errc::OtherService},
        {"service that nothing names", makeAnnouncement("nosuch9"), {}, announcement_errc::UnknownService},
        {"address of another machine", makeAnnouncement("clips"), elsewhere, announcement_errc::OtherAddress},
        {"surrogate", makeAnnouncement("\xed\xa0\x80"), {}, announcement_errc::NameUnreadable},
        {"line end", makeAnnouncement("clips\r\nX: y"), {}, announcement_errc::NameUnreadable},
        {"empty", makeAnnouncement(""), {}, announcement_errc::NameUnreadable},
        {"too long", makeAnnouncement(std::string(129, 'x')), {}, announcement_errc::NameUnreadable},
        {"incarnation with a line end", makeAnnouncement("clips", "i\r\n"), assigned, announcement_errc::NameUnreadable},
    };
    const auto configuration = configurationWith("packages");
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        CHECK(checkAnnouncement(entry.announcement, entry.assignment, configuration.get()) == entry.error);
    }
    CHECK_FALSE(checkAnnouncement(makeAnnouncement("any"), {}, nullptr));
}

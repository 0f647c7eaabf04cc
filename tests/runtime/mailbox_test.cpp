#include "ragwortpin/node/events.h"
#include "ragwortpin/runtime/mailbox.h"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <variant>
#include <vector>

using namespace ragwortpin;

namespace {

struct transfer_counts
{
    unsigned copies{0};
    unsigned moves{0};
};

/** Counts how often it and the objects made from it were copied and moved. */
struct counted_event
{
    counted_event() = default;
    explicit counted_event(transfer_counts &target)
        : counts{&target}
    { }
    counted_event(const counted_event &other)
        : counts{other.counts}
    {
        ++counts->copies;
    }
    counted_event(counted_event &&other) noexcept
        : counts{other.counts}
    {
        ++counts->moves;
    }
    counted_event &operator=(const counted_event &) = default;
    counted_event &operator=(counted_event &&) = default;
    ~counted_event() = default;

    transfer_counts *counts{nullptr};
};

using counted_variant = std::variant<std::monostate, counted_event>;

/** Sends a text, which is moved from only if the mailbox accepts it. */
bool offer(mailbox<std::string> &box, std::string &text)
{
    return box.trySend(std::move(text));
}

/** Sends one event of each kind and returns what arrives. */
template<typename Event, typename... Alternatives>
std::vector<Event> deliver(const Alternatives &...alternatives)
{
    boost::asio::io_context context{1};
    std::vector<Event> received;
    mailbox<Event> box{context, sizeof...(alternatives), [&received](const Event &event) {
                           received.push_back(event);
                       }};
    CHECK((box.trySend(alternatives) && ...));
    context.run();
    return received;
}

} // namespace

// Guards against warnings of moved variants that depend on the processor: an event is built in the queue and taken out of it once.
TEST_CASE("a mailbox constructs an event in its queue from the alternative that is sent")
{
    transfer_counts counts;
    boost::asio::io_context context{1};
    mailbox<counted_variant> box{context, 2, [](const counted_variant &) {}};
    REQUIRE(box.trySend(counted_event{counts}));
    CHECK(counts.copies == 0);
    CHECK(counts.moves == 1);
    context.run();
    CHECK(counts.copies == 0);
    CHECK(counts.moves == 2);
}

TEST_CASE("a mailbox hands the queued value itself to its receiver")
{
    transfer_counts counts;
    boost::asio::io_context context{1};
    counted_event kept{counts};
    mailbox<counted_event> box{context, 2, [](const counted_event &) {}};
    REQUIRE(box.trySend(kept));
    CHECK(counts.copies == 1);
    CHECK(counts.moves == 0);
    context.run();
    CHECK(counts.copies == 1);
    CHECK(counts.moves == 1);
}

TEST_CASE("a full mailbox leaves the value that it rejects to the sender")
{
    boost::asio::io_context context{1};
    mailbox<std::string> box{context, 1, [](const std::string &) {}};
    std::string first(100, 'a');
    std::string second(100, 'b');
    REQUIRE(offer(box, first));
    CHECK_FALSE(offer(box, second));
    CHECK(second == std::string(100, 'b'));
    CHECK(box.rejected() == 1);
}

TEST_CASE("every event between the threads of a node arrives as it was sent")
{
    const target_assignment assignment{"clips", endpoint{"127.0.0.1", 7005}};
    target_announcement announcement;
    announcement.incarnation = "clips-1";
    announcement.service = "clips";
    announcement.slots = 7;
    const target_departure departure{.incarnation = "clips-1"};
    const auto events = deliver<operator_event>(
        assignment, target_assignment{}, announcement, departure, drain_event{}, shutdown_event{}, confirm_departures_event{4});
    REQUIRE(events.size() == 7);
    CHECK(std::get<target_assignment>(events[0]) == assignment);
    CHECK(std::get<target_assignment>(events[1]) == target_assignment{});
    CHECK(std::get<target_announcement>(events[2]) == announcement);
    CHECK(std::get<target_departure>(events[3]) == departure);
    CHECK(std::holds_alternative<drain_event>(events[4]));
    CHECK(std::holds_alternative<shutdown_event>(events[5]));
    CHECK(std::get<confirm_departures_event>(events[6]).number == 4);

    const departure_record record{"clips-1", 1'800'000'000'000, 3, true};
    const auto storeEvents = deliver<store_event>(rate_reply_event{9, {}}, restore_event{{record}}, restore_event{});
    REQUIRE(storeEvents.size() == 3);
    CHECK(std::get<rate_reply_event>(storeEvents[0]).token == 9);
    CHECK(std::get<restore_event>(storeEvents[1]).records == std::vector<departure_record>{record});
    CHECK(std::get<restore_event>(storeEvents[2]).records.empty());

    const departure_update update{{record, record}, 5};
    const auto commands = deliver<store_command>(update, departure_update{});
    REQUIRE(commands.size() == 2);
    CHECK(std::get<departure_update>(commands[0]) == update);
    CHECK(std::get<departure_update>(commands[1]) == departure_update{});
}

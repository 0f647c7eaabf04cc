#include "config/examples.h"
#include "config/fake_store.h"

#include "ragwortpin/config/error.h"
#include "ragwortpin/config/parse.h"
#include "ragwortpin/config/publication.h"
#include "ragwortpin/store/error.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace ragwortpin;
using testing::fake_store;

namespace {

configuration example()
{
    return parseAndCheckConfiguration({{"x", testing::readExample(testing::ExampleNames[0])}}).value;
}

publication_request request(const std::string &id, std::uint64_t base, configuration desired)
{
    return {id, base, std::move(desired), "operator", microseconds{1}, 0};
}

configuration withRate(configuration value, std::size_t workspaceIndex, double rate)
{
    value.workspaces[workspaceIndex].rate = rate;
    return value;
}

std::size_t countKeys(const fake_store &store, const std::string &prefix)
{
    std::size_t count{0};
    for (const auto &[key, entry] : store.entries()) {
        count += key.starts_with(prefix) ? 1 : 0;
    }
    return count;
}

/**
 * Returns a store call whose n-th request fails with the n-th fault, if there is one; later requests succeed. With
 * takesEffect, the failing requests are performed nevertheless, as if only their answers were lost.
 */
store_call callWithFaults(fake_store &store, std::vector<std::optional<store_errc>> faults, bool takesEffect)
{
    auto position = std::make_shared<std::size_t>(0);
    return [&store, faults = std::move(faults), takesEffect, position](const store_request &storeRequest) {
        const auto fault = *position < faults.size() ? faults[(*position)++] : std::nullopt;
        if (!fault) {
            return store.perform(storeRequest);
        }
        if (takesEffect) {
            static_cast<void>(store.perform(storeRequest));
        }
        store_reply reply;
        reply.error = *fault;
        return reply;
    };
}

} // namespace

TEST_CASE("a publication becomes the head and its snapshot and change can be loaded")
{
    fake_store store;
    CHECK_FALSE(loadHead(store.call()).head.has_value());
    const auto first = publish(store.call(), request("a", 0, example()));
    CHECK(first.status == publication_status::Accepted);
    CHECK(first.revision == 1);
    const auto changed = withRate(example(), 0, 77);
    const auto second = publish(store.call(), request("b", 1, changed));
    CHECK(second.status == publication_status::Accepted);
    CHECK(second.changes.size() == 1);

    const auto loaded = loadHistory(store.call());
    REQUIRE(loaded.head.has_value());
    CHECK(*loaded.head == config_head{2, "b"});
    CHECK(loaded.history.size() == 2);
    CHECK(loaded.history[1].summary == "1 changed");
    CHECK(loadHead(store.call()).head == loaded.head);
    auto expected = changed;
    expected.revision = 2;
    CHECK(loadRevision(store.call(), 2).value == expected);
    const auto change = loadChange(store.call(), 2);
    REQUIRE(change.value.has_value());
    CHECK(applyChange(*loadRevision(store.call(), 1).value, *change.value) == expected);
    CHECK(loadRevision(store.call(), 3).error == config_errc::Pruned);
}

TEST_CASE("publishing the current configuration writes nothing")
{
    fake_store store;
    CHECK(publish(store.call(), request("a", 0, example())).status == publication_status::Accepted);
    const auto before = store.entries();
    CHECK(publish(store.call(), request("b", 0, example())).status == publication_status::Unchanged);
    CHECK(publish(store.call(), request("c", 1, example())).status == publication_status::Unchanged);
    CHECK(store.entries() == before);
}

TEST_CASE("concurrent edits of different objects are merged and of the same object are refused with its name")
{
    fake_store store;
    CHECK(publish(store.call(), request("a", 0, example())).status == publication_status::Accepted);
    CHECK(publish(store.call(), request("b", 1, withRate(example(), 0, 50))).status == publication_status::Accepted);
    const auto rebased = publish(store.call(), request("c", 1, withRate(example(), 1, 60)));
    CHECK(rebased.status == publication_status::Accepted);
    CHECK(rebased.rebased);
    CHECK(rebased.revision == 3);
    const auto head = loadRevision(store.call(), 3).value.value_or(configuration{});
    CHECK(head.workspaces[0].rate == 50);
    CHECK(head.workspaces[1].rate == 60);

    const auto conflict = publish(store.call(), request("d", 1, withRate(example(), 0, 70)));
    CHECK(conflict.status == publication_status::Refused);
    CHECK(conflict.conflicts == std::vector<object_ref>{{object_kind::Workspace, head.workspaces[0].name}});
    CHECK(loadHead(store.call()).head->revision == 3);
}

TEST_CASE("a change that another operator reverted is not applied again by a rebase")
{
    fake_store store;
    CHECK(publish(store.call(), request("a", 0, example())).status == publication_status::Accepted);
    CHECK(publish(store.call(), request("b", 1, withRate(example(), 0, 50))).status == publication_status::Accepted);
    CHECK(publish(store.call(), request("c", 2, example())).status == publication_status::Accepted);
    const auto reapplied = publish(store.call(), request("d", 1, withRate(example(), 0, 50)));
    CHECK(reapplied.status == publication_status::Refused);
    CHECK(reapplied.conflicts.size() == 1);
}

TEST_CASE("a merged configuration that is invalid is refused")
{
    fake_store store;
    CHECK(publish(store.call(), request("a", 0, example())).status == publication_status::Accepted);
    auto withoutWorkspace = example();
    const auto removed = withoutWorkspace.workspaces[0].name;
    withoutWorkspace.workspaces.erase(withoutWorkspace.workspaces.begin());
    std::erase_if(withoutWorkspace.keys, [&removed](const api_key &key) {
        return key.workspace == removed;
    });
    CHECK(publish(store.call(), request("b", 1, withoutWorkspace)).status == publication_status::Accepted);
    auto withKey = example();
    withKey.keys.push_back({"zz", removed, std::string(64, 'e')});
    const auto result = publish(store.call(), request("c", 1, withKey));
    CHECK(result.status == publication_status::Refused);
    REQUIRE(result.problems.size() == 1);
    CHECK(result.problems[0].object == "key 'zz'");
}

TEST_CASE("old snapshots and changes are removed and a pruned base is refused")
{
    fake_store store;
    CHECK(publish(store.call(), request("first", 0, example())).status == publication_status::Accepted);
    for (std::uint64_t revision{1}; revision < 30; ++revision) {
        const auto value = withRate(example(), 0, 100.0 + static_cast<double>(revision));
        REQUIRE(publish(store.call(), request(std::to_string(revision), revision, value)).revision == revision + 1);
    }
    CHECK(countKeys(store, "ragwortpin/config/snapshots/") == MaxStoredRevisions);
    CHECK(countKeys(store, "ragwortpin/config/changes/") == MaxStoredRevisions);
    CHECK(loadRevision(store.call(), 10).error == config_errc::Pruned);
    CHECK(loadRevision(store.call(), 11).value.has_value());
    const auto result = publish(store.call(), request("old", 5, withRate(example(), 1, 7)));
    CHECK(result.status == publication_status::Refused);
    CHECK(result.error == config_errc::Pruned);
}

TEST_CASE("the outcome after a lost answer is determined from the history or reported as unknown")
{
    using fault = std::optional<store_errc>;
    // A first publication loads the history, sends the transaction and, after a lost answer, loads the history again.
    const fault none;
    const fault answerLost{store_errc::AnswerLost};
    const fault unreachable{store_errc::Unreachable};
    fake_store committed;
    CHECK(publish(callWithFaults(committed, {none, answerLost}, true), request("a", 0, example())).status == publication_status::Accepted);
    CHECK(loadHistory(committed.call()).history.size() == 1);

    fake_store dropped;
    CHECK(publish(callWithFaults(dropped, {none, answerLost}, false), request("a", 0, example())).status == publication_status::Accepted);
    CHECK(loadHistory(dropped.call()).history.size() == 1);

    fake_store unknown;
    const std::vector<fault> outage{
        none, answerLost, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable};
    CHECK(publish(callWithFaults(unknown, outage, true), request("a", 0, example())).status == publication_status::Unknown);
    CHECK(publish(unknown.call(), request("b", 0, example())).status == publication_status::Unchanged);

    fake_store unavailable;
    const auto result = publish(callWithFaults(unavailable, {unreachable}, false), request("a", 0, example()));
    CHECK(result.status == publication_status::Unreachable);
    CHECK(unavailable.entries().empty());
}

TEST_CASE("a missing or malformed head is reported and never replaced by a lower revision")
{
    fake_store store;
    CHECK(publish(store.call(), request("a", 0, example())).status == publication_status::Accepted);
    store.erase(std::string{config_key::Head});
    const auto result = publish(store.call(), request("b", 0, withRate(example(), 0, 5)));
    CHECK(result.status == publication_status::Refused);
    CHECK(result.error == config_errc::Malformed);
    store.put(std::string{config_key::Head}, "garbage");
    CHECK(loadHead(store.call()).error == config_errc::Malformed);
    CHECK(publish(store.call(), request("c", 0, example())).status == publication_status::Refused);

    fake_store empty;
    auto requestWithFloor = request("d", 0, example());
    requestWithFloor.revisionFloor = 812;
    CHECK(publish(empty.call(), requestWithFloor).revision == 813);
    CHECK(publish(empty.call(), request("e", 900, example())).error == config_errc::WrongBase);
}

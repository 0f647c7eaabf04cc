#include "ragwortpin/discovery/discovery.h"

#include "ragwortpin/store/error.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

/** In-memory store whose calls can be made to fail before or after they take effect. */
struct memory_store
{
    std::map<std::string, store_entry> entries;
    std::int64_t revision{0};
    std::size_t writes{0};
    std::error_code rangeError;
    std::error_code writeError;
    bool writesBeforeFailing{false};

    void put(const std::string &key, const std::string &value)
    {
        entries[key] = {key, value, ++revision};
    }

    store_reply operator()(const store_request &request)
    {
        store_reply reply;
        if (const auto *range = std::get_if<store_range>(&request)) {
            reply.error = rangeError;
            for (const auto &[key, entry] : entries) {
                if (key >= range->key && key < range->rangeEnd) {
                    reply.entries.push_back(entry);
                }
            }
            return reply;
        }
        const auto &transaction = std::get<store_transaction>(request);
        const auto &compare = transaction.compares.front();
        const auto found = entries.find(compare.key);
        const auto present = found == entries.end() ? 0 : found->second.modRevision;
        reply.succeeded = present == compare.modRevision;
        if (reply.succeeded && (!writeError || writesBeforeFailing)) {
            put(transaction.writes.front().key, *transaction.writes.front().value);
            ++writes;
        } else if (found != entries.end()) {
            reply.entries = {found->second};
        }
        reply.error = writeError;
        return reply;
    }
};

discovery_settings sampleSettings()
{
    return {.prefix = "nodes/", .instance = "own", .self = {"10.0.0.1", 7000}};
}

discovery_result step(memory_store &store)
{
    std::mt19937_64 random{20261204};
    return discover(
        [&store](const store_request &request) {
            return store(request);
        },
        sampleSettings(),
        random);
}

} // namespace

TEST_CASE("a node writes its entry once and finds the others")
{
    memory_store store;
    store.put("nodes/a", "10.0.0.2:7000");
    store.put("nodes/broken", "nonsense");
    store.put("other/b", "10.0.0.3:7000");
    const auto first = step(store);
    CHECK_FALSE(first.error);
    CHECK(first.isRegistered);
    CHECK(first.seeds == std::vector{peer_address{"10.0.0.2", 7000}});
    CHECK(first.malformed == 1);
    CHECK(step(store).isRegistered);
    CHECK(store.writes == 1);
    CHECK(store.entries.at("nodes/own").value == "10.0.0.1:7000");
}

TEST_CASE("an entry with another address, or a deleted one, is written again")
{
    memory_store store;
    store.put("nodes/own", "10.9.9.9:7000");
    CHECK(step(store).isRegistered);
    CHECK(store.entries.at("nodes/own").value == "10.0.0.1:7000");
    store.entries.clear();
    CHECK(step(store).isRegistered);
    CHECK(store.entries.size() == 1);
}

TEST_CASE("failures of the store are returned, and the next step registers the node")
{
    memory_store store;
    store.rangeError = store_errc::Unavailable;
    CHECK(step(store).error == store_errc::Unavailable);
    store.rangeError = {};
    store.writeError = store_errc::AnswerLost;
    store.writesBeforeFailing = true;
    const auto lost = step(store);
    CHECK(lost.error == store_errc::AnswerLost);
    CHECK_FALSE(lost.isRegistered);
    store.writeError = {};
    CHECK(step(store).isRegistered);
    CHECK(store.writes == 1);
}

TEST_CASE("number of seeds is limited when there are many entries")
{
    memory_store store;
    for (int index{0}; index < 60; ++index) {
        store.put("nodes/n" + std::to_string(index), "10.0.1." + std::to_string(index) + ":7000");
    }
    CHECK(step(store).seeds.size() == sampleSettings().maxSeeds);
}

#include "config/examples.h"
#include "config/racing_operators.h"

#include "ragwortpin/config/check.h"
#include "ragwortpin/config/parse.h"
#include "ragwortpin/config/publication.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace ragwortpin;
using testing::fake_store;
using testing::racing_operators;

namespace {

configuration example()
{
    static const auto value = parseAndCheckConfiguration({{"x", testing::readExample(testing::ExampleNames[0])}}).value;
    return value;
}

/** One edit that an operator publishes: a new rate for a workspace. */
struct rate_edit
{
    std::size_t workspace;
    double rate;
};

struct attempt
{
    publication_request request;
    publication_result result;
};

/** Record of a run of concurrent publications by several operators. */
struct race_record
{
    std::vector<std::vector<attempt>> attempts;
    /** Revision of the head after each step, in order. */
    std::vector<std::uint64_t> headRevisions;
    /** Every snapshot that was stored after some step, by revision. */
    std::map<std::uint64_t, configuration> snapshots;
    std::vector<publication_entry> history;
};

std::string publicationIdOf(std::size_t operatorIndex, std::size_t editIndex)
{
    return "publication-" + std::to_string(operatorIndex) + "-" + std::to_string(editIndex);
}

void recordStoreState(fake_store &store, race_record &record)
{
    const auto loaded = loadHistory(store.call());
    RC_ASSERT(!loaded.error);
    const auto revision = loaded.head ? loaded.head->revision : 0;
    record.headRevisions.push_back(revision);
    record.history = loaded.history;
    if (revision > 0 && !record.snapshots.contains(revision)) {
        for (const auto &entry : loaded.history) {
            const auto snapshot = loadRevision(store.call(), entry.revision);
            if (snapshot.value) {
                record.snapshots.emplace(entry.revision, *snapshot.value);
            }
        }
    }
}

/** Publishes the edits one after another. The base is revision 1, or the last own publication that was accepted without a rebase. */
void publishEdits(const store_call &call, const std::vector<rate_edit> &edits, std::size_t operatorIndex, std::vector<attempt> &attempts)
{
    std::uint64_t base{1};
    auto baseConfiguration = example();
    for (std::size_t index{0}; index < edits.size(); ++index) {
        auto desired = baseConfiguration;
        desired.workspaces[edits[index].workspace].rate = edits[index].rate;
        const publication_request request{publicationIdOf(operatorIndex, index), base, desired, "operator", microseconds{0}, 0};
        const auto result = publish(call, request);
        attempts.push_back({request, result});
        if (result.status == publication_status::Accepted && !result.rebased) {
            base = result.revision;
            baseConfiguration = desired;
        }
    }
}

race_record runConcurrentPublications(const std::vector<std::vector<rate_edit>> &edits, std::uint64_t seed, double faultFraction)
{
    fake_store store;
    race_record record;
    const auto first = publish(store.call(), {"first", 0, example(), "operator", microseconds{0}, 0});
    RC_ASSERT(first.status == publication_status::Accepted);
    recordStoreState(store, record);
    record.attempts.resize(edits.size());
    std::vector<racing_operators::operator_function> operators;
    for (std::size_t index{0}; index < edits.size(); ++index) {
        operators.emplace_back([&edits, &record, index](const store_call &call) {
            publishEdits(call, edits[index], index, record.attempts[index]);
        });
    }
    racing_operators{store, seed, faultFraction}.run(operators, [&] {
        recordStoreState(store, record);
    });
    return record;
}

std::size_t occurrences(const race_record &record, const std::string &publicationId)
{
    return static_cast<std::size_t>(std::count_if(record.history.begin(), record.history.end(), [&](const publication_entry &entry) {
        return entry.publicationId == publicationId;
    }));
}

/** Returns the distinct outcomes of a race. Used as a tag, so that a run shows how often each outcome occurred. */
std::string outcomeNames(const race_record &record)
{
    std::set<std::string> kinds;
    for (const auto &attempts : record.attempts) {
        for (const auto &item : attempts) {
            kinds.insert(std::string{toToken(item.result.status)} + (item.result.rebased ? " by rebase" : ""));
        }
    }
    std::string text;
    for (const auto &kind : kinds) {
        text += kind + " ";
    }
    return text;
}

rc::Gen<std::vector<std::vector<rate_edit>>> genEdits()
{
    const auto genEdit = rc::gen::build<rate_edit>(rc::gen::set(&rate_edit::workspace, rc::gen::element<std::size_t>(0, 1, 2, 3)),
                                                   rc::gen::set(&rate_edit::rate, rc::gen::element(1.0, 2.0, 300.0)));
    const auto genOperatorEdits = rc::gen::resize(3, rc::gen::nonEmpty(rc::gen::container<std::vector<rate_edit>>(genEdit)));
    return rc::gen::resize(4, rc::gen::nonEmpty(rc::gen::container<std::vector<std::vector<rate_edit>>>(genOperatorEdits)));
}

race_record arbitraryRace()
{
    const auto edits = *genEdits();
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto faultFraction = *rc::gen::element(0.0, 0.1, 0.25, 0.5);
    return runConcurrentPublications(edits, seed, faultFraction);
}

} // namespace

TEST_CASE("publication under races and outages and lost answers")
{
    rc::prop("an accepted publication is in the history exactly once and a refused one never", [] {
        const auto record = arbitraryRace();
        RC_TAG(outcomeNames(record));
        for (const auto &attempts : record.attempts) {
            for (const auto &item : attempts) {
                const auto count = occurrences(record, item.request.publicationId);
                switch (item.result.status) {
                case publication_status::Accepted:
                    RC_ASSERT(count == 1U);
                    break;
                case publication_status::Unknown:
                    RC_ASSERT(count <= 1U);
                    break;
                default:
                    RC_ASSERT(count == 0U);
                }
            }
        }
    });

    rc::prop("an accepted publication has the revision that its result reports", [] {
        const auto record = arbitraryRace();
        for (const auto &attempts : record.attempts) {
            for (const auto &item : attempts) {
                if (item.result.status == publication_status::Accepted) {
                    const auto found = std::find_if(record.history.begin(), record.history.end(), [&](const publication_entry &entry) {
                        return entry.revision == item.result.revision;
                    });
                    RC_ASSERT(found != record.history.end());
                    RC_ASSERT(found->publicationId == item.request.publicationId);
                }
            }
        }
    });

    rc::prop("the head's revision never decreases and the revisions in the history strictly increase", [] {
        const auto record = arbitraryRace();
        RC_ASSERT(std::is_sorted(record.headRevisions.begin(), record.headRevisions.end()));
        for (std::size_t index{1}; index < record.history.size(); ++index) {
            RC_ASSERT(record.history[index - 1].revision < record.history[index].revision);
        }
        RC_ASSERT(record.history.back().revision == record.headRevisions.back());
    });

    rc::prop("each revision is valid and differs from the previous one only in objects that its publication edited", [] {
        const auto record = arbitraryRace();
        std::map<std::string, publication_request> requests;
        for (const auto &attempts : record.attempts) {
            for (const auto &item : attempts) {
                requests.emplace(item.request.publicationId, item.request);
            }
        }
        for (std::size_t index{1}; index < record.history.size(); ++index) {
            const auto &entry = record.history[index];
            const auto &before = record.snapshots.at(record.history[index - 1].revision);
            const auto &after = record.snapshots.at(entry.revision);
            const auto &request = requests.at(entry.publicationId);
            const auto base = record.snapshots.at(request.baseRevision);
            const auto changesRequested = diffConfigurations(base, request.desired);
            const auto changesMade = diffConfigurations(before, after);
            RC_ASSERT(after.revision == entry.revision);
            RC_ASSERT(checkConfiguration(after).empty());
            RC_ASSERT(!changesMade.empty());
            RC_ASSERT(commonObjects(changesMade, changesRequested).size() == changesMade.size());
            // No object that another publication changed since the base is overwritten with another value.
            for (std::size_t earlier{1}; earlier < index; ++earlier) {
                if (record.history[earlier].revision > request.baseRevision) {
                    const auto otherChanges = diffConfigurations(record.snapshots.at(record.history[earlier - 1].revision),
                                                                 record.snapshots.at(record.history[earlier].revision));
                    RC_ASSERT(commonObjects(otherChanges, changesMade).empty());
                }
            }
        }
    });

    rc::prop("publishing again after an unknown outcome never applies the same change twice", [](std::uint64_t seed) {
        fake_store store;
        RC_ASSERT(publish(store.call(), {"first", 0, example(), "operator", microseconds{0}, 0}).status == publication_status::Accepted);
        auto desired = example();
        desired.workspaces[0].rate = 2;
        publication_result result;
        racing_operators scheduler{store, seed, 0.5};
        scheduler.run({[&](const store_call &call) {
                          result = publish(call, {"one", 1, desired, "operator", microseconds{0}, 0});
                      }},
                      [] {});
        const auto retryResult = publish(store.call(), {"two", 1, desired, "operator", microseconds{0}, 0});
        const auto history = loadHistory(store.call()).history;
        RC_ASSERT(history.size() == 2U);
        RC_ASSERT(retryResult.status == (history[1].publicationId == "one" ? publication_status::Unchanged : publication_status::Accepted));
    });
}

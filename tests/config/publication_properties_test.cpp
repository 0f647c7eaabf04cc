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
    static const auto value = readConfiguration({{"x", testing::readExample(testing::ExampleNames[0])}}).value;
    return value;
}

/** One operator's work: publications of edited sets, each from the base that it saw last. */
struct edit
{
    std::size_t workspace;
    double rate;
};

struct attempt
{
    publication_request request;
    publication_result result;
};

/** Everything that was seen while operators raced. */
struct race
{
    std::vector<std::vector<attempt>> attempts;
    /** All values of the head and every snapshot, in the order of their writing. */
    std::vector<std::uint64_t> headRevisions;
    std::map<std::uint64_t, configuration> snapshots;
    std::vector<publication_entry> history;
};

std::string idOf(std::size_t operatorIndex, std::size_t editIndex)
{
    return "publication-" + std::to_string(operatorIndex) + "-" + std::to_string(editIndex);
}

void observe(fake_store &store, race &seen)
{
    const auto reading = loadHistory(store.call());
    RC_ASSERT(!reading.error);
    const auto revision = reading.head ? reading.head->revision : 0;
    seen.headRevisions.push_back(revision);
    seen.history = reading.history;
    if (revision > 0 && !seen.snapshots.contains(revision)) {
        for (const auto &entry : reading.history) {
            const auto snapshot = loadRevision(store.call(), entry.revision);
            if (snapshot.value) {
                seen.snapshots.emplace(entry.revision, *snapshot.value);
            }
        }
    }
}

/** Publishes the edits one after another; the base is what the operator read at the start or after its own success. */
void work(const store_call &call, const std::vector<edit> &edits, std::size_t operatorIndex, std::vector<attempt> &attempts)
{
    std::uint64_t base{1};
    auto known = example();
    for (std::size_t index{0}; index < edits.size(); ++index) {
        auto desired = known;
        desired.workspaces[edits[index].workspace].rate = edits[index].rate;
        const publication_request request{idOf(operatorIndex, index), base, desired, "operator", microseconds{0}, 0};
        const auto result = publish(call, request);
        attempts.push_back({request, result});
        if (result.status == publication_status::Accepted && !result.rebased) {
            base = result.revision;
            known = desired;
        }
    }
}

race runRace(const std::vector<std::vector<edit>> &edits, std::uint64_t seed, double faultFraction)
{
    fake_store store;
    race seen;
    const auto first = publish(store.call(), {"first", 0, example(), "operator", microseconds{0}, 0});
    RC_ASSERT(first.status == publication_status::Accepted);
    observe(store, seen);
    seen.attempts.resize(edits.size());
    std::vector<racing_operators::operator_function> operators;
    for (std::size_t index{0}; index < edits.size(); ++index) {
        operators.emplace_back([&edits, &seen, index](const store_call &call) {
            work(call, edits[index], index, seen.attempts[index]);
        });
    }
    racing_operators{store, seed, faultFraction}.run(operators, [&] {
        observe(store, seen);
    });
    return seen;
}

std::size_t occurrences(const race &seen, const std::string &publicationId)
{
    return static_cast<std::size_t>(std::count_if(seen.history.begin(), seen.history.end(), [&](const publication_entry &entry) {
        return entry.publicationId == publicationId;
    }));
}

/** Names the kinds of outcome that a race had, so that a run shows how often each came about. */
std::string outcomesOf(const race &seen)
{
    std::set<std::string> kinds;
    for (const auto &attempts : seen.attempts) {
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

rc::Gen<std::vector<std::vector<edit>>> genEdits()
{
    const auto genEdit = rc::gen::build<edit>(rc::gen::set(&edit::workspace, rc::gen::element<std::size_t>(0, 1, 2, 3)),
                                              rc::gen::set(&edit::rate, rc::gen::element(1.0, 2.0, 300.0)));
    const auto genWork = rc::gen::resize(3, rc::gen::nonEmpty(rc::gen::container<std::vector<edit>>(genEdit)));
    return rc::gen::resize(4, rc::gen::nonEmpty(rc::gen::container<std::vector<std::vector<edit>>>(genWork)));
}

race arbitraryRace()
{
    const auto edits = *genEdits();
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto faultFraction = *rc::gen::element(0.0, 0.1, 0.25, 0.5);
    return runRace(edits, seed, faultFraction);
}

} // namespace

TEST_CASE("publication under races and outages and lost answers")
{
    rc::prop("an accepted publication is in the chain exactly once and a refused one never", [] {
        const auto seen = arbitraryRace();
        RC_TAG(outcomesOf(seen));
        for (const auto &attempts : seen.attempts) {
            for (const auto &item : attempts) {
                const auto count = occurrences(seen, item.request.publicationId);
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

    rc::prop("an accepted publication has the revision that it was told", [] {
        const auto seen = arbitraryRace();
        for (const auto &attempts : seen.attempts) {
            for (const auto &item : attempts) {
                if (item.result.status == publication_status::Accepted) {
                    const auto found = std::find_if(seen.history.begin(), seen.history.end(), [&](const publication_entry &entry) {
                        return entry.revision == item.result.revision;
                    });
                    RC_ASSERT(found != seen.history.end());
                    RC_ASSERT(found->publicationId == item.request.publicationId);
                }
            }
        }
    });

    rc::prop("the head's revision never decreases and the chain is strictly increasing", [] {
        const auto seen = arbitraryRace();
        RC_ASSERT(std::is_sorted(seen.headRevisions.begin(), seen.headRevisions.end()));
        for (std::size_t index{1}; index < seen.history.size(); ++index) {
            RC_ASSERT(seen.history[index - 1].revision < seen.history[index].revision);
        }
        RC_ASSERT(seen.history.back().revision == seen.headRevisions.back());
    });

    rc::prop("each revision is valid and differs from the one before only in objects that its publisher edited", [] {
        const auto seen = arbitraryRace();
        std::map<std::string, publication_request> requests;
        for (const auto &attempts : seen.attempts) {
            for (const auto &item : attempts) {
                requests.emplace(item.request.publicationId, item.request);
            }
        }
        for (std::size_t index{1}; index < seen.history.size(); ++index) {
            const auto &entry = seen.history[index];
            const auto &before = seen.snapshots.at(seen.history[index - 1].revision);
            const auto &after = seen.snapshots.at(entry.revision);
            const auto &request = requests.at(entry.publicationId);
            const auto base = seen.snapshots.at(request.baseRevision);
            const auto intended = diffConfigurations(base, request.desired);
            const auto done = diffConfigurations(before, after);
            RC_ASSERT(after.revision == entry.revision);
            RC_ASSERT(checkConfiguration(after).empty());
            RC_ASSERT(!done.empty());
            RC_ASSERT(commonObjects(done, intended).size() == done.size());
            // No object that others touched since the base is overwritten with another value.
            for (std::size_t earlier{1}; earlier < index; ++earlier) {
                if (seen.history[earlier].revision > request.baseRevision) {
                    const auto theirs = diffConfigurations(seen.snapshots.at(seen.history[earlier - 1].revision),
                                                           seen.snapshots.at(seen.history[earlier].revision));
                    RC_ASSERT(commonObjects(theirs, done).empty());
                }
            }
        }
    });

    rc::prop("after an unknown outcome running again never puts the same change in force twice", [](std::uint64_t seed) {
        fake_store store;
        RC_ASSERT(publish(store.call(), {"first", 0, example(), "operator", microseconds{0}, 0}).status == publication_status::Accepted);
        auto desired = example();
        desired.workspaces[0].rate = 2;
        publication_result result;
        racing_operators race{store, seed, 0.5};
        race.run({[&](const store_call &call) {
                     result = publish(call, {"one", 1, desired, "operator", microseconds{0}, 0});
                 }},
                 [] {});
        const auto again = publish(store.call(), {"two", 1, desired, "operator", microseconds{0}, 0});
        const auto history = loadHistory(store.call()).history;
        RC_ASSERT(history.size() == 2U);
        RC_ASSERT(again.status == (history[1].publicationId == "one" ? publication_status::Unchanged : publication_status::Accepted));
    });
}

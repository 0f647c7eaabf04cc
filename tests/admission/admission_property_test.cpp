#include "ragwortpin/admission/admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>
#include <set>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr std::uint32_t Slots{5};

enum class step_kind : unsigned char {
    Offer,
    Complete,
    Cancel,
    Expire,
    Resize,
};

/** One step of a random interleaving. */
struct step
{
    step_kind kind{step_kind::Offer};
    unsigned rank{0};
    unsigned workspaceIndex{0};
    unsigned depth{0};
    unsigned selector{0};
    unsigned advance{0};
};

std::ostream &operator<<(std::ostream &out, const step &value)
{
    return out << '{' << static_cast<int>(value.kind) << " rank " << value.rank << " workspace " << value.workspaceIndex << " depth "
               << value.depth << " selector " << value.selector << " +" << value.advance << "us}";
}

rc::Gen<std::vector<step>> steps()
{
    const auto kind = rc::gen::weightedElement<step_kind>(
        {{8, step_kind::Offer}, {4, step_kind::Complete}, {1, step_kind::Cancel}, {1, step_kind::Expire}, {1, step_kind::Resize}});
    const auto one = rc::gen::build<step>(rc::gen::set(&step::kind, kind),
                                          rc::gen::set(&step::rank, rc::gen::inRange(0U, 4U)),
                                          rc::gen::set(&step::workspaceIndex, rc::gen::inRange(0U, 3U)),
                                          rc::gen::set(&step::depth, rc::gen::inRange(0U, 3U)),
                                          rc::gen::set(&step::selector, rc::gen::inRange(0U, 100U)),
                                          rc::gen::set(&step::advance, rc::gen::inRange(0U, 30000U)));
    return rc::gen::container<std::vector<step>>(one);
}

/** Model that tracks running and waiting requests from the decisions alone, and checks them against the state. */
struct admission_model
{
    admission_state state{makeAdmission(admission_options{}, Slots, 100, false, time_point{})};
    time_point now{};
    request_id lastId{0};
    std::map<request_id, unsigned> running;
    std::map<request_id, unsigned> waiting;

    void recordStart(request_id id)
    {
        RC_ASSERT(waiting.contains(id));
        RC_ASSERT(!running.contains(id));
        const unsigned rank{waiting.at(id)};
        waiting.erase(id);
        const auto hasMoreImportant = std::any_of(waiting.begin(), waiting.end(), [&](const auto &other) {
            return other.second < rank;
        });
        RC_ASSERT(!hasMoreImportant);
        running.emplace(id, rank);
    }

    void removeWaiting(request_id id)
    {
        RC_ASSERT(waiting.erase(id) == 1);
    }

    void apply(const admission_changes &changes)
    {
        for (const request_id id : changes.expired) {
            removeWaiting(id);
        }
        for (const request_id id : changes.started) {
            recordStart(id);
        }
    }

    void displace(const std::vector<request_id> &ids)
    {
        for (const request_id id : ids) {
            const unsigned rank{waiting.at(id)};
            removeWaiting(id);
            const auto hasLessImportant = std::any_of(waiting.begin(), waiting.end(), [&](const auto &other) {
                return other.second > rank;
            });
            RC_ASSERT(!hasLessImportant);
        }
    }

    void offerOne(const step &next)
    {
        admission_request request;
        request.id = ++lastId;
        request.rank = next.rank;
        request.workspace = "workspace-" + std::to_string(next.workspaceIndex);
        request.depth = next.depth;
        request.deadline = now + milliseconds{next.selector};
        const auto decision = offer(state, request, now);
        waiting.emplace(request.id, request.rank);
        apply(decision.changes);
        if (decision.verdict == admission_verdict::Started) {
            recordStart(request.id);
        } else if (decision.verdict == admission_verdict::Refused && decision.refusal == refusal_kind::Overloaded) {
            displace({request.id});
        } else if (decision.verdict == admission_verdict::Refused) {
            removeWaiting(request.id);
        }
        displace(decision.displaced);
    }

    [[nodiscard]] static request_id pickFrom(const std::map<request_id, unsigned> &ids, unsigned selector)
    {
        return std::next(ids.begin(), static_cast<std::ptrdiff_t>(selector % ids.size()))->first;
    }

    void cancelOne(unsigned selector)
    {
        auto &from = selector % 2 == 0 && !waiting.empty() ? waiting : running;
        if (!from.empty()) {
            const request_id id{pickFrom(from, selector)};
            from.erase(id);
            apply(cancel(state, id, now));
        }
    }

    void completeOne(unsigned selector)
    {
        if (!running.empty()) {
            const request_id id{pickFrom(running, selector)};
            running.erase(id);
            apply(complete(state, completion{id, {}, selector % 7 == 0, selector % 11 == 0}, now));
        }
    }

    void applyStep(const step &next)
    {
        now += microseconds{next.advance};
        switch (next.kind) {
        case step_kind::Offer:
            offerOne(next);
            break;
        case step_kind::Complete:
            completeOne(next.selector);
            break;
        case step_kind::Cancel:
            cancelOne(next.selector);
            break;
        case step_kind::Expire:
            apply(expire(state, now));
            break;
        case step_kind::Resize:
            apply(setCapacity(state, next.selector % (Slots + 1), 100, now));
            break;
        }
    }

    void check(std::size_t runningBefore) const
    {
        RC_ASSERT(state.running.size() == running.size());
        RC_ASSERT(state.queue.size() == waiting.size());
        const std::size_t limit{currentLimit(state.limit)};
        RC_ASSERT(running.size() <= std::max(limit, runningBefore));
        RC_ASSERT(limit <= Slots);
        RC_ASSERT(waiting.size() <= 4 * Slots);
        std::uint32_t queued{0};
        for (const auto &account : state.accounts) {
            queued += account.queued;
        }
        RC_ASSERT(queued == waiting.size());
    }
};

} // namespace

TEST_CASE("slots and queue entries are neither leaked nor counted twice, and more important requests start first")
{
    rc::prop("arbitrary interleavings of offers, completions, cancellations, expiries and capacity changes", [] {
        admission_model model;
        for (const auto &next : *steps()) {
            const std::size_t before{model.running.size()};
            model.applyStep(next);
            model.check(before);
        }
        const auto &counters = model.state.counters;
        const auto ended = counters.completed + counters.cancelled + counters.displaced + counters.refusedOverloaded
            + counters.refusedDeadline + counters.expired + model.running.size() + model.waiting.size();
        RC_ASSERT(ended == model.lastId);
    });
}

TEST_CASE("a saturated target shares its work among workspaces by weight")
{
    rc::prop("two workspaces with different weights and different work per request", [] {
        const double weight{static_cast<double>(*rc::gen::inRange(1, 5))};
        const auto work = milliseconds{*rc::gen::inRange(1, 6) * 4};
        admission_state state{makeAdmission(admission_options{}, Slots, 100, false, time_point{})};
        std::map<std::string, double> served;
        std::vector<std::pair<time_point, request_id>> running;
        std::map<request_id, std::string> owner;
        request_id id{0};
        const auto workPerRequest = [&](const std::string &name) {
            return name == "heavy" ? work : milliseconds{4};
        };
        const auto recordRunning = [&](request_id started, time_point now) {
            running.emplace_back(now + workPerRequest(owner.at(started)), started);
            std::sort(running.begin(), running.end());
        };
        const auto offerFrom = [&](const std::string &name, double share, time_point now) {
            const admission_request request{++id, 1, name, share, 0, now + seconds{60}, {}, 1.0};
            owner[request.id] = name;
            const auto decision = offer(state, request, now);
            for (const request_id started : decision.changes.started) {
                recordRunning(started, now);
            }
            if (decision.verdict == admission_verdict::Started) {
                recordRunning(request.id, now);
            }
        };
        time_point now{};
        while (now < time_point{seconds{20}}) {
            for (int more{0}; more < 3; ++more) {
                offerFrom("heavy", weight, now);
                offerFrom("light", 1.0, now);
            }
            const auto [at, finished] = running.front();
            running.erase(running.begin());
            now = at;
            served[owner.at(finished)] += toSeconds(workPerRequest(owner.at(finished)));
            for (const request_id started : complete(state, completion{finished, {}, false, false}, now).started) {
                recordRunning(started, now);
            }
        }
        const double share{served["heavy"] / (served["heavy"] + served["light"])};
        RC_ASSERT(share > weight / (weight + 1.0) - 0.05);
        RC_ASSERT(share < weight / (weight + 1.0) + 0.05);
    });
}

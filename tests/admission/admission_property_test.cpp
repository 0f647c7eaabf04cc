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
    unsigned tenant{0};
    unsigned depth{0};
    unsigned pick{0};
    unsigned advance{0};
};

std::ostream &operator<<(std::ostream &out, const step &value)
{
    return out << '{' << static_cast<int>(value.kind) << " rank " << value.rank << " tenant " << value.tenant << " depth " << value.depth
               << " pick " << value.pick << " +" << value.advance << "us}";
}

rc::Gen<std::vector<step>> steps()
{
    const auto kind = rc::gen::weightedElement<step_kind>(
        {{8, step_kind::Offer}, {4, step_kind::Complete}, {1, step_kind::Cancel}, {1, step_kind::Expire}, {1, step_kind::Resize}});
    const auto one = rc::gen::build<step>(rc::gen::set(&step::kind, kind),
                                          rc::gen::set(&step::rank, rc::gen::inRange(0U, 4U)),
                                          rc::gen::set(&step::tenant, rc::gen::inRange(0U, 3U)),
                                          rc::gen::set(&step::depth, rc::gen::inRange(0U, 3U)),
                                          rc::gen::set(&step::pick, rc::gen::inRange(0U, 100U)),
                                          rc::gen::set(&step::advance, rc::gen::inRange(0U, 30000U)));
    return rc::gen::container<std::vector<step>>(one);
}

/** What a careful observer of the decisions knows. */
struct observer
{
    admission_state state{makeAdmission(admission_options{}, Slots, 100, false, time_point{})};
    time_point now{};
    request_id lastId{0};
    std::map<request_id, unsigned> running;
    std::map<request_id, unsigned> waiting;

    void start(request_id id)
    {
        RC_ASSERT(waiting.contains(id));
        RC_ASSERT(!running.contains(id));
        const unsigned rank{waiting.at(id)};
        waiting.erase(id);
        const auto better = std::any_of(waiting.begin(), waiting.end(), [&](const auto &other) {
            return other.second < rank;
        });
        RC_ASSERT(!better);
        running.emplace(id, rank);
    }

    void drop(request_id id)
    {
        RC_ASSERT(waiting.erase(id) == 1);
    }

    void apply(const admission_changes &changes)
    {
        for (const request_id id : changes.expired) {
            drop(id);
        }
        for (const request_id id : changes.started) {
            start(id);
        }
    }

    void displace(const std::vector<request_id> &ids)
    {
        for (const request_id id : ids) {
            const unsigned rank{waiting.at(id)};
            drop(id);
            const auto worse = std::any_of(waiting.begin(), waiting.end(), [&](const auto &other) {
                return other.second > rank;
            });
            RC_ASSERT(!worse);
        }
    }

    void offerOne(const step &next)
    {
        admission_request request;
        request.id = ++lastId;
        request.rank = next.rank;
        request.workspace = "workspace-" + std::to_string(next.tenant);
        request.depth = next.depth;
        request.deadline = now + milliseconds{next.pick};
        const auto decision = offer(state, request, now);
        waiting.emplace(request.id, request.rank);
        apply(decision.changes);
        if (decision.verdict == admission_verdict::Started) {
            start(request.id);
        } else if (decision.verdict == admission_verdict::Refused && decision.refusal == refusal_kind::Overloaded) {
            displace({request.id});
        } else if (decision.verdict == admission_verdict::Refused) {
            drop(request.id);
        }
        displace(decision.displaced);
    }

    [[nodiscard]] static request_id pickFrom(const std::map<request_id, unsigned> &ids, unsigned pick)
    {
        return std::next(ids.begin(), static_cast<std::ptrdiff_t>(pick % ids.size()))->first;
    }

    void cancelOne(unsigned pick)
    {
        auto &from = pick % 2 == 0 && !waiting.empty() ? waiting : running;
        if (!from.empty()) {
            const request_id id{pickFrom(from, pick)};
            from.erase(id);
            apply(cancel(state, id, now));
        }
    }

    void completeOne(unsigned pick)
    {
        if (!running.empty()) {
            const request_id id{pickFrom(running, pick)};
            running.erase(id);
            apply(complete(state, completion{id, {}, pick % 7 == 0, pick % 11 == 0}, now));
        }
    }

    void take(const step &next)
    {
        now += microseconds{next.advance};
        switch (next.kind) {
        case step_kind::Offer:
            offerOne(next);
            break;
        case step_kind::Complete:
            completeOne(next.pick);
            break;
        case step_kind::Cancel:
            cancelOne(next.pick);
            break;
        case step_kind::Expire:
            apply(expire(state, now));
            break;
        case step_kind::Resize:
            apply(setCapacity(state, next.pick % (Slots + 1), 100, now));
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

TEST_CASE("slots and queue places are neither leaked nor counted twice and the order of importance holds")
{
    rc::prop("arbitrary interleavings of offers, completions, cancellations and time", [] {
        observer seen;
        for (const auto &next : *steps()) {
            const std::size_t before{seen.running.size()};
            seen.take(next);
            seen.check(before);
        }
        const auto &counters = seen.state.counters;
        const auto ended = counters.completed + counters.cancelled + counters.displaced + counters.refusedOverloaded
            + counters.refusedDeadline + counters.expired + seen.running.size() + seen.waiting.size();
        RC_ASSERT(ended == seen.lastId);
    });
}

TEST_CASE("a saturated target serves workspaces by weighted work")
{
    rc::prop("two workspaces with different weights and different work per request", [] {
        const double weight{static_cast<double>(*rc::gen::inRange(1, 5))};
        const auto work = milliseconds{*rc::gen::inRange(1, 6) * 4};
        admission_state state{makeAdmission(admission_options{}, Slots, 100, false, time_point{})};
        std::map<std::string, double> served;
        std::vector<std::pair<time_point, request_id>> running;
        std::map<request_id, std::string> owner;
        request_id id{0};
        const auto lengthOf = [&](const std::string &name) {
            return name == "heavy" ? work : milliseconds{4};
        };
        const auto begin = [&](request_id started, time_point now) {
            running.emplace_back(now + lengthOf(owner.at(started)), started);
            std::sort(running.begin(), running.end());
        };
        const auto refill = [&](const std::string &name, double share, time_point now) {
            const admission_request request{++id, 1, name, share, 0, now + seconds{60}, {}, 1.0};
            owner[request.id] = name;
            const auto decision = offer(state, request, now);
            for (const request_id started : decision.changes.started) {
                begin(started, now);
            }
            if (decision.verdict == admission_verdict::Started) {
                begin(request.id, now);
            }
        };
        time_point now{};
        while (now < time_point{seconds{20}}) {
            for (int more{0}; more < 3; ++more) {
                refill("heavy", weight, now);
                refill("light", 1.0, now);
            }
            const auto [at, finished] = running.front();
            running.erase(running.begin());
            now = at;
            served[owner.at(finished)] += toSeconds(lengthOf(owner.at(finished)));
            for (const request_id started : complete(state, completion{finished, {}, false, false}, now).started) {
                begin(started, now);
            }
        }
        const double share{served["heavy"] / (served["heavy"] + served["light"])};
        RC_ASSERT(share > weight / (weight + 1.0) - 0.05);
        RC_ASSERT(share < weight / (weight + 1.0) + 0.05);
    });
}

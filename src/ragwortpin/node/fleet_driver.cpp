#include "ragwortpin/node/fleet_driver.h"

#include "ragwortpin/runtime/logging.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

namespace ragwortpin {

namespace {

/** Time constant of the arrival average. Short enough that a surge shows within a few ticks. */
constexpr milliseconds DemandSmoothingTime{800};
/** Arrivals per second below which a route and rank are no longer tracked. */
constexpr double NegligibleDemand{0.02};

/** Largest numbers of profiles and demands in one digest. */
constexpr std::size_t MaxProfiles{12};
constexpr std::size_t MaxDemands{24};

/** Returns the profiles with the most runs, as many as a digest has at most. */
std::vector<route_profile> mostUsedProfiles(const call_graph &graph)
{
    auto profiles = profilesOf(graph);
    std::sort(profiles.begin(), profiles.end(), [](const route_profile &left, const route_profile &right) {
        return left.runs > right.runs;
    });
    profiles.resize(std::min(profiles.size(), MaxProfiles));
    return profiles;
}

std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

fleet_driver::fleet_driver(boost::asio::io_context &context,
                           const node_settings &settings,
                           fleet_driver_outputs outputs,
                           metrics_registry &metrics)
    : m_changed{context}
    , m_digests{startDigests({}, settings.instance, settings.availabilityZone)}
    , m_rates{makeSharedRates({}, monotonicNow())}
    , m_repeatLimits{settings.overload.fleetRepeats}
    , m_outputs{std::move(outputs)}
    , m_members{std::make_shared<membership_view>()}
    , m_random{std::random_device{}()}
    , m_incarnation{randomIncarnation()}
    , m_malformed{metrics.counterFor("ragwortpin_digests_malformed_total")}
    , m_shedByPlan{metrics.counterFor("ragwortpin_shed_by_plan_total")}
    , m_rateWaits{metrics.counterFor("ragwortpin_rate_waits_total")}
    , m_repeatsGranted{metrics.counterFor("ragwortpin_repeats_granted_total")}
    , m_repeatsRefused{metrics.counterFor("ragwortpin_repeats_refused_total")}
    , m_headroomRequests{metrics.counterFor("ragwortpin_rate_room_asked_total")}
    , m_headroomBorrowed{metrics.counterFor("ragwortpin_rate_room_borrowed_total")}
{ }

void fleet_driver::updateConfiguration(std::shared_ptr<const configuration_index> index)
{
    m_index = std::move(index);
    auto limits = m_index->value.workspaces;
    const auto repeats = repeatBuckets(*m_index, m_fleetLoad, m_repeatLimits);
    limits.insert(limits.end(), repeats.begin(), repeats.end());
    applyLimits(m_rates, limits, monotonicNow());
}

bool fleet_driver::admit(std::string_view route, unsigned rank)
{
    const auto id = routeId(route);
    ++m_arrivals[{id, rank}].count;
    const bool passed{admitByPlan(m_plan, id, rank)};
    if (!passed) {
        m_shedByPlan.add();
    }
    return passed;
}

void fleet_driver::updateMembers(std::shared_ptr<const membership_view> view)
{
    m_members = std::move(view);
    std::vector<std::string> names;
    for (const auto &record : m_members->instances) {
        if (record.name != m_digests.instance && record.state != instance_state::Gone) {
            names.push_back(record.name);
        }
    }
    setMembers(m_rates, m_digests.instance, names, monotonicNow());
}

void fleet_driver::receive(std::string_view sender, std::string_view payload)
{
    const auto now = monotonicNow();
    const auto digests = receiveDigests(m_digests, sender, *m_members, payload, now);
    if (!digests) {
        m_malformed.add();
        return;
    }
    for (const auto &digest : *digests) {
        applyReport(m_rates, digest.usage, now);
    }
}

void fleet_driver::tick(target_gateway &target)
{
    const auto now = monotonicNow();
    const duration elapsed{m_lastTick == time_point{} ? duration::zero() : now - m_lastTick};
    m_lastTick = now;
    ++m_tickCount;
    updateAllowances(m_rates, now);
    expireHeadroomRequests(m_pendingHeadroomRequests, now);
    decay(target.callGraph(), elapsed);
    smoothDemands(toSeconds(elapsed));
    const auto own = ownDigest(target);
    for (auto &output : tickDigests(m_digests, own, *m_members, now)) {
        m_outputs.sendDigests(std::move(output));
    }
    updateAdmissionPlan(own);
    m_changed.notifyAll();
}

void fleet_driver::smoothDemands(double elapsed)
{
    if (elapsed <= 0.0) {
        return;
    }
    const double gain{1.0 - std::exp(-elapsed / toSeconds(DemandSmoothingTime))};
    for (auto &[key, arrivalRate] : m_arrivals) {
        arrivalRate.requestsPerSecond += gain * (arrivalRate.count / elapsed - arrivalRate.requestsPerSecond);
        arrivalRate.count = 0;
    }
    std::erase_if(m_arrivals, [](const auto &entry) {
        return entry.second.requestsPerSecond < NegligibleDemand;
    });
}

void fleet_driver::updateAdmissionPlan(const node_digest &own)
{
    if (!m_index) {
        return;
    }
    fleet_load fleetLoad;
    const auto add = [&fleetLoad](const node_digest &digest, const std::vector<route_profile> &profiles) {
        if (!digest.service.empty()) {
            auto &load = fleetLoad.services[digest.service];
            load.limit += digest.limit;
            load.running += digest.running;
            load.queued += digest.queued;
        }
        for (const auto &profile : profiles) {
            fleetLoad.profiles.push_back({digest.service, profile});
        }
        fleetLoad.demands.insert(fleetLoad.demands.end(), digest.demands.begin(), digest.demands.end());
    };
    add(own, m_ownProfiles);
    for (const auto &[name, entry] : m_digests.entries) {
        add(entry.digest, entry.profiles);
    }
    const auto before = m_plan.plan;
    updatePlan(m_plan, *m_index, fleetLoad);
    logPlan(before, fleetLoad);
    m_fleetLoad = std::move(fleetLoad);
    for (const auto &bucket : repeatBuckets(*m_index, m_fleetLoad, m_repeatLimits)) {
        applyLimit(m_rates, bucket, monotonicNow());
    }
}

/** Logs each route that first hops start or stop shedding, with its cost and the load of each service behind it. */
void fleet_driver::logPlan(const admission_plan &before, const fleet_load &fleetLoad) const
{
    for (const auto &item : m_index->routes) {
        const auto id = routeId(item.definition.name);
        const auto isShed = [id](const admission_plan &plan) {
            return std::any_of(plan.admittedFractions.begin(), plan.admittedFractions.end(), [id](const auto &entry) {
                return entry.first.route == id;
            });
        };
        if (isShed(before) == isShed(m_plan.plan)) {
            continue;
        }
        std::string costs;
        for (const auto &[service, cost] : costOf(*m_index, fleetLoad, item.definition)) {
            const auto load = fleetLoad.services.find(service);
            costs += service + ':' + std::to_string(cost) + 's';
            if (load != fleetLoad.services.end()) {
                costs += '/' + std::to_string(static_cast<int>(load->second.running)) + '+'
                    + std::to_string(static_cast<int>(load->second.queued)) + " of " + std::to_string(static_cast<int>(load->second.limit));
            }
            costs += ' ';
        }
        logEvent(log_level::Info,
                 "plan_changed",
                 {{"route", item.definition.name}, {"shed", isShed(m_plan.plan) ? "true" : "false"}, {"costs", costs}});
    }
}

boost::asio::awaitable<rate_limit_result> fleet_driver::take(std::string workspace, std::shared_ptr<call_control> control)
{
    const auto id = workspaceId(workspace);
    const auto firstTick = m_tickCount;
    unsigned headroomRequests{0};
    auto decision = takeToken(m_rates, workspace, monotonicNow());
    while (!decision.admitted && !control->cancelled()) {
        if (decision.lacksHeadroom && headroomRequests < MaxHeadroomRequests && !isHeadroomRequested(m_pendingHeadroomRequests, id)) {
            requestHeadroomFromPeer(id, headroomRequests < MaxHeadroomRequestsInZone);
            ++headroomRequests;
        }
        const bool mayBorrow{decision.lacksHeadroom && isHeadroomRequested(m_pendingHeadroomRequests, id)};
        const bool mayWait{decision.mayWait && m_tickCount == firstTick};
        if (!mayBorrow && !mayWait) {
            break;
        }
        m_rateWaits.add();
        co_await m_changed.wait();
        if (!control->cancelled()) {
            decision = retakeToken(m_rates, workspace, monotonicNow());
        }
    }
    rate_limit_result answer{decision.admitted, decision.retryAfter, {}};
    if (!decision.admitted) {
        answer.reason = describeRate(workspace);
    }
    co_return answer;
}

boost::asio::awaitable<bool> fleet_driver::tryChargeRepeat(repeat_request request, std::shared_ptr<call_control> control)
{
    const auto costs = m_index ? repeatCosts(*m_index, m_fleetLoad, request) : std::map<std::string, std::size_t>{};
    std::vector<std::string> taken;
    bool isGranted{!costs.empty()};
    for (const auto &[service, tokens] : costs) {
        const auto bucket = repeatBucket(service);
        for (std::size_t token{0}; token < tokens && isGranted; ++token) {
            const auto answer = co_await take(bucket, control);
            isGranted = answer.admitted && m_rates.buckets.contains(workspaceId(bucket));
            if (isGranted) {
                taken.push_back(bucket);
            }
        }
    }
    if (!isGranted) {
        for (const auto &bucket : taken) {
            returnToken(m_rates, bucket);
        }
    }
    (isGranted ? m_repeatsGranted : m_repeatsRefused).add();
    co_return isGranted;
}

bool fleet_driver::requestHeadroomFromPeer(std::uint32_t workspace, bool prefersOwnZone)
{
    std::vector<const instance_record *> sameZone;
    std::vector<const instance_record *> all;
    for (const auto &record : m_members->instances) {
        if (record.name == m_digests.instance || record.state == instance_state::Gone) {
            continue;
        }
        all.push_back(&record);
        if (record.availabilityZone == m_digests.availabilityZone) {
            sameZone.push_back(&record);
        }
    }
    const auto &peers = prefersOwnZone && !sameZone.empty() ? sameZone : all;
    if (peers.empty()) {
        return false;
    }
    m_headroomRequests.add();
    m_outputs.sendLoan(*peers[m_random() % peers.size()], encode(requestHeadroom(m_pendingHeadroomRequests, workspace, monotonicNow())));
    return true;
}

void fleet_driver::receiveLoan(std::string_view sender, std::string_view payload)
{
    const auto message = decodeHeadroomMessage(payload);
    if (!message) {
        m_malformed.add();
        return;
    }
    if (message->isAnswer) {
        if (acceptHeadroom(m_rates, m_pendingHeadroomRequests, *message)) {
            m_headroomBorrowed.add(message->requests);
            m_changed.notifyAll();
        }
        return;
    }
    if (const auto *peer = findInstance(*m_members, sender)) {
        m_outputs.sendLoan(*peer, encode(answerHeadroomRequest(m_rates, *message, monotonicNow())));
    }
}

std::string fleet_driver::describeRate(std::string_view workspace) const
{
    const auto found = m_rates.buckets.find(workspaceId(workspace));
    if (found == m_rates.buckets.end()) {
        return {};
    }
    const auto &bucket = found->second;
    return "tokens " + std::to_string(bucket.level) + " of " + std::to_string(bucket.burst) + ", own allowance "
        + std::to_string(bucket.allowance) + ", unreported requests " + std::to_string(bucket.unreportedCount) + " of "
        + std::to_string(bucket.unreportedLimit) + ", rate " + std::to_string(bucket.rate) + "/s, fleet demand "
        + std::to_string(bucket.fleetDemand) + "/s, reporting peers " + std::to_string(countLivePeers(m_rates));
}

std::string fleet_driver::describePlan(std::string_view route, unsigned rank) const
{
    const auto planEntry = m_plan.plan.admittedFractions.find({routeId(route), rank});
    std::string reason{"rank " + std::to_string(rank) + ", admitted fraction "};
    reason += planEntry == m_plan.plan.admittedFractions.end() ? "1" : std::to_string(planEntry->second);
    for (const auto &[service, correction] : m_plan.capacityFactors) {
        reason += ", overloaded service " + service + " planned at " + std::to_string(correction) + " of its slots";
    }
    return reason;
}

node_digest fleet_driver::ownDigest(target_gateway &target)
{
    node_digest digest;
    digest.availabilityZone = m_digests.availabilityZone;
    if (const auto &admission = target.admission(); admission && target.acceptsRequests()) {
        digest.service = target.announced()->service;
        digest.limit = target.limit();
        digest.running = static_cast<std::uint32_t>(admission->running.size());
        digest.queued = target.waiting();
    }
    m_ownProfiles = digest.service.empty() ? std::vector<route_profile>{} : mostUsedProfiles(target.callGraph());
    if (m_tickCount % m_digests.options.profileRounds == 0) {
        digest.profiles = m_ownProfiles;
    }
    for (const auto &[key, arrivalRate] : m_arrivals) {
        digest.demands.push_back({key.route, key.rank, arrivalRate.requestsPerSecond});
    }
    std::sort(digest.demands.begin(), digest.demands.end(), [](const route_demand &left, const route_demand &right) {
        return left.requestsPerSecond > right.requestsPerSecond;
    });
    digest.demands.resize(std::min(digest.demands.size(), MaxDemands));
    const auto now = monotonicNow();
    auto listing = ownUsages(m_rates, now);
    digest.usage = {.instance = m_digests.instance,
                    .incarnation = m_incarnation,
                    .sequence = ++m_sequence,
                    .usages = std::move(listing.usages),
                    .isComplete = true};
    truncateToDatagram(digest);
    digest.usage.isComplete = digest.usage.usages.size() >= listing.changed;
    markReported(m_rates, digest.usage.usages, now);
    return digest;
}

} // namespace ragwortpin

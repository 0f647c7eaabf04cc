#include "ragwortpin/peers/control_loop.h"

#include "ragwortpin/membership/message_codec.h"
#include "ragwortpin/runtime/guard.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace ragwortpin::internal {

namespace {

namespace asio = boost::asio;

/** Number of random peers drawn in each tick for the configuration and the proof protocol. */
constexpr std::size_t SampledPeerCount{4};
/** Minimum interval between two membership snapshots. */
constexpr duration ViewInterval{milliseconds{100}};
constexpr duration CountersInterval{seconds{1}};

std::uint64_t initialIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<seconds>(wallClockNow()).count());
}

configuration_answer toAnswer(const std::optional<content_patch> &patch)
{
    if (!patch) {
        return {};
    }
    return {patch->revision, patch->digest, patch->baseRevision, patch->prefixBytes, patch->suffixBytes, patch->middle};
}

} // namespace

control_loop::control_loop(control_settings settings, control_callbacks callbacks)
    : m_settings{std::move(settings)}
    , m_callbacks{std::move(callbacks)}
    , m_random{m_settings.randomSeed}
    , m_timer{m_context}
    , m_spreadTimer{m_context}
    , m_channel{m_context,
                m_settings.secrets,
                [this](datagram &&received, const peer_address &from) {
                    receive(std::move(received), from);
                }}
    , m_pulls{m_settings.secrets, m_settings.spread.pullTimeout, [this](pull_reply reply) {
                  post(pull_reply_command{std::move(reply)});
              }}
{
    if (m_settings.self.incarnation == 0) {
        m_settings.self.incarnation = initialIncarnation();
    }
    const auto now = monotonicNow();
    m_membership = startMembership(now, m_settings.membership, m_settings.self, m_settings.seeds, m_random);
    m_spread = startSpread(now, m_settings.spread, m_settings.self.peersPort, m_random);
    m_spread.proof.options = m_settings.proof;
    m_view.store(std::make_shared<const membership_view>(membershipView(m_membership)));
}

control_loop::~control_loop()
{
    stop();
}

std::error_code control_loop::start()
{
    if (const auto error = m_channel.open({m_settings.self.address, m_settings.self.gossipPort})) {
        return error;
    }
    const auto now = monotonicNow();
    m_timers.subscribe(now, MembershipTickInterval, [this](time_point due) {
        tick(due);
    });
    m_timers.subscribe(now, ViewInterval, [this](time_point due) {
        publishView(due);
    });
    m_timers.subscribe(now, CountersInterval, [this](time_point) {
        publishCounters();
    });
    armTimer();
    m_thread = std::thread{&control_loop::run, this};
    m_pulls.start();
    return {};
}

void control_loop::stop()
{
    m_pulls.stop();
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_channel.close();
}

void control_loop::postDrain()
{
    asio::post(m_context, [this] {
        drainCommands();
    });
}

void control_loop::setZoneFilter(std::function<bool(const std::string &)> filter)
{
    const std::lock_guard lock{m_sharedDataMutex};
    m_zoneFilter = std::move(filter);
}

configuration_answer control_loop::getConfiguration(std::uint64_t baseRevision) const
{
    std::shared_ptr<const spread_state> servedState;
    {
        const std::lock_guard lock{m_sharedDataMutex};
        servedState = m_servedState;
    }
    return servedState ? toAnswer(answerPull(*servedState, baseRevision)) : configuration_answer{};
}

status_answer control_loop::getStatus() const
{
    status_answer answer;
    answer.name = m_settings.self.name;
    answer.revision = revision();
    answer.configuration = std::string{describe(status())};
    answer.instances = view()->instances.size();
    return answer;
}

control_counters control_loop::counters() const
{
    const std::lock_guard lock{m_sharedDataMutex};
    return m_counters;
}

void control_loop::run()
{
    const auto work = asio::make_work_guard(m_context);
    runGuardedLoop("control", m_context);
}

void control_loop::armTimer()
{
    const auto due = m_timers.nextDue();
    if (!due) {
        return;
    }
    m_timer.expires_after(std::max(*due - monotonicNow(), duration::zero()));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        runGuarded("control timers", [this] {
            m_timers.advance(monotonicNow());
        });
        armTimer();
    });
}

void control_loop::tick(time_point now)
{
    sendMembershipMessages(tickMembership(m_membership, now, m_random));
    tickSpread(now);
}

void control_loop::tickSpread(time_point now)
{
    perform(ragwortpin::tickSpread(m_spread, now, m_topology, samplePeers(m_membership, SampledPeerCount, m_random), m_random));
    m_status.store(spreadStatus(m_spread), std::memory_order_relaxed);
    m_monitor.observe(now, m_spread, m_topology.position);
    const auto pollDue = m_spread.isPolling ? m_spread.pollDeadline : nextPollDue(m_spread, m_topology.position);
    const auto due = std::min(pollDue, nextQuestionDue(m_spread.proof));
    if (due > now && due < now + MembershipTickInterval) {
        m_spreadTimer.expires_after(due - now);
        m_spreadTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                runGuarded("spread timer", [this] {
                    tickSpread(monotonicNow());
                });
            }
        });
    }
}

void control_loop::perform(const spread_actions &actions)
{
    for (const auto &output : actions.messages) {
        sendDatagram({&output.to, 1}, datagram_kind::Spread, encode(output.message));
    }
    for (const auto &output : actions.proofMessages) {
        sendDatagram({&output.to, 1}, datagram_kind::Proof, encode(output.message));
    }
    if (actions.pull) {
        startPull(*actions.pull);
    }
    if (actions.poll) {
        m_callbacks.readHead(m_spread.inForce.revision);
    }
}

void control_loop::publishView(time_point)
{
    if (m_publishedViewVersion == m_membership.viewVersion) {
        return;
    }
    m_publishedViewVersion = m_membership.viewVersion;
    auto view = std::make_shared<const membership_view>(membershipView(m_membership));
    m_topology = makeTopology(*view, m_settings.self.name, m_settings.self.availabilityZone);
    m_view.store(view);
    if (m_callbacks.membershipChanged) {
        m_callbacks.membershipChanged(view);
    }
}

void control_loop::publishCounters()
{
    const auto &channel = m_channel.counters();
    control_counters counters;
    counters.membership = m_membership.counters;
    counters.spread = m_spread.counters;
    counters.datagramsSent = channel.sent;
    counters.datagramsReceived = channel.received;
    counters.bytesSent = channel.bytesSent;
    counters.bytesReceived = channel.bytesReceived;
    counters.sendFailures = channel.sendFailures;
    counters.datagramsRefused = channel.refused;
    counters.datagramsStale = channel.stale;
    counters.messagesMalformed = m_messagesMalformed;
    counters.commandsRejected = m_commands.rejected();
    counters.pollBackoff = m_spread.pollBackoff;
    const auto now = monotonicNow();
    counters.peersPassedOver = static_cast<std::uint64_t>(std::ranges::count_if(m_spread.claims, [now](const revision_claim &claim) {
        return now < claim.notBefore;
    }));
    const std::lock_guard lock{m_sharedDataMutex};
    m_counters = counters;
}

void control_loop::drainCommands()
{
    while (auto next = m_commands.tryPop()) {
        runGuarded("control command", [this, &next] {
            execute(std::move(*next));
        });
    }
}

void control_loop::execute(command &&value)
{
    const auto now = monotonicNow();
    if (auto *change = std::get_if<own_record_command>(&value)) {
        change->record.revision = m_spread.inForce.revision;
        ragwortpin::setOwnRecord(m_membership, std::move(change->record));
    } else if (auto *seeds = std::get_if<seeds_command>(&value)) {
        ragwortpin::setSeeds(m_membership, std::move(seeds->seeds));
    } else if (const auto *head = std::get_if<head_reply_command>(&value)) {
        handleHead(head->reply);
        tickSpread(now);
    } else if (const auto *pull = std::get_if<pull_reply_command>(&value)) {
        auto content = handlePullReply(m_spread, now, pull->reply);
        m_monitor.observe(now, m_spread, m_topology.position, pull->reply.error);
        if (applyContent(std::move(content))) {
            perform(notifyApplied(m_spread, now, m_topology));
        }
    } else if (std::holds_alternative<hint_command>(value)) {
        m_monitor.recordSignal(now, change_signal::Watch);
        ragwortpin::requestPoll(m_spread);
        tickSpread(now);
    } else if (auto *send = std::get_if<send_command>(&value)) {
        for (auto &payload : send->payloads) {
            sendDatagram(send->to, send->kind, std::move(payload));
        }
    }
}

void control_loop::receive(datagram &&received, const peer_address &from)
{
    if (!isZoneAllowed(received.availabilityZone) || received.sender == m_settings.self.name) {
        return;
    }
    switch (received.kind) {
    case datagram_kind::Membership:
        receiveMembership(received, from);
        break;
    case datagram_kind::Spread:
        receiveSpread(received, from);
        break;
    case datagram_kind::Loans:
        if (m_callbacks.handleLoan) {
            m_callbacks.handleLoan(received, from);
        }
        break;
    case datagram_kind::Proof:
        receiveProof(received, from);
        break;
    case datagram_kind::Digest:
        if (m_callbacks.handleDigest) {
            m_callbacks.handleDigest(received);
        }
        break;
    }
}

void control_loop::receiveMembership(const datagram &received, const peer_address &from)
{
    const auto message = decodeMembershipMessage(received.payload);
    if (!message) {
        ++m_messagesMalformed;
        return;
    }
    sendMembershipMessages(handleMembershipMessage(m_membership, monotonicNow(), received.sender, from, *message, m_random));
    if (const auto *knownPeer = findPeer(m_membership, received.sender)) {
        recordPeerRevision(received.sender, message->revision, received.availabilityZone, {knownPeer->address, knownPeer->peersPort});
    }
}

void control_loop::receiveSpread(const datagram &received, const peer_address &from)
{
    const auto message = decodeSpreadMessage(received.payload);
    if (!message) {
        ++m_messagesMalformed;
        return;
    }
    recordPeerRevision(received.sender, message->revision, received.availabilityZone, {from.address, message->peersPort});
}

void control_loop::receiveProof(const datagram &received, const peer_address &from)
{
    const auto message = decodeProofMessage(received.payload);
    if (!message) {
        ++m_messagesMalformed;
        return;
    }
    const auto *peer = findPeer(m_membership, received.sender);
    const peer_address control = peer == nullptr ? peer_address{from.address, 0} : peer_address{peer->address, peer->peersPort};
    const revision_claim claim{received.sender, control, peer == nullptr ? 0 : message->revision, isOwnZone(received.availabilityZone), {}};
    const auto now = monotonicNow();
    if (message->revision > m_spread.inForce.revision) {
        m_monitor.recordSignal(now, change_signal::Claim);
    }
    perform(handleProofMessage(m_spread, now, claim, from, *message, m_topology, m_random));
    publishProof();
}

void control_loop::handleHead(const head_reply &reply)
{
    const auto now = monotonicNow();
    auto content = handleHeadReply(m_spread, now, m_topology.position, reply);
    if (reply.revision > m_spread.inForce.revision) {
        m_monitor.recordSignal(now, change_signal::Read);
    }
    applyContent(std::move(content));
    m_monitor.observeHead(now, m_spread, reply);
    perform(recordHeadProof(m_spread, now, reply, m_topology));
    publishProof();
    m_monitor.observe(now, m_spread, m_topology.position, reply.error);
}

void control_loop::publishProof()
{
    if (const auto provenAt = m_spread.proof.provenAt) {
        m_provenAt.store(provenAt->time_since_epoch().count(), std::memory_order_relaxed);
    }
}

void control_loop::recordPeerRevision(const std::string &peer, std::uint64_t revision, const std::string &zone, const peer_address &control)
{
    const auto now = monotonicNow();
    if (revision > m_spread.inForce.revision) {
        m_monitor.recordSignal(now, change_signal::Claim);
    }
    recordClaim(m_spread, now, {peer, control, revision, isOwnZone(zone), {}});
    const auto request = tickPull(m_spread, now, m_random);
    m_monitor.observe(now, m_spread, m_topology.position);
    if (request) {
        startPull(*request);
    }
}

void control_loop::sendMembershipMessages(const std::vector<membership_output> &outputs)
{
    for (const auto &output : outputs) {
        sendDatagram({&output.to, 1}, datagram_kind::Membership, encode(output.message));
    }
}

void control_loop::sendDatagram(std::span<const peer_address> to, datagram_kind kind, std::string payload)
{
    m_channel.send(to, {kind, m_settings.self.name, m_settings.self.availabilityZone, {}, std::move(payload)});
}

void control_loop::startPull(const pull_request &request)
{
    const auto *peer = findPeer(m_membership, request.peer);
    if (peer == nullptr || isZoneAllowed(peer->availabilityZone)) {
        m_pulls.enqueue(request);
    }
}

bool control_loop::applyContent(std::optional<configuration_content> content)
{
    if (!content) {
        return false;
    }
    const auto now = monotonicNow();
    if (!m_callbacks.applyConfiguration(*content, m_monitor.originOf(now, m_spread))) {
        recordRejected(m_spread, now);
        return false;
    }
    m_monitor.recordApplied();
    recordApplied(m_spread, now, std::move(*content));
    setOwnRevision(m_membership, m_spread.inForce.revision);
    m_revision.store(m_spread.inForce.revision, std::memory_order_relaxed);
    m_status.store(spread_status::InForce, std::memory_order_relaxed);
    auto servedState = std::make_shared<const spread_state>(m_spread);
    const std::lock_guard lock{m_sharedDataMutex};
    m_servedState = std::move(servedState);
    return true;
}

bool control_loop::isOwnZone(const std::string &zone) const
{
    return zone == m_settings.self.availabilityZone;
}

bool control_loop::isZoneAllowed(const std::string &zone) const
{
    const std::lock_guard lock{m_sharedDataMutex};
    return !m_zoneFilter || m_zoneFilter(zone);
}

} // namespace ragwortpin::internal

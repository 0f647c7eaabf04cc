#ifndef RAGWORTPIN_RIGHTS_RIGHTS_H
#define RAGWORTPIN_RIGHTS_RIGHTS_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/membership/view.h"
#include "ragwortpin/rights/bucket.h"
#include "ragwortpin/rights/fwd.h"
#include "ragwortpin/rights/messages.h"
#include "ragwortpin/rights/settings.h"
#include "ragwortpin/rights/slots.h"
#include "ragwortpin/store/store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** A message and the name of the instance to send it to. */
struct rights_envelope
{
    std::string to;
    rights_message message;

    bool operator==(const rights_envelope &) const = default;
};

/** A call to the store. Its reply must be passed to onStoreReply() with the same token. */
struct rights_store_call
{
    std::uint64_t token{0};
    store_request request;

    bool operator==(const rights_store_call &) const = default;
};

/** Messages and store calls that the driver has to send. */
struct rights_output
{
    std::vector<rights_envelope> messages;
    std::vector<rights_store_call> storeCalls;
};

/** Result of takeToken(). */
enum class token_verdict : unsigned char {
    Admitted,
    /** Call takeToken() again after the next message, or after retryAfter if none arrives before. */
    Wait,
    /** Refuse the request as not run with refusal_kind::RateExceeded, and send retryAfter as Retry-After. */
    Refused,
};

struct token_decision
{
    token_verdict verdict{token_verdict::Refused};
    duration retryAfter{0};

    bool operator==(const token_decision &) const = default;
};

/** Counters of the rate limiter since the start of the process. */
struct rights_counters
{
    std::uint64_t admitted{0};
    std::uint64_t refused{0};
    /** Requests that found no token at their first attempt. */
    std::uint64_t waited{0};
    std::uint64_t loansGranted{0};
    std::uint64_t loansExpired{0};
    std::uint64_t batchesGranted{0};
    /** Tokens that this node lost because their batch expired before they were spent. */
    std::uint64_t tokensExpired{0};
    std::uint64_t messagesIgnored{0};
    std::uint64_t slotsLost{0};

    bool operator==(const rights_counters &) const = default;
};

/** Tokens that one pool granted to this node, and the state of the requests to that pool. */
struct pool_account
{
    std::string pool;
    /** Number of the latest request. */
    std::uint64_t number{0};
    /** Number of the latest grant that was accepted. */
    std::uint64_t acceptedNumber{0};
    std::uint32_t tokens{0};
    time_point expiresAt;
    /** Whether the reply to the latest request is awaited. */
    bool awaitingReply{false};
    time_point requestedAt;
    /** Requests in a row that had no reply within the timeout. */
    std::uint32_t consecutiveTimeouts{0};
    /** The pool gets no request before this time, because it was short of tokens or did not reply. */
    time_point backoffUntil;
    /** Replies in a row that granted no token or did not meet the urgent demand. */
    std::uint32_t consecutiveShortfalls{0};
    /** Whether the pool asked for a report of spent tokens before the next request. */
    bool reportRequested{false};
    /** Tokens that the pool counts as held by this node, from the last report or grant. */
    std::uint32_t reportedTokens{0};
    time_point lastUsedAt;
};

/** A loan that was requested from a lender. */
struct pending_loan
{
    std::string lender;
    std::uint32_t attempts{0};
};

/** State of one workspace at this node. */
struct workspace_rights
{
    token_bucket bucket;
    /**
     * Names of the instances that act as pools of the workspace: nodes that borrow the rights of slot owners and grant tokens to other
     * nodes. The first one is the pool that this node lends its rights to, the others are those of the other availability zones. An
     * empty name means that the availability zone has no ready instance.
     */
    std::vector<std::string> poolNodes;
    std::vector<pool_account> accounts;
    /** Smoothed rate of admitted requests per second. */
    double demand{0.0};
    std::uint32_t takenSinceTick{0};
    /** Requests that got token_verdict::Wait and were neither admitted nor refused since. */
    std::uint32_t waitingRequests{0};
    /** Time of the last attempt that found no token. */
    time_point lastWaitAt;
    /** Incarnation of each borrower and the number of the latest loan to it. */
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> lastLoanNumbers;
    /** Loans that were requested and have no reply yet, by number. */
    std::map<std::uint64_t, pending_loan> pendingLoans;
    /** Time of the last loan offer to the pool. */
    time_point lastOfferAt;
    /** Whether the workspace is in the configuration. A removed workspace is kept until its rights, loans and batches have ended. */
    bool configured{false};
};

/** State of the rate limiter of one node. Not thread-safe. */
struct rights_state
{
    rights_settings settings;
    rights_identity self;
    std::shared_ptr<const configuration> config;
    std::shared_ptr<const membership_view> members;
    slot_table slots;
    std::map<std::string, workspace_rights, std::less<>> workspaces;
    /** Source of the numbers of loans, batch requests and store calls. */
    std::uint64_t nextNumber{1};
    time_point lastTickAt;
    time_point lastRenewalAt;
    /** Earliest time at which a slot of this node that is not usable yet becomes usable. */
    std::optional<time_point> nextRefreshAt;
    /** Random numbers for the choice of free slots and the jitter of store reads. */
    std::mt19937_64 random;
    bool leaving{false};
    rights_output outbox;
    rights_counters counters;
};

/** Creates the state of a node that has just started and bound its address. */
[[nodiscard]] rights_state makeRights(const rights_settings &settings, const rights_identity &self, time_point now);

/** Applies a configuration. Ignores a revision that is not newer than the current one. */
void onConfiguration(rights_state &state, std::shared_ptr<const configuration> config, time_point now);

/** Applies a new view of the membership. Pools are chosen among the instances in state Ready. */
void onMembers(rights_state &state, std::shared_ptr<const membership_view> members, time_point now);

/**
 * Takes one token of a workspace for a request that arrived at arrivedAt. Further attempts for the same request must pass the same
 * arrivedAt; an attempt counts as the first one if now is not later than arrivedAt.
 */
[[nodiscard]] token_decision takeToken(rights_state &state, std::string_view workspace, time_point arrivedAt, time_point now);

/** Handles a message from a peer. */
void onMessage(rights_state &state, const rights_message &message, time_point now);

/** Handles the reply to a store call or its failure. Ignores an unknown token. */
void onStoreReply(rights_state &state, std::uint64_t token, const store_reply &reply, time_point now);

/** Does periodic work: expires and renews rights, sends due requests and store calls. Must be called every 10 to 50 ms. */
void onTick(rights_state &state, time_point now);

/**
 * Starts to leave the fleet: makes no new loans or batches, returns borrowed rights and recalls lent ones, and releases the slots of
 * this node once no loan or batch of it can be in use.
 */
void beginRelease(rights_state &state, time_point now);

/** Returns whether a leaving node holds no rights, loans, batches or slots and no store call is pending, so that the process may end. */
[[nodiscard]] bool isReleaseComplete(const rights_state &state);

/** Returns the messages and store calls to send and clears them in the state. Must be called after each of the functions above. */
[[nodiscard]] rights_output takeOutput(rights_state &state);

} // namespace ragwortpin

#endif

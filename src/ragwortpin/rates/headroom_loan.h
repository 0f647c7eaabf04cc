#ifndef RAGWORTPIN_RATES_HEADROOM_LOAN_H
#define RAGWORTPIN_RATES_HEADROOM_LOAN_H

#include "ragwortpin/rates/fwd.h"
#include "ragwortpin/rates/shared_rates.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Number of peers that a node asks for headroom for one request before it refuses it. */
inline constexpr unsigned MaxHeadroomRequests{5};

/** Number of them that are asked in the node's own availability zone first; a zone's demand may exceed what all its nodes have left. */
inline constexpr unsigned MaxHeadroomRequestsInZone{2};

/**
 * Request to a peer for headroom in a workspace's bucket, or the answer to such a request. Headroom is the number of requests that a
 * node may admit before its peers have a report of them.
 */
struct headroom_message
{
    bool isAnswer{false};
    /** Chosen by the requesting node and repeated in the answer. */
    std::uint64_t number{0};
    /** See workspaceId(). */
    std::uint32_t workspace{0};
    /** Headroom in requests: the number wanted in a request, the number lent in an answer. */
    std::uint32_t requests{0};

    bool operator==(const headroom_message &) const = default;
};

/** Encodes a message as the payload of a datagram. */
[[nodiscard]] std::string encode(const headroom_message &message);

/** Decodes a payload. Returns nothing if it is malformed. */
[[nodiscard]] std::optional<headroom_message> decodeHeadroomMessage(std::string_view payload);

/** Headroom requests of this node that are not answered yet. */
struct pending_headroom_requests
{
    struct pending_request
    {
        std::uint64_t number{0};
        std::uint32_t workspace{0};
        time_point sentAt{};

        bool operator==(const pending_request &) const = default;
    };

    std::uint64_t lastNumber{0};
    std::vector<pending_request> pending;

    bool operator==(const pending_headroom_requests &) const = default;
};

/** Returns whether a headroom request for the workspace is pending. */
[[nodiscard]] bool isHeadroomRequested(const pending_headroom_requests &questions, std::uint32_t workspace) noexcept;

/** Records a new pending headroom request and returns the message to send. */
[[nodiscard]] headroom_message requestHeadroom(pending_headroom_requests &questions, std::uint32_t workspace, time_point now);

/** Removes requests that were not answered within the answer timeout. */
void expireHeadroomRequests(pending_headroom_requests &questions, time_point now);

/** Lends headroom that this node does not need itself and returns the answer to the peer's request. */
[[nodiscard]] headroom_message answerHeadroomRequest(shared_rates &rates, const headroom_message &question, time_point now);

/**
 * Adds the headroom of an answer and removes its request, so that no answer counts twice. Returns false if no pending request has the
 * number and workspace of the answer.
 */
bool acceptHeadroom(shared_rates &rates, pending_headroom_requests &questions, const headroom_message &answer);

} // namespace ragwortpin

#endif

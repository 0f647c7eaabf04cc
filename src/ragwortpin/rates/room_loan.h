#ifndef RAGWORTPIN_RATES_ROOM_LOAN_H
#define RAGWORTPIN_RATES_ROOM_LOAN_H

#include "ragwortpin/rates/fwd.h"
#include "ragwortpin/rates/shared_rates.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Asks a peer for room in a workspace's bucket, or answers such a question. */
struct room_message
{
    bool isAnswer{false};
    /** Chosen by the asking node; the answer repeats it. */
    std::uint64_t number{0};
    /** See workspaceId(). */
    std::uint32_t workspace{0};
    /** Requests: wanted in a question, lent in an answer. */
    std::uint32_t requests{0};

    bool operator==(const room_message &) const = default;
};

/** Encodes a message as the payload of a datagram. */
[[nodiscard]] std::string encode(const room_message &message);

/** Decodes a payload; nothing if it is malformed. */
[[nodiscard]] std::optional<room_message> decodeRoomMessage(std::string_view payload);

/** Questions that this node asked and that were not answered yet. */
struct room_questions
{
    struct question
    {
        std::uint64_t number{0};
        std::uint32_t workspace{0};
        time_point askedAt{};

        bool operator==(const question &) const = default;
    };

    std::uint64_t lastNumber{0};
    std::vector<question> open;

    bool operator==(const room_questions &) const = default;
};

/** Whether the workspace's room was asked for and the answer may still come. */
[[nodiscard]] bool isAsked(const room_questions &questions, std::uint32_t workspace) noexcept;

/** Notes a question and returns it for sending. */
[[nodiscard]] room_message askForRoom(room_questions &questions, std::uint32_t workspace, time_point now);

/** Drops questions whose answers are overdue. */
void expireQuestions(room_questions &questions, time_point now);

/** Answers the question of a peer with room that this node does not need itself. */
[[nodiscard]] room_message answerForRoom(shared_rates &rates, const room_message &question, time_point now);

/** Takes over lent room, once for each question. Returns whether the answer belongs to an open question. */
bool acceptRoom(shared_rates &rates, room_questions &questions, const room_message &answer);

} // namespace ragwortpin

#endif

#include "ragwortpin/rates/room_loan.h"

#include "ragwortpin/core/wire.h"

#include <algorithm>
#include <tuple>

namespace ragwortpin {

namespace {

/** Requests that are asked for at once, so that a busy node does not ask for each one. */
constexpr std::uint32_t RoomWanted{2};

/** Answers come within a round trip to a peer of the same availability zone; a lost one shall not stop the next question for long. */
constexpr milliseconds AnswerTimeout{60};

template<typename Message>
[[nodiscard]] auto wireFieldsOf(Message &message)
{
    return std::tie(message.isAnswer, message.number, message.workspace, message.requests);
}

} // namespace

static auto wireFields(room_message &message)
{
    return wireFieldsOf(message);
}

static auto wireFields(const room_message &message)
{
    return wireFieldsOf(message);
}

std::string encode(const room_message &message)
{
    return internal::encodeStruct(message);
}

std::optional<room_message> decodeRoomMessage(std::string_view payload)
{
    return internal::decodeStruct<room_message>(payload);
}

bool isAsked(const room_questions &questions, std::uint32_t workspace) noexcept
{
    return std::any_of(questions.open.begin(), questions.open.end(), [workspace](const auto &question) {
        return question.workspace == workspace;
    });
}

room_message askForRoom(room_questions &questions, std::uint32_t workspace, time_point now)
{
    const auto number = ++questions.lastNumber;
    questions.open.push_back({number, workspace, now});
    return {.isAnswer = false, .number = number, .workspace = workspace, .requests = RoomWanted};
}

void expireQuestions(room_questions &questions, time_point now)
{
    std::erase_if(questions.open, [now](const auto &question) {
        return now - question.askedAt > duration{AnswerTimeout};
    });
}

room_message answerForRoom(shared_rates &rates, const room_message &question, time_point now)
{
    auto answer = question;
    answer.isAnswer = true;
    answer.requests = lendRoom(rates, question.workspace, std::min(question.requests, RoomWanted), now);
    return answer;
}

bool acceptRoom(shared_rates &rates, room_questions &questions, const room_message &answer)
{
    const auto found = std::find_if(questions.open.begin(), questions.open.end(), [&answer](const auto &question) {
        return question.number == answer.number && question.workspace == answer.workspace;
    });
    if (found == questions.open.end()) {
        return false;
    }
    questions.open.erase(found);
    addRoom(rates, answer.workspace, std::min(answer.requests, RoomWanted));
    return true;
}

} // namespace ragwortpin

#include "standins/support/response_body.h"

#include <charconv>

namespace ragwortpin::standins {

namespace {

/** Number of digits of the length field. It is fixed (zero-padded) because the length includes the field itself. */
constexpr std::size_t LengthDigits{8};

std::string toLengthField(std::size_t length)
{
    const auto digits = std::to_string(length);
    return std::string(LengthDigits - std::min(LengthDigits, digits.size()), '0') + digits;
}

} // namespace

std::string makeResponseBody(std::string_view service, std::string_view testId, std::size_t bytes)
{
    const std::string names{std::string{service} + " " + std::string{testId} + "\n"};
    const auto needed = LengthDigits + 1 + names.size() + 1 + testId.size();
    const auto length = std::max(bytes, needed);
    return toLengthField(length) + " " + names + std::string(length - needed, '.') + " " + std::string{testId};
}

body_check checkResponseBody(std::string_view body, std::string_view testId)
{
    std::size_t length{0};
    const auto field = body.substr(0, LengthDigits);
    const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), length);
    if (field.size() != LengthDigits || error != std::errc{} || end != field.data() + field.size() || length != body.size()) {
        return body_check::Truncated;
    }
    const auto line = body.substr(0, body.find('\n'));
    const auto head = line.substr(line.rfind(' ') + 1);
    const auto tail = body.substr(body.rfind(' ') + 1);
    return head == testId && tail == testId ? body_check::Complete : body_check::Mismatched;
}

} // namespace ragwortpin::standins

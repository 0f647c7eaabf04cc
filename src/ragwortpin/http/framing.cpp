#include "ragwortpin/http/framing.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <iterator>

namespace ragwortpin {

namespace http = boost::beast::http;

namespace {

constexpr unsigned FirstStatus{100};
constexpr unsigned LastStatus{599};

/** Returns whether a body has no transfer coding, or chunked alone. */
bool hasDecodableBody(const http::fields &fields)
{
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    return first == last || (std::next(first) == last && boost::beast::iequals(first->value(), "chunked"));
}

} // namespace

boost::system::error_code checkFraming(const http::request_header<> &header)
{
    return hasDecodableBody(header) ? boost::system::error_code{} : http::error::bad_transfer_encoding;
}

boost::system::error_code checkFraming(const http::response_header<> &header)
{
    const auto status = header.result_int();
    if (status < FirstStatus || status > LastStatus || header.result() == http::status::switching_protocols) {
        return http::error::bad_status;
    }
    return hasDecodableBody(header) ? boost::system::error_code{} : http::error::bad_transfer_encoding;
}

namespace internal {

field_list listFields(const http::fields &fields)
{
    field_list listed;
    for (const auto &field : fields) {
        listed.push_back(&field);
    }
    return listed;
}

void removeUnlistedFields(http::fields &fields, const field_list &listed)
{
    auto next = listed.begin();
    for (auto field = fields.begin(); field != fields.end();) {
        if (next != listed.end() && &*field == *next) {
            ++next;
            ++field;
        } else {
            field = fields.erase(field);
        }
    }
}

} // namespace internal

} // namespace ragwortpin

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

} // namespace ragwortpin

#include "ragwortpin/http/framing.h"

#include <boost/beast/http/error.hpp>

namespace ragwortpin {

namespace http = boost::beast::http;

namespace {

constexpr unsigned FirstStatus{100};
constexpr unsigned LastStatus{599};

} // namespace

boost::system::error_code checkStatus(const http::response_header<> &header)
{
    const auto status = header.result_int();
    if (status < FirstStatus || status > LastStatus || header.result() == http::status::switching_protocols) {
        return http::error::bad_status;
    }
    return {};
}

} // namespace ragwortpin

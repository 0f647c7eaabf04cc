#include "raw_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace ragwortpin::test {

std::string exchangeBytes(const std::string &address, std::uint16_t port, const std::string &bytes)
{
    namespace asio = boost::asio;
    asio::io_context context{1};
    asio::ip::tcp::socket socket{context};
    boost::system::error_code error;
    socket.connect({asio::ip::make_address(address), port}, error);
    asio::write(socket, asio::buffer(bytes), error);
    std::string answer;
    error = {};
    asio::read(socket, asio::dynamic_buffer(answer), asio::transfer_all(), error);
    return answer;
}

} // namespace ragwortpin::test

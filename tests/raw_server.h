#ifndef RAGWORTPIN_TESTS_RAW_SERVER_H
#define RAGWORTPIN_TESTS_RAW_SERVER_H

#include "ragwortpin/http/message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <mutex>
#include <string>
#include <thread>

namespace ragwortpin::test {

/** How a raw_server ends a connection after it has sent its answer. */
enum class connection_end : unsigned char {
    /** Reads the rest of the request and closes the connection in order. */
    Close,
    /** Shuts down its sending side, then reads the rest of the request and closes the connection. */
    ShutDownFirst,
    /** Closes the connection without reading the rest of the request, which resets it. */
    CloseUnread,
    /** Resets the connection. */
    Reset,
    /** Keeps the connection open and reads nothing more. */
    Stall,
};

/** What a raw_server sends for a request. */
struct raw_answer
{
    std::string bytes;
    connection_end end{connection_end::Close};
    /** Bytes of the request's body that are read before the answer is sent. */
    std::size_t readFirst{0};
};

/** Id of the requests that get the raw answer. */
inline constexpr const char *RawRequestId{"raw"};

/** Body of the answers to all other requests. */
inline constexpr const char *OrdinaryBody{"whole"};

/**
 * HTTP server, with a thread of its own, that sends chosen bytes for requests with RawRequestId. It answers other requests with
 * OrdinaryBody and keeps their connections open.
 */
class raw_server
{
public:
    /**
     * Listens at an address; port 0 stands for a free one. Requests carry their id in the given field, and answers echo it. Without a
     * field, all requests get the raw answer.
     */
    raw_server(const endpoint &local, std::string idField);
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;
    ~raw_server();

    [[nodiscard]] endpoint address() const;

    /** Sets the raw answer from now on. */
    void answerWith(raw_answer answer);

private:
    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    [[nodiscard]] raw_answer currentAnswer();

    boost::asio::io_context m_context{1};
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_idField;
    std::mutex m_mutex;
    raw_answer m_answer;
    std::thread m_thread;
};

} // namespace ragwortpin::test

#endif

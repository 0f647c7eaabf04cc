#ifndef RAGWORTPIN_TESTS_STORE_SCRIPTED_SERVER_H
#define RAGWORTPIN_TESTS_STORE_SCRIPTED_SERVER_H

#include "ragwortpin/http/message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace ragwortpin::testing {

/** How the server handles one request. */
struct scripted_step
{
    enum class kind : unsigned char {
        /** Reads the request, sends the bytes and keeps the connection open. */
        Answer,
        /** Reads the request, sends the bytes, if any, and closes the connection. */
        SendAndClose,
        /** Reads the request and sends no response to it. */
        Silence,
    };

    kind what{kind::Answer};
    std::string bytes;
};

/** HTTP server on the loopback interface that processes one step per request and serves one connection at a time. */
class scripted_server
{
public:
    explicit scripted_server(std::vector<scripted_step> steps)
        : m_steps{std::move(steps)}
        , m_acceptor{m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}}
        , m_thread{[this] {
            serve();
        }}
    { }

    ~scripted_server()
    {
        m_isStopping = true;
        // Unblocks the accept by connecting and the read by shutting down the current socket.
        boost::system::error_code ignored;
        boost::asio::ip::tcp::socket wakeUpSocket{m_context};
        wakeUpSocket.connect(m_acceptor.local_endpoint(), ignored);
        {
            const std::lock_guard lock{m_mutex};
            if (m_current != nullptr) {
                m_current->shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
            }
        }
        m_thread.join();
    }

    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    [[nodiscard]] endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /** Returns the number of requests read. */
    [[nodiscard]] std::size_t requests() const
    {
        return m_requests;
    }

    /** Returns the number of connections that carried at least one request. */
    [[nodiscard]] std::size_t connections() const
    {
        return m_connections;
    }

private:
    void serve()
    {
        while (!m_isStopping) {
            boost::asio::ip::tcp::socket socket{m_context};
            boost::system::error_code error;
            m_acceptor.accept(socket, error);
            if (error || m_isStopping) {
                return;
            }
            setCurrent(&socket);
            serveConnection(socket);
            setCurrent(nullptr);
        }
    }

    void setCurrent(boost::asio::ip::tcp::socket *socket)
    {
        const std::lock_guard lock{m_mutex};
        m_current = socket;
    }

    void serveConnection(boost::asio::ip::tcp::socket &socket)
    {
        boost::beast::flat_buffer buffer;
        bool isCounted{false};
        while (!m_isStopping) {
            http_request request;
            boost::system::error_code error;
            http::read(socket, buffer, request, error);
            if (error) {
                return;
            }
            if (m_position >= m_steps.size()) {
                return;
            }
            m_connections += isCounted ? 0 : 1;
            isCounted = true;
            ++m_requests;
            const auto step = m_steps[m_position++];
            if (step.what == scripted_step::kind::Silence) {
                continue;
            }
            boost::asio::write(socket, boost::asio::buffer(step.bytes), error);
            if (step.what == scripted_step::kind::SendAndClose) {
                return;
            }
        }
    }

    std::vector<scripted_step> m_steps;
    std::size_t m_position{0};
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    boost::asio::ip::tcp::socket *m_current{nullptr};
    std::atomic<bool> m_isStopping{false};
    std::atomic<std::size_t> m_requests{0};
    std::atomic<std::size_t> m_connections{0};
    std::thread m_thread;
};

/** Returns a complete HTTP response with a Content-Length field. */
inline std::string httpAnswer(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace ragwortpin::testing

#endif

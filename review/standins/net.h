// HTTP/1.1 over blocking sockets, for the stand-ins of the review.
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct address
{
    std::string ip;
    std::uint16_t port{0};

    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }

    sockaddr_in socketAddress() const
    {
        sockaddr_in result{};
        result.sin_family = AF_INET;
        result.sin_port = htons(port);
        if (inet_pton(AF_INET, ip.c_str(), &result.sin_addr) != 1) {
            throw std::runtime_error("not an IPv4 address: " + ip);
        }
        return result;
    }
};

/** A request or a response. `start` is the first line. */
struct message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    bool hasField(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return true;
            }
        }
        return false;
    }

    /** Word of the first line, from 0. */
    std::string word(int index) const
    {
        std::size_t at{0};
        for (int skipped{0}; skipped < index; ++skipped) {
            at = start.find(' ', at);
            if (at == std::string::npos) {
                return {};
            }
            ++at;
        }
        return start.substr(at, start.find(' ', at) - at);
    }

    std::string encode() const
    {
        std::string text{start + "\r\n"};
        for (const auto &[key, value] : fields) {
            text += key + ": " + value + "\r\n";
        }
        if (!hasField("Content-Length")) {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        return text + "\r\n" + body;
    }
};

inline message response(const std::string &status, std::string body = {})
{
    return {"HTTP/1.1 " + status, {}, std::move(body)};
}

/** Socket with a read buffer. Closed by the destructor. */
class connection
{
public:
    explicit connection(int descriptor)
        : m_descriptor{descriptor}
    {
        const int on{1};
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~connection()
    {
        ::close(m_descriptor);
    }

    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /** Connects within a time; null if that fails. */
    static std::shared_ptr<connection> open(const address &to, milliseconds limit, const std::string &fromIp = {})
    {
        const int descriptor{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
        if (!fromIp.empty()) {
            const auto local = address{fromIp, 0}.socketAddress();
            static_cast<void>(bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof(local)));
        }
        const auto remote = to.socketAddress();
        if (connect(descriptor, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) != 0 && errno != EINPROGRESS) {
            ::close(descriptor);
            return nullptr;
        }
        pollfd entry{descriptor, POLLOUT, 0};
        int error{0};
        socklen_t size{sizeof(error)};
        const bool ready{poll(&entry, 1, static_cast<int>(limit.count())) == 1};
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        if (!ready || error != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_shared<connection>(descriptor);
    }

    bool send(const std::string &text)
    {
        std::size_t sent{0};
        while (sent < text.size()) {
            const auto count = ::send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count > 0) {
                sent += static_cast<std::size_t>(count);
                continue;
            }
            if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                pollfd entry{m_descriptor, POLLOUT, 0};
                if (poll(&entry, 1, 5000) == 1) {
                    continue;
                }
            }
            return false;
        }
        return true;
    }

    /** Reads one message with a Content-Length. Nothing if the connection ends, or the time is over, before it is whole. */
    std::optional<message> read(clock_type::time_point until)
    {
        auto end = m_buffer.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
            end = m_buffer.find("\r\n\r\n");
        }
        message result;
        std::size_t at{m_buffer.find("\r\n")};
        result.start = m_buffer.substr(0, at);
        while (at < end) {
            const auto begin = at + 2;
            at = m_buffer.find("\r\n", begin);
            const auto line = m_buffer.substr(begin, at - begin);
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            result.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string{} : line.substr(value));
        }
        const auto length = static_cast<std::size_t>(std::strtoul(result.field("Content-Length").c_str(), nullptr, 10));
        while (m_buffer.size() < end + 4 + length) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        result.body = m_buffer.substr(end + 4, length);
        m_buffer.erase(0, end + 4 + length);
        return result;
    }

    /** Waits for a time. Returns false at once if the peer closes or resets the connection meanwhile. */
    bool waitWhileOpen(clock_type::time_point until)
    {
        for (;;) {
            const auto left = std::chrono::duration_cast<milliseconds>(until - clock_type::now()).count();
            if (left <= 0) {
                return true;
            }
            pollfd entry{m_descriptor, POLLRDHUP, 0};
            if (poll(&entry, 1, static_cast<int>(left)) == 1) {
                return false;
            }
        }
    }

    bool isClosedByPeer()
    {
        pollfd entry{m_descriptor, POLLRDHUP, 0};
        return poll(&entry, 1, 0) == 1;
    }

private:
    bool fill(clock_type::time_point until)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - clock_type::now()).count();
        pollfd entry{m_descriptor, POLLIN, 0};
        if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) != 1) {
            return false;
        }
        char bytes[16384];
        const auto count = recv(m_descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_descriptor;
    std::string m_buffer;
};

/** Listener that hands each connection to a thread of its own. */
class listener
{
public:
    using handler = std::function<void(std::shared_ptr<connection>)>;

    listener(const address &local, handler serve)
        : m_descriptor{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        const int on{1};
        setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto bound = local.socketAddress();
        if (bind(m_descriptor, reinterpret_cast<const sockaddr *>(&bound), sizeof(bound)) != 0 || listen(m_descriptor, 512) != 0) {
            throw std::runtime_error("cannot listen on " + local.text());
        }
        m_thread = std::thread{[this, serve = std::move(serve)] {
            while (!m_stopped) {
                pollfd entry{m_descriptor, POLLIN, 0};
                if (poll(&entry, 1, 10) != 1 || m_stopped) {
                    continue;
                }
                const int accepted{accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC)};
                if (accepted >= 0) {
                    std::thread{serve, std::make_shared<connection>(accepted)}.detach();
                }
            }
        }};
    }

    ~listener()
    {
        stopAccepting();
        ::close(m_descriptor);
    }

    /** Leaves new connections in the queue of the socket, unanswered. */
    void stopAccepting()
    {
        m_stopped = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    int m_descriptor;
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

/** Sends one request on a connection of its own and returns the answer; nothing if none came whole. */
inline std::optional<message> call(const address &to, const message &request, milliseconds limit)
{
    const auto until = clock_type::now() + limit;
    const auto open = connection::open(to, limit);
    if (!open || !open->send(request.encode())) {
        return std::nullopt;
    }
    return open->read(until);
}

} // namespace review

#endif

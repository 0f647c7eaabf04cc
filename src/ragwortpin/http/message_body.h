#ifndef RAGWORTPIN_HTTP_MESSAGE_BODY_H
#define RAGWORTPIN_HTTP_MESSAGE_BODY_H

#include "ragwortpin/memory/budget.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace ragwortpin {

/**
 * Bytes of a message's body. Copies share them, so that a request that may be sent again is held once. The memory is returned to the budget
 * with the last copy.
 */
class body_text
{
public:
    body_text() = default;

    /** Holds a text whose size is not counted. */
    body_text(std::string text)
        : m_content{std::make_shared<content>(content{{}, std::move(text)})}
    { }

    body_text(const char *text)
        : body_text{std::string{text}}
    { }

    /** Holds nothing yet. What is appended has to be reserved before. */
    explicit body_text(memory_reservation memory)
        : m_content{std::make_shared<content>(content{std::move(memory), {}})}
    { }

    [[nodiscard]] const std::string &text() const noexcept
    {
        static const std::string empty;
        return m_content ? m_content->bytes : empty;
    }

    operator const std::string &() const noexcept
    {
        return text();
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return text().size();
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return text().empty();
    }

    /** Reserves memory for a body of the given size, in bytes. Returns false if the budget does not allow it. */
    [[nodiscard]] bool reserve(std::size_t bytes)
    {
        return !m_content || bytes <= m_content->memory.bytes() || m_content->memory.resize(bytes);
    }

    /** Returns the reserved memory that the body does not use. */
    void shrinkReservation()
    {
        if (m_content) {
            static_cast<void>(m_content->memory.resize(m_content->bytes.size()));
        }
    }

    /** Returns the bytes for appending. Must not be used once the body was copied. */
    [[nodiscard]] std::string &bytes()
    {
        if (!m_content) {
            m_content = std::make_shared<content>();
        }
        return m_content->bytes;
    }

    friend bool operator==(const body_text &first, std::string_view second) noexcept
    {
        return first.text() == second;
    }

private:
    struct content
    {
        memory_reservation memory;
        std::string bytes;
    };

    std::shared_ptr<content> m_content;
};

/** Body of messages for Boost.Beast, held as body_text. */
struct message_body
{
    using value_type = body_text;

    [[nodiscard]] static std::uint64_t size(const value_type &body) noexcept
    {
        return body.size();
    }

    /** Appends what a parser reads. */
    class reader
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &body)
            : m_body{body}
        { }

        void init(const boost::optional<std::uint64_t> &length, boost::system::error_code &error)
        {
            error = {};
            if (length) {
                m_body.bytes().reserve(static_cast<std::size_t>(*length));
            }
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            auto &bytes = m_body.bytes();
            for (const auto part : boost::beast::buffers_range_ref(buffers)) {
                bytes.append(static_cast<const char *>(part.data()), part.size());
            }
            return boost::beast::buffer_bytes(buffers);
        }

        void finish(boost::system::error_code &error)
        {
            error = {};
            m_body.shrinkReservation();
        }

    private:
        value_type &m_body;
    };

    /** Serialises the body as one buffer. */
    class writer
    {
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template<bool isRequest, class Fields>
        writer(const boost::beast::http::header<isRequest, Fields> &, const value_type &body)
            : m_body{body}
        { }

        void init(boost::system::error_code &error)
        {
            error = {};
        }

        boost::optional<std::pair<const_buffers_type, bool>> get(boost::system::error_code &error)
        {
            error = {};
            return {{const_buffers_type{m_body.text().data(), m_body.size()}, false}};
        }

    private:
        const value_type &m_body;
    };
};

} // namespace ragwortpin

#endif

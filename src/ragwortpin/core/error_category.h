#ifndef RAGWORTPIN_CORE_ERROR_CATEGORY_H
#define RAGWORTPIN_CORE_ERROR_CATEGORY_H

#include <array>
#include <cstddef>
#include <string>
#include <system_error>

namespace ragwortpin {

/** Message of one error value of a package. It says what happened and names the remedy. */
template<typename Kind>
struct error_text
{
    Kind kind;
    const char *message;
};

/** Error category over a table of error_text rows. Each package defines one instance and a make_error_code for its enumeration. */
template<typename Kind, std::size_t Size>
class error_category final : public std::error_category
{
public:
    /** Copies the table. The name is not copied and must outlive the category. */
    constexpr error_category(const char *name, const std::array<error_text<Kind>, Size> &texts) noexcept
        : m_name{name}
        , m_texts{texts}
    { }

    [[nodiscard]] const char *name() const noexcept override
    {
        return m_name;
    }

    [[nodiscard]] std::string message(int value) const override
    {
        for (const auto &text : m_texts) {
            if (static_cast<int>(text.kind) == value) {
                return text.message;
            }
        }
        return "unknown error; report it with the log lines around it";
    }

private:
    const char *m_name;
    std::array<error_text<Kind>, Size> m_texts;
};

} // namespace ragwortpin

#endif
